#!/usr/bin/env bash
# An unknown setting, a bad row, a conflict, an oversized request and a graceful shutdown, as people meet them.
source "$(dirname "$0")/Cluster.sh"
sed 's/keep_address_s/keep_adress_s/' "$root/Base/example/front-1.yaml" >"$logs/bad.yaml"
code=0
"$build/hornbeamfront" --settings "$logs/bad.yaml" --check-settings 2>"$logs/faults" || code=$?
[ "$code" = 2 ] || fail "bad settings ended with $code"
grep -q 'bad.yaml:[0-9]*: callers.keep_adress_s: allowed is one of the keys' "$logs/faults" || fail "$(cat "$logs/faults")"
start_cluster
code=0
"$build/hornbeamctl" table set pool/generate warm_limit=lots 2>"$logs/bad" || code=$?
[ "$code" = 2 ] || fail "a bad cell ended with $code"
grep -q "cell 'warm_limit' is 'lots'; allowed: a whole number from 1 to 10000" "$logs/bad" || fail "$(cat "$logs/bad")"
code=0
"$build/hornbeamctl" table set pool/generate warm_limit=9 --if-revision 99 2>"$logs/conflict" || code=$?
[ "$code" = 3 ] || fail "a conflict ended with $code"
grep -q 'present row' "$logs/conflict" || fail "$(cat "$logs/conflict")"
head -c 400000 /dev/zero | tr '\0' x >"$logs/large"
status=$(curl -s --max-time 10 -o "$logs/refusal" -w '%{http_code}' --data-binary "@$logs/large" \
  http://127.0.0.1:18101/v1/pipelines/tasting-notes/requests)
[ "$status" = 413 ] && grep -q '"run":"not-run"' "$logs/refusal" || fail "oversized: $status $(cat "$logs/refusal")"
status=$(curl -s --max-time 10 -o "$logs/refusal" -w '%{http_code}' -H 'Authorization: Bearer wrong' \
  http://127.0.0.1:18301/v1/status)
[ "$status" = 401 ] || fail "a wrong token got $status"
wait_for 30 "an answer from front 2" answered 127.0.0.1:18102 before-shutdown
request 127.0.0.1:18102 during-shutdown >"$logs/status" &
caller=$!
kill -TERM "${pids[front-2]}"
wait "$caller"
[ "$(cat "$logs/status")" = 200 ] || fail "the shutdown cut a request off: $(cat "$logs/status")"
ended() { ! kill -0 "${pids[front-2]}" 2>/dev/null; }
wait_for 60 "the end of front 2" ended
wait_for 30 "a membership of two" serving 127.0.0.1:18301 2
echo "PASSED"
