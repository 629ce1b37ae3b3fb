#!/usr/bin/env bash
# Runs clang-format with the given options on all C++ files except generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp' | grep -v '\.capnp\.' |
    xargs -r clang-format "$@"
