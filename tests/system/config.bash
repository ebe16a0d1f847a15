# Helper of the tests of pool daemons, as separate processes, that don't all reach the store.

# Runs case $1 of tests/processes/config.c.
run_config_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  expected="versions in force too late: 0
hosts without the last version: 0"
  printed=$(WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work timeout -s KILL 60 \
    "$BUILD/pool-config" "$1" "$work/record")
  [ "$printed" = "$expected" ] && exit 0
  printf 'case %s, expected:\n%s\ngot:\n%s\n' "$1" "$expected" "$printed"
  tail -n 40 "$work/record"
  grep -hE 'event=(configuration_read|reader|store_lost|store_regained) ' "$work"/front-*.log | sort | tail -n 60
  exit 1
}
