# Guards against CONFIG: a host whose proof of its configuration has expired refuses an added database as unknown.
set -u
. tests/system/config.bash
run_config_case unproved "hosts that refuse an added database as unknown: 0
hosts that serve another one: 9
hosts that serve it when the store is back: 9
hosts that refuse a database of no version as unknown: 9"
