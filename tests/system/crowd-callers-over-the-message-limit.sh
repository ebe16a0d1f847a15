# Guards against running out of memory or room: many messages far over the limit.
set -u
. tests/system/crowd.bash
run_crowd_case oversize
