# Guards against one of two replicas that stays paused: no reads, and no second copy of commits.
set -u
. tests/system/failover.bash
run_failover_case one-paused "replicas paused: no
writes served again: yes"
