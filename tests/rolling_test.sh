#!/usr/bin/env bash
# Replaces every VM, one after another, under load: each agent and entry is stopped by SIGTERM and
# replaced by a new process. A planned stop must not interrupt or lose a request or run an order twice;
# a user would be charged twice or never get an answer.
set -euo pipefail
source "$(dirname "$0")/process_lib.sh"
zones=(a b c)
callers_pids=()

start_platform --delay 50ms

has_document() { grep -q config_in_force "$work/agent-$1.log"; }

# Callers read the balancer's list; it is replaced by mv, so that it is never read half written.
update_callers() {
  addresses callers >"$work/callers.new"
  mv "$work/callers.new" "$work/callers"
}

# Saves the log of the process that is replaced.
replace() {
  stop "$1"
  mv "$work/$1.log" "$work/$1.$(cat "$work/$1.pid").stopped"
}

for zone in "${zones[@]}"; do start_entry "$zone"; done
operators=$(addresses operators)
document "${zones[@]}" >"$work/environment.ini"
as_operator config publish "$work/environment.ini" >/dev/null
for zone in "${zones[@]}"; do start_agent "$zone"; done
for zone in "${zones[@]}"; do await has_document "$zone"; done
update_callers
echo "which jar is next?" >"$work/body"

# ask NAME KEY: sends one request; a failure is recorded with the caller's error message.
ask() {
  if ! "$binary" request --entries "$(cat "$work/callers")" --token-file "$work/token" \
    --key "$2" --body-file "$work/body" planner /plan >"$work/answer-$1" 2>"$work/error-$1" ||
    ! cmp -s "$work/answer-$1" "$work/body"; then
    echo "request $1 (key '$2'): $(cat "$work/error-$1")" >>"$work/failures"
  fi
}
caller() {
  local number=0
  while [ ! -e "$work/enough" ]; do
    number=$((number + 1))
    ask "$1-plain" ""
    ask "$1-once" "order-$1-$number"
  done
  echo "$number" >"$work/orders-$1"
}
touch "$work/failures"
await ask first ""
for name in 1 2 3 4; do
  caller "$name" &
  callers_pids+=($!)
done

for zone in "${zones[@]}"; do
  replace "agent-$zone"
  start_agent "$zone"
  await has_document "$zone"
done
ready() {
  "$binary" status --json --entries "$ip:$(port "entry-$1" operators)" \
    --token-file "$work/operator" | grep -q '"ready": true'
}
all=("${zones[@]}")
for zone in "${all[@]}"; do
  # The balancer removes the entry when its health check fails, and adds the new one once it is ready.
  zones=()
  for other in "${all[@]}"; do [ "$other" = "$zone" ] || zones+=("$other"); done
  update_callers
  replace "entry-$zone"
  start_entry "$zone"
  await ready "$zone"
  zones=("${all[@]}")
  update_callers
done
touch "$work/enough"
for pid in "${callers_pids[@]}"; do wait "$pid"; done

orders=$(cat "$work"/orders-* | awk '{n += $1} END {print n}')
runs=$(target_runs)
once=$(grep -o '"order-[0-9-]*":1[,}]' <<<"$runs" | wc -l)
more=$(grep -o '"order-[0-9-]*":[0-9]*' <<<"$runs" | grep -vc ':1$' || true)
echo "orders $orders, run once $once, run more than once $more"
cat "$work/failures"
[ ! -s "$work/failures" ]
[ "$once" -eq "$orders" ]
[ "$more" -eq 0 ]
echo "1 passed, 0 failed"
