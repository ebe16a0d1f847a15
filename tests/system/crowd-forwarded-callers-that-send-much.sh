# Guards against running out of memory or room: many large messages through a host to the owner of their service.
set -u
. tests/system/crowd.bash
run_crowd_case owner-whole 2
