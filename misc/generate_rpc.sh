#!/usr/bin/env bash
# Makes the committed C++ code of the Cap'n Proto schemas anew. Run after a change of rpc/*.capnp.
set -euo pipefail
cd "$(dirname "$0")/.."
cd rpc
capnp compile -oc++:generated ./*.capnp
