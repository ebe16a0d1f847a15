# Callers of serve that send back to back are told that the host shuts down; none is cut.
set -u
. tests/system/serve-drain.bash
run_serve_drain one two
