#!/usr/bin/env bash
# Lints every source file, or those named after the build folder: lint.sh BUILD [FILE...].
# A file whose preprocessed text has been found clean before is not looked at again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
cache=${LINT_CACHE:-${HOME:-/tmp}/.cache/turmericshift-lint}
mkdir -p "$cache"
export build cache

lint_one() {
  local file=$1 key
  # What the compiler sees of the file, the checks and the checker's version decide the verdict.
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
