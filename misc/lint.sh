#!/usr/bin/env bash
# Lints all source files, or only the given files: lint.sh BUILD [FILE...].
# Skips files whose preprocessed text has passed before.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
cache=${LINT_CACHE:-${HOME:-/tmp}/.cache/turmericshift-lint}
mkdir -p "$cache"
export build cache

lint_one() {
  local file=$1 key
  # The result depends on the preprocessed file, the enabled checks and the version of clang-tidy.
  key=$({ clang++ -std=c++20 -E -P -I. -isystem rpc/generated "$file" 2>/dev/null; cat "$file" .clang-tidy; clang-tidy --version; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "lint: $file" >&2
    return 1
  fi
}
export -f lint_one

if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' | grep -v '^rpc/generated/')
else
  files=("$@")
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
