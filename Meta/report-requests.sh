#!/usr/bin/env bash
# Reports where the time of requests went, from the logs of fronts: a table by second and route on standard output and,
# if PLOT is given, a plot (PNG) of the mean time by part and of the refusals by reason, by second.
# Usage: Meta/report-requests.sh LOG [PLOT]
set -euo pipefail
if [ $# -lt 1 ] || [ ! -r "$1" ]; then
  echo "usage: Meta/report-requests.sh LOG [PLOT]: LOG must be a readable file with log lines of fronts" >&2
  exit 2
fi
log=$1
plot=${2:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints a line for each ended request: second, route, outcome, reason, late, and the parts in milliseconds.
requests() {
  awk '
    function sum(list,   items, count, index_, total) {
      count = split(list, items, ",")
      for (index_ = 1; index_ <= count; ++index_) total += items[index_]
      return total + 0
    }
    / request: id=/ && / outcome=/ && / duration_ms=/ && match($0, /[0-9][0-9]:[0-9][0-9]:[0-9][0-9]\.[0-9]/) {
      second = substr($0, RSTART, 8)
      split("", field)
      for (position = 1; position <= NF; ++position) {
        equals = index($position, "=")
        if (equals) field[substr($position, 1, equals - 1)] = substr($position, equals + 1)
      }
      print second, field["route"], field["outcome"], field["reason"],
        (field["outcome"] == "answered" && field["duration_ms"] + 0 > field["target_ms"] + 0),
        sum(field["stage_wait_ms"]), sum(field["stage_compute_ms"]),
        field["choose_ms"] + 0, field["first_byte_ms"] + 0, field["longest_pause_ms"] + 0
    }' "$log"
}

requests | sort >"$work/requests"
if [ ! -s "$work/requests" ]; then
  echo "report-requests: $log has no ended request; lines with 'request: id=', 'outcome=' and 'duration_ms=' are needed" >&2
  exit 1
fi

# The longer responses of streams make "late" an upper bound: the target applies to the first event.
echo "second    route            requests  over  wait  compute  choose  first-byte  pause  refused by reason"
awk '
  { key = $1 " " $2; ++count[key]; over[key] += $5 }
  $3 == "answered" { ++answered[key]; for (part = 6; part <= 10; ++part) total[key, part] += $part }
  $3 == "refused" { ++refused[key " " $4]; reasons[key] = reasons[key] (refused[key " " $4] == 1 ? " " $4 : "") }
  END {
    for (key in count) {
      split(key, name, " ")
      divisor = answered[key] ? answered[key] : 1
      line = sprintf("%-9s %-16s %8d %5d %5d %8d %7d %11d %6d ", name[1], name[2], count[key], over[key],
        total[key, 6] / divisor, total[key, 7] / divisor, total[key, 8] / divisor, total[key, 9] / divisor,
        total[key, 10] / divisor)
      number = split(reasons[key], reason, " ")
      for (position = 1; position <= number; ++position)
        line = line " " reason[position] ":" refused[key " " reason[position]]
      print line
    }
  }' "$work/requests" | sort

[ -n "$plot" ] || exit 0
awk '
  { seconds[$1] = 1 }
  $3 == "answered" { ++answered[$1]; for (part = 6; part <= 9; ++part) total[$1, part] += $part }
  $3 == "refused" { ++refused[$1] }
  END {
    for (second in seconds) {
      divisor = answered[second] ? answered[second] : 1
      print second, total[second, 6] / divisor, total[second, 7] / divisor, total[second, 8] / divisor,
        total[second, 9] / divisor, refused[second] + 0
    }
  }' "$work/requests" | sort >"$work/seconds"
gnuplot <<PLOT
set terminal pngcairo size 1200,700
set output "$plot"
set xdata time
set timefmt "%H:%M:%S"
set format x "%M:%S"
set ylabel "mean time of answered requests, ms"
set y2label "refused requests in a second"
set y2tics
set key outside
set style fill solid 0.6
plot "$work/seconds" using 1:(\$2+\$3+\$4+\$5) with filledcurves x1 title "first byte", \\
  "" using 1:(\$2+\$3+\$4) with filledcurves x1 title "choosing", \\
  "" using 1:(\$2+\$3) with filledcurves x1 title "stages: computing", \\
  "" using 1:2 with filledcurves x1 title "stages: waiting", \\
  "" using 1:6 axes x1y2 with lines linewidth 2 title "refused"
PLOT
