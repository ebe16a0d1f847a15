# Guards against LOST: no process is left that knew the instance which had confirmed the commits.
set -u
. tests/system/departure.bash
run_departure_cases all-killed
