#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review into target/review-2, with the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
for source in review/stand_ins_2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "$source" -o "$out/$name" -lboost_json -lpthread &
done
wait
for source in review/stand_ins_2/*.cpp; do
    [[ -x $out/$(basename "$source" .cpp) ]]
done
