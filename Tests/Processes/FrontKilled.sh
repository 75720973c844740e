#!/usr/bin/env bash
# SIGKILL of one front: the others serve and remove it; it comes back as a later process and joins.
source "$(dirname "$0")/Cluster.sh"
start_cluster
wait_for 30 "an answer from front 2" answered 127.0.0.1:18102 before
kill -KILL "${pids[front-1]}"
answered 127.0.0.1:18102 at-once || answered 127.0.0.1:18103 at-once || fail "no front answers after the kill"
export HORNBEAM_ADDRESS=127.0.0.1:18302
wait_for 60 "the removal of front 1" serving 127.0.0.1:18302 2
wait_for 30 "an answer of the two" answered 127.0.0.1:18103 after
start_front 1
wait_for 60 "the return of front 1" serving 127.0.0.1:18301 3
wait_for 30 "an answer from front 1" answered 127.0.0.1:18101 returned
echo "PASSED"
