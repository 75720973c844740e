#!/usr/bin/env bash
# Runs the example: stand-ins, three fronts, requests through a pipeline of four stages, and a non-repeatable request.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${HORNBEAM_BUILD:-Build}
logs=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

start() { # name, command
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

wait_for() { # what, command
  for _ in $(seq 1 300); do
    if "${@:2}" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "example: $1 was not ready within 30 s; see $logs" >&2
  exit 1
}

start platform "$build"/stand-in-platform --address 127.0.0.1:18000
for stage in encode:10:1 retrieve:15:2 rerank:20:3 redemption:10:4 ; do
  IFS=: read -r name service digit <<<"$stage"
  start "$name" "$build"/stand-in-endpoint --service-ms "$service" --warm-capacity 16 --cold-capacity 4 \
    --address "127.0.0.1:184$([ "$digit" = 4 ] && echo 4 || echo $((digit - 1)))1" \
    --address "127.0.0.1:184$([ "$digit" = 4 ] && echo 4 || echo $((digit - 1)))2"
done
start generate "$build"/stand-in-endpoint --service-ms 120 --tokens 8 --warm-capacity 8 --cold-capacity 2 \
  --address 127.0.0.1:18431 --address 127.0.0.1:18432 --address 127.0.0.1:18433
for front in 1 2 3; do
  start "front-$front" "$build"/hornbeamfront --settings "Base/example/front-$front.yaml"
done

export HORNBEAM_TOKEN=example-token HORNBEAM_ADDRESS=127.0.0.1:18301 HORNBEAM_CALLER_ADDRESS=127.0.0.1:18102
holds_lease() { "$build"/hornbeamctl status | grep -q 'lease held'; }
three_fronts() { [ "$("$build"/hornbeamctl status | grep -c serving)" = 3 ]; }
wait_for "the first front" holds_lease
wait_for "the membership of three fronts" three_fronts
wait_for "the lease of three fronts" holds_lease
echo "== the table is loaded"
Build/hornbeamctl table load Base/example/table.yaml
echo "== the front to send requests to"
Build/hornbeamctl entry
echo "== ten requests through encode, retrieve, rerank, generate"
completed=0
for number in $(seq 1 10); do
  if "$build"/hornbeamctl request tasting-notes --account brewers --input "cellar log $number"; then
    completed=$((completed + 1))
  fi
done
echo "== a streamed response"
curl -sN --max-time 10 -H 'Accept: text/event-stream' -d '{"account":"stewards","input":"which cask is on?"}' \
  http://127.0.0.1:18101/v1/pipelines/tasting-notes/requests
echo "== a token is redeemed once"
Build/hornbeamctl request redeem-token --account stewards --input "token 4711" --key pour-1
echo "== status of the fronts"
Build/hornbeamctl status
echo "== decisions of the fronts (the last lines of their logs)"
grep -hE 'routing:|grants:|membership:|configuration:' "$logs"/front-*.out | sort -k2 | tail -15
echo "== deadline attainment: $completed of 10 requests completed within their deadline"
rm -rf "$logs"
[ "$completed" -eq 10 ]
