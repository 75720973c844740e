# Helpers of the process tests, to be sourced: a cluster of three fronts and stand-ins on loopback.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
build=${HORNBEAM_BUILD:-$root/Build}
logs=$(mktemp -d)
declare -A pids
export HORNBEAM_TOKEN=example-token HORNBEAM_ADDRESS=127.0.0.1:18301 HORNBEAM_CALLER_ADDRESS=127.0.0.1:18101

stop_cluster() {
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap stop_cluster EXIT

start() { # name, command
  local name=$1
  shift
  # In a session of its own: the kernel sends SIGHUP to a stopped process whose process group loses its last parent.
  setsid "$@" >>"$logs/$name.out" 2>>"$logs/$name.log" &
  pids[$name]=$!
}

fail() {
  echo "FAILED: $*" >&2
  # Fronts log to standard output; standard error holds the messages of crashes.
  tail -n 20 "$logs"/front-*.out "$logs"/front-*.log >&2 || true
  exit 1
}

wait_for() { # seconds, what, command
  local seconds=$1 what=$2
  shift 2
  for _ in $(seq 1 $((seconds * 10))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "timed out after $seconds s waiting for $what"
}

start_front() { start "front-$1" "$build/hornbeamfront" --settings "$root/Base/example/front-$1.yaml"; }

serving() { # administration address, expected number of serving fronts
  local status
  status=$("$build/hornbeamctl" --address "$1" status)
  [ "$(grep -c serving <<<"$status")" = "$2" ] && grep -q 'lease held' <<<"$status"
}

start_cluster() {
  start platform "$build/stand-in-platform" --address 127.0.0.1:18000
  start encode "$build/stand-in-endpoint" --service-ms 10 --warm-capacity 16 --cold-capacity 4 \
    --address 127.0.0.1:18401 --address 127.0.0.1:18402
  start retrieve "$build/stand-in-endpoint" --service-ms 15 --warm-capacity 16 --cold-capacity 4 \
    --address 127.0.0.1:18411 --address 127.0.0.1:18412
  start rerank "$build/stand-in-endpoint" --service-ms 20 --warm-capacity 16 --cold-capacity 4 \
    --address 127.0.0.1:18421 --address 127.0.0.1:18422
  start generate "$build/stand-in-endpoint" --service-ms 60 --tokens 4 --warm-capacity 8 --cold-capacity 2 \
    --address 127.0.0.1:18431 --address 127.0.0.1:18432 --address 127.0.0.1:18433
  start redemption "$build/stand-in-endpoint" --service-ms 200 --warm-capacity 16 --cold-capacity 4 \
    --address 127.0.0.1:18441 --address 127.0.0.1:18442
  for number in 1 2 3; do start_front "$number"; done
  wait_for 60 "a membership of three" serving 127.0.0.1:18301 3
  wait_for 60 "a membership of three at front 3" serving 127.0.0.1:18303 3
  "$build/hornbeamctl" table load "$root/Base/example/table.yaml" >/dev/null
}

set_fault() { # address, JSON
  curl -s --max-time 5 -X POST -d "$2" "http://$1/fault"
}

request() { # caller address, input: prints the HTTP status
  curl -s --max-time 15 -o "$logs/response" -w '%{http_code}' \
    -d "{\"account\":\"brewers\",\"input\":\"$2\"}" "http://$1/v1/pipelines/tasting-notes/requests" || true
}

request_succeeds() { # caller address, input
  [ "$(request "$1" "$2")" = 200 ] && grep -q "generate(rerank(retrieve(encode($2))))" "$logs/response"
}

redeem() { # caller address, key, input: prints the response
  curl -s --max-time 15 -d "{\"account\":\"stewards\",\"input\":\"$3\",\"key\":\"$2\"}" \
    "http://$1/v1/pipelines/redeem-token/requests" || true
}

key_prefix_of() { # front name, caller address of any front: prints the key prefix of that front
  local entry
  for _ in $(seq 1 50); do
    entry=$(curl -s --max-time 5 "http://$2/v1/entry")
    if grep -q "\"key_prefix\":\"$1~" <<<"$entry"; then
      sed 's/.*"key_prefix":"\([^"]*\)".*/\1/' <<<"$entry"
      return 0
    fi
  done
  fail "/v1/entry of $2 did not return a key prefix of $1"
}

runs_of() { # input: prints how many times the redemption endpoints ran it
  local total=0 count
  for port in 18441 18442; do
    count=$(curl -s --max-time 5 "http://127.0.0.1:$port/ledger" | grep -o "\"$1\":[0-9]*" | cut -d: -f2 || true)
    total=$((total + ${count:-0}))
  done
  echo "$total"
}
