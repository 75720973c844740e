#!/usr/bin/env bash
# A front on a stand-in platform must serve requests, and hornbeamctl beliefs must show its cached view of the platform.
set -euo pipefail
build="${HORNBEAM_BUILD:?}"
directory=$(mktemp -d)
first_port=29500
"$build/soak" --program "$build/hornbeamfront" --directory "$directory" --calm --seconds 3 --fronts 2 \
  --first-port "$first_port" >"$directory/soak.log" &
soak=$!
trap 'kill "$soak" 2>/dev/null || true; rm -rf "$directory"' EXIT
# Port layout of the soak: the store, 24 endpoint addresses, then six addresses per front, of which the fifth is for
# metrics.
metrics="127.0.0.1:$((first_port + 25 + 4))"
for _ in $(seq 50); do
  if "$build/hornbeamctl" beliefs --metrics-address "$metrics" >"$directory/beliefs" 2>/dev/null &&
    grep -q "i-rank-11" "$directory/beliefs" && grep -q "front-1" "$directory/beliefs"; then
    grep -q "STORE REACHED" "$directory/beliefs"
    "$build/hornbeamctl" --output json beliefs --metrics-address "$metrics" | grep -q '"table_version"'
    wait "$soak"
    grep "broken=0" "$directory/soak.log"
    exit 0
  fi
  sleep 0.1
done
echo "hornbeamctl beliefs did not list endpoint i-rank-11 and front-1 within 50 attempts:"
cat "$directory/beliefs"
exit 1
