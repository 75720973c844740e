#!/usr/bin/env bash
# Stops a front under load with repeated and mixed signals. Every request must get a response, and the process must end
# by itself, once.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "a response from front 1" request_succeeds 127.0.0.1:18101 before

# Sends requests to front 1 until it refuses one because it is stopping. Prints a line for each request.
caller() {
  local body code=0 status
  for number in $(seq 1 400); do
    body="{\"account\":\"brewers\",\"input\":\"caller-$1-$number\"}"
    status=$(curl -s --max-time 15 -o "$logs/response-$1" -w '%{http_code}' -d "$body" \
      http://127.0.0.1:18101/v1/pipelines/tasting-notes/requests) || code=$?
    echo "curl $code status $status"
    [ "$code" = 0 ] || return 0
    if grep -q '"reason":"front-stopping"' "$logs/response-$1"; then
      grep -q '"run":"not-run"' "$logs/response-$1" && echo "refused as stopping"
      return 0
    fi
  done
}

callers=()
for number in 1 2 3 4; do
  caller "$number" >"$logs/caller-$number" &
  callers+=($!)
done
sleep 1
kill -TERM "${pids[front-1]}"
sleep 0.2
kill -TERM "${pids[front-1]}"
kill -INT "${pids[front-1]}"
wait "${callers[@]}"
code=0
wait "${pids[front-1]}" || code=$?
[ "$code" = 0 ] || fail "front 1 ended with code $code"
unset 'pids[front-1]'
[ "$(cat "$logs"/caller-* | grep -c 'refused as stopping')" = 4 ] || fail "not every caller was refused: $(cat "$logs"/caller-* | sort | uniq -c)"
! grep -h curl "$logs"/caller-* | grep -qv 'curl 0' || fail "a request got no response"
[ "$(grep -c 'shutdown: serving callers' "$logs/front-1.out")" = 1 ] || fail "front 1 did not stop exactly once"
wait_for 30 "a response from the remaining fronts" request_succeeds 127.0.0.1:18103 after
echo "PASSED"
