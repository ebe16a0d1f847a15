# Guards against LOST: a new host takes two of three logs for complete; a fourth had the commits.
set -u
. tests/system/departure.bash
run_departure_cases added
