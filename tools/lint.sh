#!/usr/bin/env bash
# Runs clang-tidy over all C++ sources of the library, the adapter and the programs.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
# The linter cannot read the compiler's precompiled headers, so it gets the commands without them.
lint_build=$(mktemp -d)
trap 'rm -rf "$lint_build"' EXIT
sed -E 's# -include [^ ]*cmake_pch\.hxx##g; s# -Winvalid-pch##g' "$build/compile_commands.json" >"$lint_build/compile_commands.json"
git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' |
    xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p "$lint_build"
