# Guards against running out of memory or room: many callers that send a few bytes at a time.
set -u
. tests/system/crowd.bash
run_crowd_case slow-send
