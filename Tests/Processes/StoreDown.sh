#!/usr/bin/env bash
# The store is down for longer than a lease: service goes on, edits are refused honestly, and nothing is changed.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "an answer" answered 127.0.0.1:18101 before
fault 127.0.0.1:18000 '{"mode":"down"}' >/dev/null
sleep 6
for number in 1 2 3; do answered "127.0.0.1:1810$number" "outage-$number" || fail "front $number does not answer"; done
code=0
"$build/hornbeamctl" data-center out viti-2 >"$logs/edit" 2>&1 || code=$?
[ "$code" = 4 ] || fail "the edit ended with $code: $(cat "$logs/edit")"
fault 127.0.0.1:18000 '{"mode":"none"}' >/dev/null
edit_works() { "$build/hornbeamctl" data-center out viti-2; }
wait_for 60 "an edit after the outage" edit_works
"$build/hornbeamctl" table get data-center/viti-2 | grep -q state=out || fail "the data centre is not out"
answered 127.0.0.1:18103 without-viti-2 || fail "no answer without viti-2"
grep -q '"endpoint":"[a-z]*-2"' "$logs/answer" && fail "viti-2 got work: $(cat "$logs/answer")"
echo "PASSED"
