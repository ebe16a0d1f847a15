# Helper of the tests with crowds of callers that don't behave, against pool daemons as processes.

# Runs case $1 of tests/processes/crowd.c with $2 hosts, one if not given, and compares what it prints.
run_crowd_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  expected="a message of the greatest size is served in calm: yes
an ordinary caller is answered: yes"
  for host in $(seq "${2:-1}"); do
    expected="$expected
front-$host lives: yes
front-$host within its memory: yes
front-$host within its descriptors: yes"
  done
  expected="$expected
the status page answers: yes"
  got=$(WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work timeout -s KILL 120 \
    "$BUILD/pool-crowd" "$1" "$work/record")
  if [ "$got" != "$expected" ]; then
    tail -n 5 "$work/record"
    printf 'expected:\n%s\ngot:\n%s\n' "$expected" "$got"
    exit 1
  fi
}
