#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/8 into target/review-2. The project's
# own program has to be in target/ already (the build of deploy/system.toml).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
