#!/usr/bin/env bash
# Fails if a source file is not formatted by clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '^rpc/generated/' |
  xargs clang-format --dry-run --Werror
