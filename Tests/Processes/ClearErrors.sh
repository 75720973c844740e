#!/usr/bin/env bash
# Errors as operators and callers see them: an unknown setting, an invalid cell, an edit conflict, an oversized request
# and a wrong token. Also checks that a graceful shutdown completes the requests in flight.
source "$(dirname "$0")/Cluster.sh"
sed 's/keep_address_s/keep_adress_s/' "$root/Base/example/front-1.yaml" >"$logs/bad.yaml"
code=0
"$build/hornbeamfront" --settings "$logs/bad.yaml" --check-settings 2>"$logs/faults" || code=$?
[ "$code" = 2 ] || fail "invalid settings: exit code $code, expected 2"
grep -q 'bad.yaml:[0-9]*: callers.keep_adress_s: allowed is one of the keys' "$logs/faults" || fail "$(cat "$logs/faults")"
start_cluster
code=0
"$build/hornbeamctl" table set pool/generate warm_limit=lots 2>"$logs/bad" || code=$?
[ "$code" = 2 ] || fail "invalid cell: exit code $code, expected 2"
grep -q "cell 'warm_limit' is 'lots'; allowed: a whole number from 1 to 10000" "$logs/bad" || fail "$(cat "$logs/bad")"
code=0
"$build/hornbeamctl" table set pool/generate warm_limit=9 --if-revision 99 2>"$logs/conflict" || code=$?
[ "$code" = 3 ] || fail "conflicting edit: exit code $code, expected 3"
grep -q 'present row' "$logs/conflict" || fail "$(cat "$logs/conflict")"
head -c 400000 /dev/zero | tr '\0' x >"$logs/large"
status=$(curl -s --max-time 10 -o "$logs/refusal" -w '%{http_code}' --data-binary "@$logs/large" \
  http://127.0.0.1:18101/v1/pipelines/tasting-notes/requests)
[ "$status" = 413 ] && grep -q '"run":"not-run"' "$logs/refusal" || fail "oversized request: status $status, expected 413 and not-run: $(cat "$logs/refusal")"
status=$(curl -s --max-time 10 -o "$logs/refusal" -w '%{http_code}' -H 'Authorization: Bearer wrong' \
  http://127.0.0.1:18301/v1/status)
[ "$status" = 401 ] || fail "wrong token: status $status, expected 401"
wait_for 30 "a response from front 2" request_succeeds 127.0.0.1:18102 before-shutdown
request 127.0.0.1:18102 during-shutdown >"$logs/status" &
caller=$!
kill -TERM "${pids[front-2]}"
wait "$caller"
[ "$(cat "$logs/status")" = 200 ] || fail "the shutdown interrupted a request: status $(cat "$logs/status"), expected 200"
ended() { ! kill -0 "${pids[front-2]}" 2>/dev/null; }
wait_for 60 "the exit of front 2" ended
wait_for 30 "a membership of two" serving 127.0.0.1:18301 2
echo "PASSED"
