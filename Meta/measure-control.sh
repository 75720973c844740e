#!/usr/bin/env bash
# Measures the control-plane overhead of a front (CPU time, memory, calls) for a given number of fronts in the
# membership and of accounts in the table. Usage: Meta/measure-control.sh FRONTS ACCOUNTS. Prints one line.
set -euo pipefail
cd "$(dirname "$0")/.."
fronts=$1
accounts=$2
source Meta/measured-processes.sh

start Build/stand-in-platform --address 127.0.0.1:21000 2>/dev/null
for number in $(seq 1 "$fronts"); do
  cat >"$work/$number.yaml" <<SETTINGS
name: front-$number
deployment: measure
data_center: dc-$((number % 3))
caller_address: 127.0.0.1:$((21100 + number))
peer_address: 127.0.0.1:$((21300 + number))
administration_address: 127.0.0.1:$((21500 + number))
administration_token: measure-token
store:
  address: 127.0.0.1:21000
SETTINGS
  start Build/hornbeamfront --settings "$work/$number.yaml" >"$work/$number.log" 2>&1
done
export HORNBEAM_TOKEN=measure-token HORNBEAM_ADDRESS=127.0.0.1:21501
for _ in $(seq 1 600); do
  status=$(Build/hornbeamctl status 2>/dev/null || true)
  if [ "$(grep -c serving <<<"$status")" = "$fronts" ] && grep -q 'lease held' <<<"$status"; then break; fi
  sleep 0.2
done
{
  echo "rows:"
  for number in $(seq 1 "$accounts"); do echo "  account/account-$number: { weight: 1, limit: 10 }"; done
} >"$work/table.yaml"
sed -i 's/^callers:.*//' "$work"/*.yaml
if [ "$accounts" -gt 0 ]; then Build/hornbeamctl table load "$work/table.yaml" >/dev/null; fi
sleep 3

front=${pids[1]}
ticks() { awk '{ print $14 + $15 }' "/proc/$front/stat"; }
counter() { curl -s http://127.0.0.1:21501/metrics | grep "^hornbeamfront_$1" | awk '{ print $2 }'; }
sent() { ss -tinp | grep -A1 "pid=$front," | grep -o 'bytes_sent:[0-9]*' | cut -d: -f2 | awk '{ s += $1 } END { print s + 0 }'; }
seconds=20
ticks0=$(ticks) heartbeats0=$(counter 'peer_calls_total{kind="heartbeat"}')
reads0=$(counter 'store_calls_total{kind="read"}') watches0=$(counter 'store_calls_total{kind="watch"}') sent0=$(sent)
sleep "$seconds"
ticks1=$(ticks) heartbeats1=$(counter 'peer_calls_total{kind="heartbeat"}')
reads1=$(counter 'store_calls_total{kind="read"}') watches1=$(counter 'store_calls_total{kind="watch"}') sent1=$(sent)
awk -v f="$fronts" -v a="$accounts" -v s="$seconds" -v t=$((ticks1 - ticks0)) -v h=$((heartbeats1 - heartbeats0)) \
  -v r=$((reads1 - reads0)) -v w=$((watches1 - watches0)) -v b=$((sent1 - sent0)) \
  -v m="$(awk '/VmRSS/ { print $2 }' "/proc/$front/status")" 'BEGIN {
    printf "fronts %d accounts %d: cpu %.2f %% of a core, rss %d KiB, %.1f heartbeats/s, %.2f reads/s, %.2f watches/s, %.0f bytes sent/s\n",
      f, a, t / s, m, h / s, r / s, w / s, b / s }'
