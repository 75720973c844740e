#!/usr/bin/env bash
# The store is unavailable for longer than a lease. Requests must still be served, and table edits must fail with the
# unavailable exit code and leave the table unchanged.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "a response" request_succeeds 127.0.0.1:18101 before
set_fault 127.0.0.1:18000 '{"mode":"down"}' >/dev/null
sleep 6
for number in 1 2 3; do request_succeeds "127.0.0.1:1810$number" "outage-$number" || fail "front $number does not respond during the outage"; done
code=0
"$build/hornbeamctl" data-center out viti-2 >"$logs/edit" 2>&1 || code=$?
[ "$code" = 4 ] || fail "edit during the outage: exit code $code, expected 4: $(cat "$logs/edit")"
cell=$("$build/hornbeamctl" table get data-center/viti-2)
grep -q state=out <<<"$cell" && fail "the refused edit changed the table: $cell"
set_fault 127.0.0.1:18000 '{"mode":"none"}' >/dev/null
edit_works() { "$build/hornbeamctl" data-center out viti-2; }
wait_for 60 "an edit after the outage" edit_works
"$build/hornbeamctl" table get data-center/viti-2 | grep -q state=out || fail "the edit did not set the data centre to state=out"
request_succeeds 127.0.0.1:18103 without-viti-2 || fail "no response with viti-2 out of rotation"
grep -q '"endpoint":"[a-z]*-2"' "$logs/response" && fail "an endpoint of viti-2 ran a stage while out of rotation: $(cat "$logs/response")"
echo "PASSED"
