# Guards against running out of memory or room: the same, with answers taken a few bytes at a time.
set -u
. tests/system/crowd.bash
run_crowd_case slow-read
