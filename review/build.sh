#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/standin/scenario-*.c; do
  name=$(basename "$scenario" .c)
  gcc -std=gnu11 -O1 -g -Wall -Itests/processes -o "target/review/${name#scenario-}" "$scenario" \
    tests/processes/world.c -lpthread
done
