# Guards against LOST: the same as the other departed-replica tests, and the primary that has the commits is dark.
set -u
. tests/system/departure.bash
run_departure_cases killed-dark stopped-dark
