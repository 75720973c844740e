#!/usr/bin/env bash
# A front that is started while the former process still holds one of its addresses must not end, and must serve once
# the address is free. It ended with code 3 at once.
set -euo pipefail
build="${HORNBEAM_BUILD:?}"
directory=$(mktemp -d)
former=""
front=""
stop_all() {
  for pid in $former $front; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$directory"
}
trap stop_all EXIT

# Writes the settings of a front: its name, its addresses for callers and for metrics.
write_settings() { # file, callers, metrics
  cat >"$1" <<SETTINGS
name: front-1
data_center: a
region: r
machine:
  cores: 1
addresses:
  callers: 127.0.0.1:$2
  readiness: 127.0.0.1:29602
  directory: 127.0.0.1:29603
  peers: 127.0.0.1:29604
  metrics: 127.0.0.1:$3
store:
  address: 127.0.0.1:29600
seeds: ["127.0.0.1:29604"]
shutdown: { grace_s: 2 }
directory: { longest_lifetime_s: 2 }
retries: { ratio: 0.2, window_s: 10, slack: 50 }
cold: { overshoot: 1.5, slack: 5 }
SETTINGS
}

for taken in callers metrics; do
  if [ "$taken" = callers ]; then write_settings "$directory/former.yaml" 29601 29615; else write_settings "$directory/former.yaml" 29611 29605; fi
  sed -i 's/29602/29612/; s/29603/29613/; s/29604/29614/' "$directory/former.yaml"
  write_settings "$directory/front.yaml" 29601 29605
  "$build/hornbeamfront" --platform --settings "$directory/former.yaml" >"$directory/former.log" 2>&1 &
  former=$!
  for _ in $(seq 50); do grep -q 'event=start' "$directory/former.log" && break; sleep 0.1; done
  "$build/hornbeamfront" --platform --settings "$directory/front.yaml" >"$directory/front.log" 2>&1 &
  front=$!
  sleep 1
  if ! kill -0 "$front" 2>/dev/null; then
    echo "the front ended while its address for $taken was taken:"
    cat "$directory/front.log"
    exit 1
  fi
  # Connections must not be accepted before all addresses are open.
  if curl -s -o /dev/null http://127.0.0.1:29602/readyz; then
    echo "the front accepts connections before its address for $taken is free"
    exit 1
  fi
  kill -KILL "$former"
  wait "$former" 2>/dev/null || true
  started=no
  for _ in $(seq 20); do
    if curl -s -o /dev/null http://127.0.0.1:29605/metrics; then started=yes; break; fi
    sleep 0.1
  done
  if [ "$started" = no ]; then
    echo "the front does not serve 2 s after its address for $taken is free:"
    cat "$directory/front.log"
    exit 1
  fi
  grep -q "event=cannot-listen address=127.0.0.1:2960[15] reason=" "$directory/front.log"
  kill -KILL "$front"
  wait "$front" 2>/dev/null || true
done
