set -u
. tests/system/drain.bash
run_drain_case odd-entries 1 no "hosts that follow the list: 2 of 2"
