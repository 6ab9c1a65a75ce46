#!/usr/bin/env bash
# Regenerates the committed C++ code of the Cap'n Proto schemas. Run after changing rpc/*.capnp.
set -euo pipefail
cd "$(dirname "$0")/.."
cd rpc
capnp compile -oc++:generated ./*.capnp
