# Guards against running out of memory or room: many clients of the status page that stop in the middle of a request.
set -u
. tests/system/crowd.bash
run_crowd_case status
