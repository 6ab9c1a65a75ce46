#!/bin/sh
# See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
set -- lasting_beside_long review/13
. review/standin-3/case.sh
