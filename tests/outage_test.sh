#!/usr/bin/env bash
# The platform's log hangs: it accepts connections and never answers. Repeatable requests must still be
# answered. An order and a job must be refused with a correct "not run", so that no user is charged for
# refused work. Running jobs must continue, and everything must work again once the log recovers.
set -euo pipefail
source "$(dirname "$0")/process_lib.sh"
zones=(a b)
start_platform
for zone in "${zones[@]}"; do start_entry "$zone"; done
operators=$(addresses operators)
callers=$(addresses callers)
document "${zones[@]}" >"$work/environment.ini"
as_operator config publish "$work/environment.ini" >/dev/null
for zone in "${zones[@]}"; do start_agent "$zone"; done
echo "which jar is next?" >"$work/body"
answered() { as_caller request --key "$1" --body-file "$work/body" planner /plan | cmp -s - "$work/body"; }
job() {
  echo "{\"key\":\"$1\",\"workspace\":\"boxes\",\"tasks\":2,\"accelerators\":2,\"processors\":2,\"memory\":\"1GiB\",\"payload\":\"$2\"}" >"$work/job.json"
  as_caller job submit "$work/job.json"
}
is() { as_caller job show "$1" | grep -q " $2 "; }
await answered before
await job running-through 3s
await is running-through running

kill -STOP "$(cat "$work/log.pid")"
answered ""
# refused WORDS…: the command fails as unavailable and correctly reports that nothing was run.
refused() {
  local code=0
  "$@" >/dev/null 2>"$work/refusal" || code=$?
  [ "$code" -eq 3 ] && grep -q "not_run" "$work/refusal"
}
order() { as_caller request --key "$1" --deadline 5s --body-file "$work/body" planner /plan; }
refused order during
answered ""
kill -CONT "$(cat "$work/log.pid")"

await is running-through "done"
await answered during
answered during
await job after 200ms
await is after "done"
runs=$(target_runs)
grep -q '"before":1[,}]' <<<"$runs"
grep -q '"during":1[,}]' <<<"$runs"
"$binary" check-history "$work"/*.log
echo "1 passed, 0 failed"
