#!/usr/bin/env bash
# Builds the parsers with libFuzzer and AddressSanitizer and runs a fixed number of inputs from a
# fixed seed, so that the result is reproducible. For a longer run: fuzz_test.sh SOURCE RUNS SEED.
set -euo pipefail
source=$1
runs=${2:-20000}
seed=${3:-1}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$source"
units=(tests/fuzz/parsers_fuzz.cc core/error.cc core/ini.cc core/ini_keys.cc core/units.cc
  core/logging.cc core/log_writer.cc core/thread.cc core/shutdown.cc core/http_client.cc core/http_server.cc
  core/listen_socket.cc core/json_shape.cc
  core/metrics.cc core/clock.cc core/secret.cc core/digest.cc servers/config/environment.cc
  servers/jobs/job.cc servers/state/record.cc
  servers/replay/trace.cc servers/replay/synthetic_document.cc servers/replay/trace_generator.cc servers/platform/log_service.cc
  platform/*.cc servers/pool/job_model.cc servers/pool/job_progress.cc servers/pool/job_records.cc
  servers/pool/pool_config.cc servers/pool/pool_messages.cc servers/pool/job_api.cc servers/pool/unresolved_calls.cc
  servers/pool/local_planner_client.cc servers/pool/pool_view.cc servers/membership/*.cc
  servers/pool/job_table.cc servers/pool/progress_parts.cc servers/pool/pool_worker.cc
  servers/pool/planner_router.cc)
# Leaves out tests, and the adapter's plug-in registration, which no parser needs.
mapfile -t units < <(printf '%s\n' "${units[@]}" | grep -v -e '_test.cc$' -e register_types)
# Compiles only the files of the parsers; add further dependencies to the list above.
printf '%s\n' "${units[@]}" | xargs -P 4 -I{} bash -c '
  clang++ -std=c++20 -O1 -g -fsanitize=fuzzer-no-link,address -I. -c {} \
    -o "$0/$(echo {} | tr / _).o"' "$work"
clang++ -fsanitize=fuzzer,address "$work"/*.o -lglog -linih -lsodium -lcurl -lmicrohttpd -lpthread -o "$work/fuzz"
cp -r tests/fuzz/seeds "$work/corpus"
"$work/fuzz" -runs="$runs" -seed="$seed" -timeout=10 -rss_limit_mb=1024 -max_len=8192 \
  -artifact_prefix="$work/" "$work"/corpus/* 2>&1 | grep -v '^{' | tail -n 5
test "${PIPESTATUS[0]}" -eq 0
