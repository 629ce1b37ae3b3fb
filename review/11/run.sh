#!/usr/bin/env bash
# Usage: run.sh, after the build of the deploy file and review/build-3.sh. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/zinniaferry-platform target/review-3/case-11; do
    if [[ ! -x $program ]]; then
        echo "not run: $program is missing" >&2
        exit 2
    fi
done
exec target/review-3/case-11 target/zinniaferry-platform review/11/record.txt
