# Replays the recorded traces of both deployments: the policies must decide as recorded, and an
# altered or malformed trace must be reported.
set -u
. tests/system/common.bash
for trace in tests/traces/*.trace; do
  "$binary" replay "$trace" || exit 1
  sed '0,/^choice .* = [0-9]/s/\(^choice .* = \)[0-9].*/\17/' "$trace" >"$work/altered"
  "$binary" replay "$work/altered" && exit 1
done
echo "queue 1 next 0" >"$work/malformed"
"$binary" replay "$work/malformed" && exit 1
exit 0
