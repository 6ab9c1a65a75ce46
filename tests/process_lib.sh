# Library for tests that run the system as separate processes on loopback. Source it with the binary's
# path in $1. It provides a folder $work, and ends the processes it started when the script exits.
binary=$1
work=$(mktemp -d)
# Loopback address of this test's entries, different for each test: when an entry restarts at its old
# port, no other test or connection may have taken that port.
ip="127.$((1 + $$ / 62500 % 250)).$((1 + $$ / 250 % 250)).$((1 + $$ % 250))"
# Only running children: the id of an ended process may have been reused.
cleanup() {
  local pid
  for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

# File descriptor for the progress messages, because a command's own output may be discarded.
exec {steps}>&2
begun_us=${EPOCHREALTIME/[.,]/}

# step WORDS...: prints which step begins or has ended, with the time, so that the output of a test
# that times out shows the step it reached.
step() {
  local us=$((${EPOCHREALTIME/[.,]/} - begun_us))
  printf '[%4d.%03d s] %s\n' $((us / 1000000)) $((us / 1000 % 1000)) "$*" >&"$steps"
}

# Runs the remaining words as a command every 50 ms until it succeeds, for at most 30 s.
await() {
  local deadline=$((SECONDS + 30)) tries=1 awaiting=yes
  step "await $*"
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $deadline ]; then
      echo "condition not met in time: $*" >&2
      tail -n 5 "$work"/*.log >&2
      exit 1
    fi
    sleep 0.05
    tries=$((tries + 1))
  done
  step "condition met at attempt $tries: $*"
}

# threads_of PID: prints each thread's name, state and kernel wait location.
threads_of() {
  local thread
  for thread in "/proc/$1/task"/*; do
    echo "  $(cat "$thread/comm"): $(sed -n 's/^State:[[:space:]]*//p' "$thread/status")" \
      "in $(cat "$thread/wchan" 2>/dev/null)"
  done
}

# has_ended PID: whether the child has ended; until it is waited for, it is a zombie.
has_ended() { ! grep -qs '^State:[[:space:]]*[^Z[:space:]]' "/proc/$1/status"; }

# await_end NAME: waits for the process to end without a signal; returns its exit status. After 70 s,
# longer than a graceful stop may take, the test fails and prints the threads that are left.
await_end() {
  local pid deadline=$((SECONDS + 70))
  pid=$(cat "$work/$1.pid")
  until has_ended "$pid"; do
    if [ $SECONDS -ge $deadline ]; then
      echo "$1 (process $pid) did not end within 70 s; its threads:" >&2
      threads_of "$pid" >&2
      tail -n 5 "$work/$1.log" >&2
      exit 1
    fi
    sleep 0.05
  done
  wait "$pid"
}

# stop NAME: stops the process gracefully; returns its exit status.
stop() {
  local status=0
  step "stop $1"
  kill -TERM "$(cat "$work/$1.pid")"
  await_end "$1" || status=$?
  step "ended with status $status: $1"
  return $status
}

# start NAME WORDS...: starts a process that logs to NAME.log.
start() {
  local name=$1
  shift
  # Emptied before the start, or lines of the previous process would be read as the new one's.
  : >"$work/$name.log"
  "$binary" "$@" >"$work/$name.log" 2>&1 {steps}>&- &
  echo $! >"$work/$name.pid"
  step "started $name"
}

# port NAME KIND: prints the port of this kind that the process listens on.
port() {
  grep -o "\"$2\":[0-9]*" "$work/$1.log" | head -n 1 | cut -d: -f2
}

listening() { grep -q '"event":"listening"' "$work/$1.log"; }

echo "a-key-for-this-test" >"$work/keys"
echo "an-operator-token-for-this-test" >"$work/operator"
read -r _ token < <("$binary" token | sed -n 1p)
echo "$token" >"$work/token"

entry_settings() {
  cat <<INI
[process]
name = entry-$1
availability_zone = $1
shared_keys_file = $work/keys
operator_token_file = $work/operator
balancer_notice = 200ms
[callers]
address = $ip
[operators]
address = $ip
[sessions]
address = $ip
[log]
address = $log_url
INI
}

agent_settings() {
  cat <<INI
[process]
name = worker-$1
availability_zone = $1
rack = rack-$1
shared_keys_file = $work/keys
[entries]
addresses = $2
heartbeat = 200ms
[target]
service = planner
address = $target_url
[worker]
client = stand_in
address = inside
processors = 16
memory = 64GiB
accelerators = 8
INI
}

# The two functions below need $operators and $callers: "IP:port IP:port …".
as_operator() { command_step "$@" --entries "$operators" --token-file "$work/operator"; }
as_caller() { command_step "$@" --entries "$callers" --token-file "$work/token"; }

# command_step WORDS...: runs one command of the binary as a step; await reports its own steps.
command_step() {
  local status=0
  [ -n "${awaiting:-}" ] || step "command: $1 ${2:-}"
  "$binary" "$@" || status=$?
  [ -n "${awaiting:-}" ] || step "status $status: $1 ${2:-}"
  return $status
}

# document ZONE...: prints an environment with one worker in each zone, for workspace boxes and
# service planner; its token is in $work/token.
document() {
  local hash zone
  hash=$("$binary" token --of "$work/token")
  printf '[environment]\ndeployment = processes\n'
  for zone in "$@"; do
    cat <<INI
[availability_zone $zone]
state = in
workers = 1
processors_per_worker = 16
memory_per_worker = 64GiB
accelerators_per_worker = 8
workers_per_rack = 1
INI
  done
  cat <<INI
[workspace boxes]
token_hashes = $hash
guarantee = 1 half
accelerator_cap = 16
[service planner]
slots = 8
INI
}

# addresses KIND: prints the addresses of the entries in $zones, "IP:port IP:port …".
addresses() {
  local zone list=()
  for zone in "${zones[@]}"; do list+=("$ip:$(port "entry-$zone" "$1")"); done
  echo "${list[*]}"
}

# Prints how often the target has run each idempotency key, as JSON.
target_runs() {
  exec 3<>"/dev/tcp/127.0.0.1/$(port target callers)"
  printf 'GET /runs HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' >&3
  tail -n 1 <&3
}

# start_platform [OPTION OF THE TARGET…]: starts the stand-ins of the log and of one target.
start_platform() {
  start log stand-in log
  start target stand-in target "$@"
  await listening log
  await listening target
  log_url="http://127.0.0.1:$(port log callers)"
  target_url="http://127.0.0.1:$(port target callers)"
}

start_entry() {
  entry_settings "$1" >"$work/entry-$1.ini"
  start "entry-$1" entry "$work/entry-$1.ini"
  await listening "entry-$1"
}

# Updates the addresses of the entries that listen now.
start_agent() {
  agent_settings "$1" "$(addresses sessions)" >"$work/agent-$1.ini"
  start "agent-$1" agent "$work/agent-$1.ini"
}
