# Guards against running out of memory or room: many connections to the port for forwarded sessions.
set -u
. tests/system/crowd.bash
run_crowd_case link
