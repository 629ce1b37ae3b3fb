#!/usr/bin/env bash
# Runs clang-tidy on all C++ sources of the library, the platform adapter and the programs. Nearly all of its time goes
# into Boost's headers, so up to `files_per_unit` sources of a folder are checked as one translation unit. Names without
# linkage must therefore differ within a folder.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
files_per_unit=8
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

sources() { git ls-files --cached --others --exclude-standard -- "$@"; }

# Writes the translation units of each folder. NOLINT, because clang-tidy warns of an included .cpp file.
write_units() {
    local folder unit file count
    for folder in $(sources 'src/*.cpp' 'platform/*.cpp' | xargs -n 1 dirname | sort -u); do
        count=0
        for file in $(sources "$folder/*.cpp"); do
            if [[ $file == platform/main.cpp ]]; then continue; fi
            unit=$work/${folder//\//_}_$((count / files_per_unit)).cpp
            echo "#include \"$root/$file\" // NOLINT" >>"$unit"
            count=$((count + 1))
        done
    done
}

write_units
# Starts the largest units first, so that none runs alone at the end. The programs are checked one by one, because their
# names may repeat.
{
    find "$work" -name '*.cpp' -printf '%s %p\n' | sort -rn | cut -d' ' -f2
    sources 'apps/*.cpp' platform/main.cpp
} | xargs -P "$(nproc)" -I '{}' clang-tidy --quiet --config-file=.clang-tidy '{}' -- \
    -std=c++20 -Isrc -I. -DZINNIA_VERSION='"lint"' -DSPDLOG_FMT_EXTERNAL -DBOOST_ALL_NO_LIB \
    -Wall -Wextra -Wno-missing-field-initializers
