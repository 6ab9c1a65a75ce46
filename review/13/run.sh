#!/bin/sh
# See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
set -- pending_after_loss review/13
. review/standin-3/case.sh
