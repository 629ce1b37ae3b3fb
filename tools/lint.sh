#!/usr/bin/env bash
# Runs clang-tidy over all C++ sources of the library, the programs and the benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'apps/*.cpp' 'bench/*.cpp' |
    xargs -r -P 8 -n 2 clang-tidy --quiet -p "$build"
