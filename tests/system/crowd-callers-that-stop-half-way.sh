# Guards against running out of memory or room: many callers that stop in the middle of a message.
set -u
. tests/system/crowd.bash
run_crowd_case half
