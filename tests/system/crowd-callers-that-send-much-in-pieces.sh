# Guards against running out of memory or room: the same in small pieces.
set -u
. tests/system/crowd.bash
run_crowd_case pieces
