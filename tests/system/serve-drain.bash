# Helper of the tests that shut down a serve host under load.
. tests/system/common.bash

# Starts the hosts named by the arguments and ends the first one while six callers insert back to back.
run_serve_drain() {
  start_standin
  "$binary" apply --platform-url "$platform" --base 1 --author test --reason 'short drain' - \
  <<<'{"drain_limit_ms": 4000}' || exit 1
  for id in "$@"; do
    "$binary" serve --id $id --failure-domain reykjavik-1 --region reykjavik --port 0 --link-port 0 --gossip-port 0 \
      --admin-port 0 --platform-url "$platform" >"$work/$id.out" 2>"$work/$id.err" &
    pids+=($!)
    wait_for_line "$work/$id.err" 'event=admitting .*value=1' || exit 1
  done
  host=${pids[1]}
  wait_for_line "$work/one.err" "event=members .*alive=$#" || exit 1
  port=$(sed -n 's/.*callers=127.0.0.1:\([0-9]*\) .*/\1/p' "$work/one.err")
  expect_equal "$(run_sql "$port" ordering1 'create table t (id integer)')" ""

  callers=()
  for caller in 1 2 3 4 5 6; do
    (yes "insert into t values ($caller);" | head -n 200000 \
      | psql -X -q -v ON_ERROR_STOP=1 -h 127.0.0.1 -p "$port" -U shop -d ordering1 >"$work/caller-$caller" 2>&1) &
    callers+=($!)
  done
  sleep 1
  kill -TERM "$host"
  wait "$host"
  expect_equal $? 0
  wait "${callers[@]}"
  told=$(cat "$work"/caller-* | grep -c 'FATAL:  terminating connection due to administrator command')
  expect_equal "callers told: $told" "callers told: 6"
}
