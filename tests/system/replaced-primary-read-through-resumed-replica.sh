# Guards against STALE: replicas that were paused for a change, and resumed, confirm the old primary at hosts with an old list.
set -u
. tests/system/stale-reads.bash
run_stale_reads_case resumed
