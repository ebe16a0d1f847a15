# Helper of the tests that shut down pool daemons under load, as separate processes.

# Runs case $1 of tests/processes/drain.c with the seed in $2 and compares what it prints. $3: whether statements end
# in doubt; $4: a line before the others.
run_drain_case() {
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  expected="${4:+$4
}answered: yes
in doubt: ${3:-no}
cut: 0, of them ran: 0
unanswered: 0
acknowledged and missing, or refused and there: 0
hosts that ended late: 0, by a fault: 0"
  got=$(WORLD_BINARY=$BUILD/peridotstep WORLD_DIRECTORY=$work timeout -s KILL 120 \
    "$BUILD/pool-drain" "$1" "$work/record" "${2:-1}")
  if [ "$got" != "$expected" ]; then
    grep -E 'CUT|UNANSWERED|LATE' "$work/record" | head -n 20
    tail -n 2 "$work/record"
    printf 'expected:\n%s\ngot:\n%s\n' "$expected" "$got"
    exit 1
  fi
}
