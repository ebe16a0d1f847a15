# Guards against CONFIG: every host that ranks before the only one that reads the store gets no answer of the store.
set -u
. tests/system/config.bash
run_cut_off_case silent
