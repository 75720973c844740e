# Helpers of the measurement scripts, to be sourced: a temporary directory, and processes that are killed on exit.
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

start() { # command
  "$@" &
  pids+=($!)
}
