#!/usr/bin/env bash
# A daemon that receives SIGHUP (changed settings) during its start must not end: the platform would
# treat this as an unexpected exit. A daemon that receives SIGTERM during its start must end, whatever
# its start waits for. A file is read from a pipe here, so that the daemon blocks in the middle of its
# start.
set -euo pipefail
source "$(dirname "$0")/process_lib.sh"

# True while a thread of the daemon waits for a writer of the pipe.
opens_pipe() { grep -qs -E 'fifo_open|wait_for_partner' "/proc/$(cat "$work/$1.pid")/wchan"; }
started() { grep -q '"event":"started"' "$work/$1.log"; }

# survives NAME SETTINGS WORDS...: starts the daemon and signals it during and after its start.
survives() {
  local name=$1 settings=$2
  shift 2
  mkfifo "$work/$name.ini"
  start "$name" "$@" "$work/$name.ini"
  await opens_pipe "$name"
  kill -HUP "$(cat "$work/$name.pid")"
  echo "$settings" >"$work/$name.ini"
  await started "$name"
  kill -HUP "$(cat "$work/$name.pid")"
  stop "$name"
}

survives pool-entry "[process]
name = entry
availability_zone = a
adapter = users
stop_limit_s = 4
[listen]
callers = $ip:0
readiness = $ip:0
sessions = $ip:0
[store]
address = $ip:1" pool entry
survives pool-agent "[process]
name = agent
availability_zone = a
adapter = users
[listen]
announcements = $ip:0
[worker]
address = $ip:1
[store]
address = $ip:1" pool agent

# ends_during_start NAME PIPE WORDS...: starts the daemon, which reads PIPE, and asks it to stop.
ends_during_start() {
  local name=$1 pipe=$2
  shift 2
  mkfifo "$pipe"
  start "$name" "$@"
  await opens_pipe "$name"
  stop "$name"
  grep -q '"event":"stop_asked"' "$work/$name.log"
}

log_url="http://$ip:1"
target_url="http://$ip:1"
entry_settings a | sed "s|^shared_keys_file = .*|shared_keys_file = $work/entry-keys|" >"$work/entry.ini"
ends_during_start entry "$work/entry-keys" entry "$work/entry.ini"
agent_settings a "$ip:1" | sed "s|^shared_keys_file = .*|shared_keys_file = $work/agent-keys|" >"$work/agent.ini"
ends_during_start agent "$work/agent-keys" agent "$work/agent.ini"
ends_during_start dev "$work/document.ini" dev "$work/document.ini"
echo "1 passed, 0 failed"
