# Helper of the tests of pool daemons, as separate processes, that don't all reach the store.

# Runs case $1 of tests/processes/config.c, which has to print $2. Leaves the logs in $work.
run_config_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  printed=$(WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work timeout -s KILL 60 \
    "$BUILD/pool-config" "$1" "$work/record")
  [ "$printed" = "$2" ] && return
  printf 'case %s, expected:\n%s\ngot:\n%s\n' "$1" "$2" "$printed"
  tail -n 40 "$work/record"
  grep -hE 'event=(configuration_read|reader|session_refused|store_lost|store_regained) ' "$work"/front-*.log |
    sort | tail -n 60
  exit 1
}

# Runs case $1, silent or refused, in which an instance joins, too.
run_cut_off_case() {
  run_config_case "$1" "versions in force too late: 0
hosts without the last version: 0"
  joined=$(grep -lE 'event=instance_added .*i-joining' "$work"/front-*.log | wc -l)
  [ "$joined" -eq 9 ] && exit 0
  echo "the new instance is known to $joined of 9 hosts"
  exit 1
}
