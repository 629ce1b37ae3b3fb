#!/usr/bin/env bash
# Builds the drivers of the second review's cases, with their stand-ins, into target/review-2, with the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
for number in 6 7 8 9 10; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "review/$number/case.cpp" -o "$out/case-$number" \
        -lboost_json -lpthread &
done
wait
for number in 6 7 8 9 10; do
    [[ -x $out/case-$number ]]
done
