#!/usr/bin/env bash
# Checks a model: check_model.sh MODEL holds|fails [DEFINE]. `holds` passes if spin finds no error,
# `fails` if it finds a violated assertion. An incomplete search passes neither.
set -euo pipefail
model=$(realpath "$1")
expected=$2
define=${3:-}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
spin ${define:+-D"$define"} -a "$model" >/dev/null
cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=1024 -o pan pan.c 2>/dev/null
./pan -E -m200000 -w22 >out 2>&1 || true
grep -E 'errors:|states, stored|elapsed time' out || true
if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' out; then
  echo "the search was incomplete: depth or memory limit reached"
  exit 1
fi
case $expected in
  holds) grep -q 'errors: 0' out ;;
  fails) grep -q 'assertion violated' out ;;
  *) exit 2 ;;
esac
