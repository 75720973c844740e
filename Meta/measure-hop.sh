#!/usr/bin/env bash
# Measures the overhead of the additional hop: runs wrk against a stand-in endpoint directly and through a front.
# Requires wrk.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/measured-processes.sh

start Build/stand-in-platform --address 127.0.0.1:22000 2>/dev/null
start Build/stand-in-endpoint --address 127.0.0.1:22001 --service-ms 0 --warm-capacity 10000 --cold-capacity 10000 \
  --starts-warm 2>/dev/null
cat >"$work/front.yaml" <<'SETTINGS'
name: front-1
deployment: hop
data_center: dc-1
caller_address: 127.0.0.1:22002
peer_address: 127.0.0.1:22003
administration_address: 127.0.0.1:22004
administration_token: measure-token
store:
  address: 127.0.0.1:22000
SETTINGS
start Build/hornbeamfront --settings "$work/front.yaml" >/dev/null 2>&1
cat >"$work/table.yaml" <<'TABLE'
rows:
  data-center/dc-1: { state: in }
  pool/echo: { kind: service, cold_limit: 64, warm_limit: 64, service_ms: 5 }
  endpoint/echo-1: { pool: echo, address: "127.0.0.1:22001", data_center: dc-1 }
  pipeline/echo: { stages: echo, deadline_ms: 5000 }
  account/a: { weight: 1, limit: 1000 }
TABLE
export HORNBEAM_TOKEN=measure-token HORNBEAM_ADDRESS=127.0.0.1:22004
for _ in $(seq 1 100); do
  if Build/hornbeamctl table load "$work/table.yaml" >/dev/null 2>&1; then break; fi
  sleep 0.1
done
cat >"$work/direct.lua" <<'LUA'
wrk.method = "POST"
wrk.body = '{"attempt":"a","stage":"echo","input":"x","deadline_ms":5000,"resume_from":0}'
LUA
cat >"$work/front.lua" <<'LUA'
wrk.method = "POST"
wrk.body = '{"account":"a","input":"x"}'
LUA
summary() { grep -E 'Requests/sec|Latency  |Non-2xx' | tr -s ' ' | tr '\n' ';'; }
for connections in 1 32; do
  for _ in 1 2; do
    echo "bare library server, $connections connections: $(wrk -t1 -c"$connections" -d4s http://127.0.0.1:22001/v1/report | summary)"
    echo "endpoint direct, $connections connections: $(wrk -t1 -c"$connections" -d4s -s "$work/direct.lua" http://127.0.0.1:22001/v1/run | summary)"
    echo "through a front, $connections connections: $(wrk -t1 -c"$connections" -d4s -s "$work/front.lua" http://127.0.0.1:22002/v1/pipelines/echo/requests | summary)"
  done
done
