set -u
. tests/system/drain.bash
run_drain_case silent 1 yes
