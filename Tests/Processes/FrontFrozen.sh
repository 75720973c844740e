#!/usr/bin/env bash
# Stops a front (SIGSTOP) between sending a non-repeatable call and receiving its response. The call must run exactly
# once, even if the caller resends it to another front, and the resumed front must not accept new work without a lease.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "a response from front 2" request_succeeds 127.0.0.1:18102 before
prefix=$(key_prefix_of front-2 127.0.0.1:18101)
# Slowed down, so that front 2 is stopped while the call runs.
for port in 18441 18442; do set_fault "127.0.0.1:$port" '{"slowness":5}' >/dev/null; done
redeem 127.0.0.1:18102 "$prefix~pour-1" token-1 >"$logs/first" &
caller=$!
running() { [ "$(runs_of token-1)" = 1 ]; }
wait_for 10 "the call to reach the endpoint" running
[ ! -s "$logs/first" ] || fail "the call ended before front 2 was stopped: $(cat "$logs/first")"
kill -STOP "${pids[front-2]}"
second=$(redeem 127.0.0.1:18103 "$prefix~pour-1" token-1)
grep -q 'may-have-run\|redemption(token-1)' <<<"$second" || fail "unexpected response to the resent request: $second"
wait_for 60 "the removal of the frozen front" serving 127.0.0.1:18301 2
kill -CONT "${pids[front-2]}"
wait "$caller" || true
wait_for 60 "the resumed front to rejoin" serving 127.0.0.1:18302 3
[ "$(runs_of token-1)" = 1 ] || fail "token-1 ran $(runs_of token-1) times, expected once"
wait_for 30 "a response from the resumed front" request_succeeds 127.0.0.1:18102 after
echo "PASSED"
