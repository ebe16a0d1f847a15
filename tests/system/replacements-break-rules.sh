# Guards against LOST, ONE and RECOVER over replaced instances, cuts and restarts of hosts that overlap.
set -u
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
pids=()
for seed in 3 4; do
  mkdir "$work/$seed"
  WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work/$seed timeout -s KILL 200 \
    "$BUILD/pool-replacement" "$seed" "$work/$seed/record" >"$work/$seed/printed" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid" || failed=1
done
for seed in 3 4; do
  cat "$work/$seed/printed"
  if ! grep -q held "$work/$seed/printed"; then
    failed=1
    grep -vE 'answered|commit  ' "$work/$seed/record" | tail -n 60
    grep -hE 'promotion_|log_holders|lead_change' "$work/$seed"/front-*.log | tail -n 40
  fi
done
exit $failed
