set -u
. tests/system/drain.bash
run_drain_case transactions
