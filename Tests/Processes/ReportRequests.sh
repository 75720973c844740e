#!/usr/bin/env bash
# The report over request logs must add up the parts by second and route, name the reasons of refusals, and say what is
# wrong with a log without requests.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() {
  echo "FAILED: $*" >&2
  cat "$work/table" >&2
  exit 1
}
line() { # time, outcome, reason, fields
  echo "I20261204 $1 7 ProxiedRequest.cpp:1] request: id=r outcome=$2 status=200 reason=$3 route=chat service=s $4"
}
{
  line 10:00:01.100 answered complete "duration_ms=900 target_ms=1000 stage_wait_ms=100,50 stage_compute_ms=200,100 stage_owners=a,b choose_ms=0 first_byte_ms=40 longest_pause_ms=7"
  line 10:00:01.900 answered complete "duration_ms=1900 target_ms=1000 stage_wait_ms=300,150 stage_compute_ms=200,100 stage_owners=a,b choose_ms=20 first_byte_ms=60 longest_pause_ms=9"
  line 10:00:02.300 refused stage-late "duration_ms=5 target_ms=1000 stage_wait_ms=5 stage_compute_ms=0 stage_owners=a choose_ms=0 first_byte_ms=0 longest_pause_ms=0"
  line 10:00:02.400 refused stage-late "duration_ms=5 target_ms=1000 choose_ms=0 first_byte_ms=0 longest_pause_ms=0"
  echo "I20261204 10:00:02.500 7 Other.cpp:1] stages: event=pool-created"
} >"$work/log"
"$root/Meta/report-requests.sh" "$work/log" "$work/plot.png" >"$work/table" 2>"$work/errors"
grep -qE '^10:00:01 +chat +2 +1 +300 +300 +10 +50 +8 *$' "$work/table" || fail "the first second is not as expected"
grep -qE '^10:00:02 +chat +2 +0 .* stage-late:2$' "$work/table" || fail "the refusals are not counted"
[ "$(head -c 4 "$work/plot.png" | tail -c 3)" = PNG ] || fail "no plot was made: $(cat "$work/errors")"
echo "nothing" >"$work/empty"
if "$root/Meta/report-requests.sh" "$work/empty" 2>"$work/errors" >/dev/null; then fail "a log without requests was accepted"; fi
grep -q "has no ended request" "$work/errors" || fail "unexpected error: $(cat "$work/errors")"
echo "PASSED"
