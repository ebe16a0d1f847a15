# Guards against running out of memory or room: many open sessions that say nothing.
set -u
. tests/system/crowd.bash
run_crowd_case idle
