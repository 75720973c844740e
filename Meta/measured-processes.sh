# Shared by the measurements: a directory for their files, and processes that end with the script. Sourced, not run.
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
