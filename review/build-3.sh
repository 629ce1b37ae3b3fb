#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, which git ignores. Needs only the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/harness.cpp -o target/review-3/harness.o
for source in review/1[1-5]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review-3/harness.o -o "target/review-3/case-$name"
done
