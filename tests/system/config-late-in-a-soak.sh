# Guards against CONFIG: changes overlap with hosts that lose the store, restart and freeze.
set -u
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
pids=()
for seed in 1 2; do
  mkdir "$work/$seed"
  WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work/$seed timeout -s KILL 100 \
    "$BUILD/pool-config" "$seed" "$work/$seed/record" >"$work/$seed/printed" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid" || failed=1
done
for seed in 1 2; do
  cat "$work/$seed/printed"
  grep -q held "$work/$seed/printed" && continue
  failed=1
  tail -n 60 "$work/$seed/record"
  grep -hE 'event=(configuration_read|store_lost|store_regained) ' "$work/$seed"/front-*.log | tail -n 40
done
exit $failed
