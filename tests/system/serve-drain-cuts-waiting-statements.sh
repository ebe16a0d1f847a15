# Without another host the statements wait for an owner, and are answered before the host ends.
set -u
. tests/system/serve-drain.bash
run_serve_drain one
