#!/usr/bin/env bash
# SIGSTOP of a front between the sending of a non-repeatable call and its answer: the call runs once, also when the
# caller sends it again elsewhere, and the thawed front takes no new work without a lease.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "an answer from front 2" answered 127.0.0.1:18102 before
prefix=$(key_prefix_of front-2 127.0.0.1:18101)
redeem 127.0.0.1:18102 "$prefix~pour-1" token-1 >"$logs/first" &
caller=$!
wait_for 10 "the call at the endpoint" test "$(runs_of token-1)" -ge 0
for _ in $(seq 1 100); do [ "$(runs_of token-1)" = 1 ] && break; done
kill -STOP "${pids[front-2]}"
second=$(redeem 127.0.0.1:18103 "$prefix~pour-1" token-1)
grep -q 'may-have-run\|redemption(token-1)' <<<"$second" || fail "the resend got: $second"
wait_for 60 "the removal of the frozen front" serving 127.0.0.1:18301 2
kill -CONT "${pids[front-2]}"
wait "$caller" || true
wait_for 60 "the return of the thawed front" serving 127.0.0.1:18302 3
[ "$(runs_of token-1)" = 1 ] || fail "token-1 ran $(runs_of token-1) times"
wait_for 30 "an answer from the thawed front" answered 127.0.0.1:18102 after
echo "PASSED"
