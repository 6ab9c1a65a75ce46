#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/turmericshift ] && [ -x target/review/spec_cut ] || exit 2
timeout -k 1 118 target/review/spec_cut target/turmericshift review/3/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
