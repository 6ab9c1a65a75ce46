#!/bin/sh
# Builds the stand-ins of the scripts into target/review. Needs g++ and nlohmann-json3-dev, which the
# deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/$name"
done
