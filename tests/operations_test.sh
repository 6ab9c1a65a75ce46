#!/usr/bin/env bash
# Runs the procedures of docs/OPERATIONS.md with separate processes on loopback: first start of a trial
# and a production environment, publish, promote, rollback, zone out and in, replacing entries and
# agents one by one, rotating the shared key, and an outage of the log.
set -euo pipefail
source "$(dirname "$0")/process_lib.sh"
echo "a-promotion-key-for-this-test" >"$work/promotion"

start target stand-in target
await listening target
target_url="http://127.0.0.1:$(port target callers)"

# environment_up NAME MORE: starts a log, two entries and two agents of an environment.
environment_up() {
  local name=$1 more=$2 zone
  start "$name-log" stand-in log
  await listening "$name-log"
  log_url="http://127.0.0.1:$(port "$name-log" callers)"
  for zone in a b; do
    {
      entry_settings $zone
      printf '[environment]\nname = %s\npromotion_key_file = %s\n%s' "$name" "$work/promotion" "$more"
    } >"$work/$name-entry-$zone.ini"
    start "$name-entry-$zone" entry "$work/$name-entry-$zone.ini"
    await listening "$name-entry-$zone"
  done
  local sessions
  sessions="$ip:$(port "$name-entry-a" sessions) $ip:$(port "$name-entry-b" sessions)"
  for zone in a b; do
    agent_settings $zone "$sessions" >"$work/$name-agent-$zone.ini"
    start "$name-agent-$zone" agent "$work/$name-agent-$zone.ini"
  done
}
entries_of() { echo "$ip:$(port "$1-entry-a" operators) $ip:$(port "$1-entry-b" operators)"; }

environment_up trial ''
environment_up production $'trial = trial\n'

# Publish in the trial, promote to production.
document a b >"$work/environment.ini"
"$binary" config check "$work/environment.ini"
operators=$(entries_of trial)
trial=$operators
as_operator config publish --wait 20s --author kati "$work/environment.ini"
operators=$(entries_of production)
if as_operator config publish "$work/environment.ini"; then
  echo "production accepted a document that no trial environment had" >&2
  exit 1
fi
await as_operator config promote --from-entries "$trial" --from-token-file "$work/operator" --wait 20s
as_operator config show | cmp - "$work/environment.ini"

# A zone out and in; a rollback to version 1 while the zone is out keeps it out.
as_operator zone out --author angus a
as_operator config show --version 1 >"$work/old.ini"
as_operator config publish --zone-states keep --wait 20s "$work/old.ini"
as_operator zone show | grep -q '^a  *out'
as_operator zone in --author angus a

# replace_all: replaces the entries and agents of production one by one; entries keep the addresses
# that agents know.
replace_all() {
  local zone sessions
  for zone in a b; do
    sessions=$(port "production-entry-$zone" sessions)
    sed -i "/^\[sessions\]/,/^\[/ { /^port/d; s|^address.*|&\nport = $sessions| }" \
      "$work/production-entry-$zone.ini"
    stop "production-entry-$zone"
    start "production-entry-$zone" entry "$work/production-entry-$zone.ini"
    await listening "production-entry-$zone"
    stop "production-agent-$zone"
    start "production-agent-$zone" agent "$work/production-agent-$zone.ini"
  done
  operators=$(entries_of production)
  await as_operator config publish --zone-states keep --wait 20s "$work/old.ini"
}
replace_all

# Rotates the shared key: all processes first accept both keys, then use the new key, and finally the
# old key is removed.
printf 'a-key-for-this-test\nthe-next-key\n' >"$work/keys"
replace_all
printf 'the-next-key\na-key-for-this-test\n' >"$work/keys"
replace_all
echo 'the-next-key' >"$work/keys"
replace_all

# While the log is down, operators' changes are refused, and the configuration in force stays readable.
kill -KILL "$(cat "$work/production-log.pid")"
if as_operator zone out a; then
  echo "a zone change was accepted without a log" >&2
  exit 1
fi
as_operator config show | cmp - "$work/old.ini"

# No log may contain a secret.
for secret in a-key-for-this-test the-next-key a-promotion-key an-operator-token "$token"; do
  if grep -l -- "$secret" "$work"/*.log; then
    echo "a secret is in a log" >&2
    exit 1
  fi
done
echo "1 passed, 0 failed"
