#!/bin/sh
# See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
set -- worker_gone_agent_back review/9
. review/standin-3/case.sh
