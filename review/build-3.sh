#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/review-3/. To be run after the build
# of the deploy file, whose packages it needs (g++, nlohmann-json3-dev).
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
builds=
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name" &
  builds="$builds $!"
done
for build in $builds; do wait "$build"; done
