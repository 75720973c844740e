#!/usr/bin/env bash
# Checks Specifications/EpochLease.pml: without a fault exhaustively, and with each seeded fault, which must be caught.
set -euo pipefail
cd "$(dirname "$0")/.."
specification=$PWD/Specifications/EpochLease.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Runs one search; prints what Spin found.
search() { # name, definitions for the model
  mkdir -p "$1"
  (
    cd "$1"
    spin "${@:2}" -a "$specification" >spin.out 2>&1 || { cat spin.out; exit 1; }
    gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=9000 -o pan pan.c
    ./pan -m2000000 -w26 >pan.out 2>&1 || true
  )
}

failures=0
passes=0
verdict() { # ok or not, text
  if [ "$1" = ok ]; then passes=$((passes + 1)); else failures=$((failures + 1)); fi
  echo "model: $1: $2"
}

search clean -DLAST_EPOCH=3 -DRESTARTS=1
states=$(grep -E 'states, stored' clean/pan.out | head -1 | awk '{print $1}')
if grep -q 'errors: 0' clean/pan.out && ! grep -qE 'Search not completed|max search depth too small|out of memory' clean/pan.out; then
  verdict ok "no fault: no violation in $states states, search exhausted"
else
  verdict failed "no fault: $(grep -E 'errors:|not completed|out of memory|assertion|acceptance' clean/pan.out | tr '\n' ' ')"
fi
for fault in NO_WAIT NO_MAJORITY NO_CHECK LEASE_FROM_ANSWER NO_TABLE_CHECK; do
  search "$fault" -DLAST_EPOCH=3 -DRESTARTS=1 "-D$fault"
  if grep -qE 'errors: [1-9]' "$fault/pan.out"; then
    verdict ok "$fault is caught"
  else
    verdict failed "$fault is not caught: $(grep -E 'errors:|not completed|out of memory' "$fault/pan.out" | tr '\n' ' ')"
  fi
done
echo "$passes passed, $failures failed"
[ "$failures" -eq 0 ]
