# Helper of the tests of pool daemons, as separate processes, around a replica that leaves.

# Runs the cases $* of tests/processes/departure.c at the same time; each has to keep every
# acknowledged write and to serve writes again.
run_departure_cases() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  expected="acknowledged write lost: no
writes served again: yes"
  pids=()
  for name in "$@"; do
    mkdir "$work/$name"
    WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work/$name timeout -s KILL 200 \
      "$BUILD/pool-departure" "$name" "$work/$name/record" >"$work/$name/printed" &
    pids+=($!)
  done
  failed=0
  for pid in "${pids[@]}"; do
    wait "$pid" || failed=1
  done
  for name in "$@"; do
    if [ "$(cat "$work/$name/printed")" != "$expected" ]; then
      failed=1
      printf 'case %s, expected:\n%s\ngot:\n' "$name" "$expected"
      cat "$work/$name/printed"
      grep -vE 'answered|commit  ' "$work/$name/record" | tail -n 30
      grep -hE 'promotion_|log_holders|lead_change' "$work/$name"/front-*.log | tail -n 40
    fi
  done
  exit $failed
}
