# Helper of the tests of pool daemons, as separate processes, whose primary is replaced.

# Runs case $1 of tests/processes/stale-reads.c: no read may lack a commit that it had to see, and
# all hosts have to serve again.
run_stale_reads_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  expected="stale reads: no
stale bounded reads: no
reads and writes served again: yes"
  printed=$(WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work timeout -s KILL 60 \
    "$BUILD/pool-stale-reads" "$1" "$work/record")
  [ "$printed" = "$expected" ] && exit 0
  printf 'case %s, expected:\n%s\ngot:\n%s\n' "$1" "$expected" "$printed"
  grep -vE 'stale    |commit  ' "$work/record" | tail -n 30
  grep -m 5 'primary read sent' "$work/record"
  grep -m 5 'bounded read sent' "$work/record"
  grep -hE 'event=(primary|lease|fenced) ' "$work"/front-*.log | tail -n 40
  exit 1
}
