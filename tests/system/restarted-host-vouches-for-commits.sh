# Guards against LOST: a host that acknowledged a commit is killed and starts again, and the hosts
# promote a replica without the commit on the word of a process that does not know of it.
set -u
. tests/system/failover.bash
run_failover_case killed "acknowledged write lost: no
writes served again: yes"
