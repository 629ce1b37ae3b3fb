#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review-3/case-12 && -x target/zinniaferry-platform ]] || { echo "build first: deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
code=0
timeout -k 5 110 target/review-3/case-12 || code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
