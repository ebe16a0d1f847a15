# Injects faults while load is running and checks that no reported outcome is wrong. Latencies are
# not checked here.
set -u
. tests/system/common.bash
start_demo --lag-ms 20

run_with_fault() {
  local seed=$1
  shift
  run_load --seed "$seed" --duration-ms 6000 --mix 'order:write:30,stock_page:read:60,stock_change:txn:8,report:read:10' \
    >"$work/load.out" 2>&1 &
  local pid=$!
  sleep 2
  "$@"
  wait $pid
  local code=$?
  cat "$work/load.out"
  expect_equal "$code" 0
}

primary_fault() {
  local index
  index=$("$binary" fault --platform-url "$platform" --service ordering1 --instance primary "$1" \
    | sed -n 's/.*"instance": \([0-9]\).*/\1/p')
  sleep 3
  inject_fault --service ordering1 --instance "$(echo abc | cut -c $((index + 1)))" --value 0 "$1"
}
host_fault() {
  inject_fault --host "$1" "$2"
  sleep 2.5
  [ "$2" = host-drain ] || inject_fault --host "$1" --value 0 "$2"
}
store_fault() {
  inject_fault "$1"
  sleep 3
  inject_fault --value 0 "$1"
}

run_with_fault 11 primary_fault cut
run_with_fault 12 primary_fault down
run_with_fault 13 primary_fault pause
run_with_fault 14 inject_fault --service ordering1 --instance primary silent
run_with_fault 15 store_fault store-down
run_with_fault 16 host_fault host-3 host-pause
run_with_fault 17 host_fault host-1 host-kill
run_with_fault 18 host_fault host-5 host-drain

store_and_primary() {
  inject_fault store-down
  primary_fault down
  inject_fault --value 0 store-down
}
lost_store_answers() {
  inject_fault store-lose-answers
  "$binary" apply --platform-url "$platform" --base 1 --author test --reason lost --change-id lost-1 - \
    <<<'{"services": {"ordering1": {"queue_limit": 1500}}}' || exit 1
  inject_fault --value 0 store-lose-answers
}
leaving_primary() {
  local name
  name=$("$binary" fault --platform-url "$platform" --service ordering1 --instance primary lag --value 20 \
    | sed -n 's/.*"instance": \([0-9]\).*/\1/p')
  name=$(echo abc | cut -c $((name + 1)))
  "$binary" apply --platform-url "$platform" --base 2 --author test --reason leaving --wait - \
    <<<"{\"services\": {\"ordering1\": {\"instances\": {\"$name\": {\"leaving\": true}}}}}" || exit 1
}
run_with_fault 19 store_and_primary
run_with_fault 20 lost_store_answers
run_with_fault 21 leaving_primary
# A planned switchover must not fail any statement: none is refused, none is in doubt.
expect_equal "$(awk '/^(order|stock_)/ && ($4 + $5 + $6) > 0' "$work/load.out")" ""
for _ in $(seq 50); do
  promotions=$("$binary" history --platform-url "$platform" --service ordering1)
  [ "$(echo "$promotions" | grep -c 'planned=1')" -ge 1 ] && break
  sleep 0.2
done
expect_equal "$(echo "$promotions" | grep -c 'planned=1')" 1
