# Helpers of the system tests: start the demo and the daemons, terminate them by process id.
binary=$BUILD/peridotstep
work=$(mktemp -d)
pids=()

stop_processes() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop_processes EXIT

# Waits up to a minute until a line of file $1 matches $2.
wait_for_line() {
  for _ in $(seq 600); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "no '$2' in $1"
  cat "$1"
  return 1
}

# Starts the demo with the given arguments; sets platform, ports and hosts.
start_demo() {
  "$binary" demo --port 0 "$@" >"$work/demo.out" 2>"$work/demo.err" &
  pids+=($!)
  wait_for_line "$work/demo.out" '^ready' || exit 1
  platform=$(sed -n 's/^platform //p' "$work/demo.out")
  mapfile -t ports < <(sed -n 's/^host-.* 127.0.0.1:\([0-9]*\) admin .*/\1/p' "$work/demo.out")
  hosts=$(printf '127.0.0.1:%s,' "${ports[@]}")
}

# Starts stand-ins as a process of their own and applies their configuration; sets platform.
start_standin() {
  "$binary" standin --platform-port 0 --database-port 0 --print-config >"$work/standin.out" 2>"$work/standin.err" &
  pids+=($!)
  wait_for_line "$work/standin.out" '^ready' || exit 1
  platform=$(sed -n 's/^platform //p' "$work/standin.out")
  sed '/^platform /,$d' "$work/standin.out" >"$work/config.json"
  "$binary" apply --platform-url "$platform" --base 0 --author test --reason first "$work/config.json" || exit 1
}

# Runs statement $3 at port $1 against service $2.
run_sql() {
  psql -X -q -A -t -h 127.0.0.1 -p "$1" -U shop -d "$2" -c "$3" 2>&1
}

inject_fault() {
  "$binary" fault --platform-url "$platform" "$@" >>"$work/fault.out" 2>&1
}

run_load() {
  "$binary" load --hosts "$hosts" --platform-url "$platform" "$@"
}

expect_equal() {
  if [ "$1" != "$2" ]; then
    echo "expected: $2"
    echo "got:      $1"
    exit 1
  fi
}
