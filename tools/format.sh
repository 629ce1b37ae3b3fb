#!/usr/bin/env bash
# Runs clang-format with the given options over all C++ files that are not generated.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp' | grep -v '\.capnp\.' |
    xargs -r clang-format "$@"
