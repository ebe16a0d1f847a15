# Guards against running out of memory or room: answers of an owner that callers of another host never take.
set -u
. tests/system/crowd.bash
run_crowd_case owner-ahead 2
