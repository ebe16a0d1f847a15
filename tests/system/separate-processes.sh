# Runs stand-ins and daemons as separate processes and applies the configuration from a file.
set -u
. tests/system/common.bash

start_standin

start_host() {
  "$binary" serve --id "$1" --failure-domain "$2" --region "$3" --port 0 --link-port 0 --gossip-port 0 \
    --admin-port 0 --platform-url "$platform" >"$work/$1.out" 2>"$work/$1.err" &
  pids+=($!)
  wait_for_line "$work/$1.err" 'event=admitting .*value=1' || exit 1
  port=$(sed -n 's/.*callers=127.0.0.1:\([0-9]*\) .*/\1/p' "$work/$1.err")
}
start_host one reykjavik-1 reykjavik
one=$port
start_host two akureyri-1 akureyri
two=$port
wait_for_line "$work/one.err" 'event=members .*alive=2' || exit 1

expect_equal "$(run_sql "$one" ordering1 'create table t (id integer)')" ""
expect_equal "$(run_sql "$one" ordering1 'insert into t values (41), (42)')" ""
expect_equal "$(run_sql "$two" ordering1 "/*class='report'*/ select max(id) from t")" 42

"$binary" apply --platform-url "$platform" --base 1 --author test --reason 'more slots' --wait - \
  <<<'{"services": {"ordering1": {"slots": 6}}}' || exit 1
expect_equal "$("$binary" show --platform-url "$platform" 2>/dev/null | grep -c '"slots": 6')" 1
expect_equal "$("$binary" history --platform-url "$platform" | grep -c 'paths=/services/ordering1/slots')" 1
"$binary" apply --platform-url "$platform" --base 1 --author test --reason late - \
  <<<'{"services": {"ordering1": {"slots": 7}}}'
expect_equal $? 3

# A host that receives SIGTERM announces that it is leaving and exits by itself.
kill -TERM "${pids[2]}"
wait "${pids[2]}"
expect_equal $? 0
wait_for_line "$work/one.err" 'event=members .*alive=1' || exit 1
expect_equal "$(run_sql "$one" ordering1 'select count(*) from t')" 2
