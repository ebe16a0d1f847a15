# Guards against CONFIG: a host that stood still answers a caller from the configuration of before.
set -u
. tests/system/config.bash
run_config_case stopped "hosts that refuse an added database as unknown: 0
hosts that open it: 4"
