#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts into target/review, which git ignores. Needs only the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/harness.cpp -o target/review/harness.o
for source in review/[1-5]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/harness.o -o "target/review/case-$name"
done
