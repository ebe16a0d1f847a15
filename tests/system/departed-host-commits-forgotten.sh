# Guards against LOST: a host leaves by SIGTERM while the primary fails, and the others forget the
# commits that it acknowledged.
set -u
. tests/system/failover.bash
run_failover_case ended "acknowledged write lost: no
writes served again: yes" "0 100 200 300 400 500 600 700"
