# Helper of the tests of pool daemons, as separate processes, whose primary fails.

# Runs case $1 of tests/processes/failover.c once for each gap in $3 (in ms), at the same time, and
# compares what each run prints with $2.
run_failover_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  pids=()
  for gap in ${3:-0}; do
    mkdir "$work/$gap"
    WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work/$gap timeout -s KILL 90 \
      "$BUILD/pool-failover" "$1" "$work/$gap/record" "$gap" >"$work/$gap/printed" &
    pids+=($!)
  done
  failed=0
  for pid in "${pids[@]}"; do
    wait "$pid" || failed=1
  done
  for gap in ${3:-0}; do
    if [ "$(cat "$work/$gap/printed")" != "$2" ]; then
      failed=1
      printf 'gap %s ms, expected:\n%s\ngot:\n' "$gap" "$2"
      cat "$work/$gap/printed"
      grep -vE 'sent|answered|run  ' "$work/$gap/record" | tail -n 20
      grep -hE 'lead_change|peer_ended' "$work/$gap"/front-[12].log | tail -n 20
    fi
  done
  exit $failed
}
