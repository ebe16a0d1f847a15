# Guards against RECOVER: all hosts are killed while both replicas are paused and the primary lives,
# and nobody ends the pauses.
set -u
. tests/system/failover.bash
run_failover_case paused "replicas paused: no
writes served again: yes"
