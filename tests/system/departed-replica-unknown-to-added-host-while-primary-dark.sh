# Guards against LOST: a new host has never heard the primary, which is dark, nor known the fourth instance.
set -u
. tests/system/departure.bash
run_departure_cases added-dark
