#!/usr/bin/env bash
# Fails when a source file is not as clang-format would write it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '^rpc/generated/' |
  xargs clang-format --dry-run --Werror
