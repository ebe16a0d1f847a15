# Guards against running out of memory or room: many statements sent ahead on each connection, whose answers are never taken.
set -u
. tests/system/crowd.bash
run_crowd_case ahead
