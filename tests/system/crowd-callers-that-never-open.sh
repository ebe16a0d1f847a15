# Guards against running out of memory or room: many connections that never open a session.
set -u
. tests/system/crowd.bash
run_crowd_case silent
