#!/usr/bin/env bash
# Installs the library into a separate folder and builds the embedding example against it, as an
# external project would.
set -euo pipefail
build=$1
source=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >/dev/null
cmake -S "$source/examples/embed" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed" 2>/dev/null
