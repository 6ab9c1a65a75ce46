#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run goes to record.txt beside this script.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
[ -x target/turmericshift ] && [ -x target/review-2/unaware_agent ] || exit 2
timeout 115 target/review-2/unaware_agent "$case_folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
