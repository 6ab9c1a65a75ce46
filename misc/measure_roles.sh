#!/usr/bin/env bash
# Measures resident memory and processor share of idle entry and agent processes on loopback:
# measure_roles.sh BINARY [SECONDS]. docs/notes/control.md has the results.
set -euo pipefail
source "$(dirname "$0")/../tests/process_lib.sh"
seconds=${2:-20}
start log stand-in log
start target stand-in target
await listening log
await listening target
log_url="http://127.0.0.1:$(port log callers)"
target_url="http://127.0.0.1:$(port target callers)"
sessions=""
operators=""
for zone in a b c; do
  entry_settings $zone >"$work/entry-$zone.ini"
  start entry-$zone entry "$work/entry-$zone.ini"
  await listening entry-$zone
  sessions+="127.0.0.1:$(port entry-$zone sessions) "
  operators+="127.0.0.1:$(port entry-$zone operators) "
done
for zone in a b c; do
  agent_settings $zone "$sessions" | sed 's/^heartbeat = .*/heartbeat = 1s/' >"$work/agent-$zone.ini"
  start agent-$zone agent "$work/agent-$zone.ini"
done
document a b c >"$work/environment.ini"
as_operator config publish --wait 20s "$work/environment.ini" >/dev/null

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
declare -A before
for name in entry-a entry-b agent-a agent-b; do before[$name]=$(ticks "$(cat "$work/$name.pid")"); done
sleep "$seconds"
for name in entry-a entry-b agent-a agent-b; do
  pid=$(cat "$work/$name.pid")
  resident=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/$pid/status")
  anonymous=$(awk '/RssAnon/ {print $2 / 1024}' "/proc/$pid/status")
  awk -v name="$name" -v resident="$resident" -v anonymous="$anonymous" -v used="$(($(ticks "$pid") - before[$name]))" \
    -v hertz="$(getconf CLK_TCK)" -v seconds="$seconds" \
    'BEGIN {printf "%s: %.1f MB resident, %.1f MB of it its own, %.2f%% of a core\n", name, resident, anonymous, 100 * used / hertz / seconds}'
done
