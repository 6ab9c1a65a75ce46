#!/usr/bin/env bash
# One entry dies while the gangs it planned run. Another is frozen, as a VM is during a live migration,
# and resumes after it lost the leadership but still considers itself the active planner. Jobs must be
# recovered and not started twice: a duplicate run charges a user twice, a lost run leaves work undone.
# At the end the processes' logs are checked against the guarantees.
set -euo pipefail
source "$(dirname "$0")/process_lib.sh"
zones=(a b c)

start_platform
for zone in "${zones[@]}"; do start_entry "$zone"; done
operators=$(addresses operators)
callers=$(addresses callers)
document "${zones[@]}" >"$work/environment.ini"
as_operator config publish "$work/environment.ini" >/dev/null
for zone in "${zones[@]}"; do start_agent "$zone"; done

# submit KEY ZONE RUN_TIME
submit() {
  echo "{\"key\":\"$1\",\"workspace\":\"boxes\",\"tasks\":2,\"accelerators\":2,\"processors\":2,\"memory\":\"1GiB\",\"payload\":\"$3\",\"zones\":[\"$2\"]}" >"$work/job-$1.json"
  await as_caller job submit "$work/job-$1.json"
}
is() { as_caller job show "$1" | grep -q " $2 "; }

for zone in "${zones[@]}"; do submit "first-$zone" "$zone" 4s; done
for zone in "${zones[@]}"; do await is "first-$zone" running; done
kill -KILL "$(cat "$work/entry-a.pid")"
operators="$ip:$(port entry-b operators) $ip:$(port entry-c operators)"
callers="$ip:$(port entry-b callers) $ip:$(port entry-c callers)"
for zone in "${zones[@]}"; do await is "first-$zone" "done"; done
# taken_over ZONE ENTRY…: one of these entries has become the zone's active planner.
taken_over() {
  local zone=$1 entry
  shift
  for entry in "$@"; do
    if grep '"event":"planner_duty_taken"' "$work/entry-$entry.log" | grep -q "\"zone\":\"$zone\""; then
      return 0
    fi
  done
  return 1
}
await taken_over a b c
submit after-death a 200ms
await is after-death "done"

submit long b 6s
await is long running
kill -STOP "$(cat "$work/entry-b.pid")"
callers="$ip:$(port entry-c callers)"
await is long "done"
await taken_over b c
submit while-frozen b 200ms
await is while-frozen "done"
kill -CONT "$(cat "$work/entry-b.pid")"
submit after-waking b 200ms
await is after-waking "done"

"$binary" check-history "$work"/*.log
echo "1 passed, 0 failed"
