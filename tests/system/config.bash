# Helper of the tests of pool daemons, as separate processes, that don't all reach the store.

# Runs case $1 of tests/processes/config.c.
run_config_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  expected="versions in force too late: 0
hosts without the last version: 0"
  printed=$(WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work timeout -s KILL 60 \
    "$BUILD/pool-config" "$1" "$work/record")
  joined=$(grep -lE 'event=instance_added .*i-joining' "$work"/front-*.log | wc -l)
  [ "$printed" = "$expected" ] && [ "$joined" -eq 9 ] && exit 0
  printf 'case %s, expected:\n%s\nand the new instance at 9 hosts, got:\n%s\nand it at %s\n' \
    "$1" "$expected" "$printed" "$joined"
  tail -n 40 "$work/record"
  grep -hE 'event=(configuration_read|reader|store_lost|store_regained) ' "$work"/front-*.log | sort | tail -n 60
  exit 1
}
