#!/usr/bin/env bash
# Kills a front (SIGKILL). The other fronts must keep serving and remove it from the membership; after a restart it must
# rejoin.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "a response from front 2" request_succeeds 127.0.0.1:18102 before
kill -KILL "${pids[front-1]}"
request_succeeds 127.0.0.1:18102 at-once || request_succeeds 127.0.0.1:18103 at-once || fail "no front responds after the kill"
export HORNBEAM_ADDRESS=127.0.0.1:18302
wait_for 60 "the removal of front 1" serving 127.0.0.1:18302 2
wait_for 30 "a response from the remaining fronts" request_succeeds 127.0.0.1:18103 after
start_front 1
wait_for 60 "front 1 to rejoin" serving 127.0.0.1:18301 3
wait_for 30 "a response from front 1" request_succeeds 127.0.0.1:18101 returned
echo "PASSED"
