# Guards against STALE: a host that doesn't list the new primary reads at the old one, which has stepped down.
set -u
. tests/system/stale-reads.bash
run_stale_reads_case old-list
