# Guards against LOST: only the dark primary and a record outside of the processes know what is missing.
set -u
. tests/system/departure.bash
run_departure_cases all-killed-dark
