#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2/. The fronts are those of the deploy
# file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number" &
done
for job in $(jobs -p); do wait "$job"; done
