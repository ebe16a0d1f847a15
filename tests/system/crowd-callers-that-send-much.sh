# Guards against running out of memory or room: many callers that send the largest messages, several each.
set -u
. tests/system/crowd.bash
run_crowd_case whole
