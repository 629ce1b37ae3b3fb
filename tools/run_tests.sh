#!/usr/bin/env bash
# Runs every test: the unit tests, then the fault tests of a fleet of real processes. A sanitizer build runs the unit
# tests only, because its daemons are too slow for the loads. A test listed in KNOWN-RED.txt may fail and is printed;
# a case of the fault tests is listed as fleet_faults.CASE. Closes with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
build=${1:-build}
known=$(grep -oE '^test: [A-Za-z0-9_./]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2)
log=$(mktemp)
fault_log=$(mktemp)
trap 'rm -f "$log" "$fault_log"' EXIT

"$build"/bin/zinnia_tests --gtest_brief=1 2>&1 | tee "$log"
runner=${PIPESTATUS[0]}

passed=$(grep -oE '\[  PASSED  \] [0-9]+' "$log" | grep -oE '[0-9]+$' | tail -n 1)
passed=${passed:-0}
failed=$(grep -E '^\[  FAILED  \] [A-Za-z0-9_]+\.[A-Za-z0-9_/]+' "$log" | awk '{print $4}' | tr -d ',' | sort -u)
unexpected=0
# A crash leaves no list of failed tests, so the runner's own exit code counts then.
if ((runner != 0)) && [[ -z $failed ]]; then
    unexpected=$((unexpected + 1))
fi

if ! grep -qx 'ZINNIA_SANITIZE:BOOL=ON' "$build/CMakeCache.txt"; then
    tools/fleet_faults.sh "$build" 2>&1 | tee "$fault_log"
    faults=${PIPESTATUS[0]}
    passed=$((passed + $(grep -cE '^case [a-z_]+: pass$' "$fault_log")))
    failed_cases=$(sed -nE 's/^case ([a-z_]+): fail.*/fleet_faults.\1/p' "$fault_log")
    failed+=$'\n'$failed_cases
    if ((faults != 0)) && [[ -z $failed_cases ]]; then
        unexpected=$((unexpected + 1))
    fi
fi

for test in $failed; do
    if grep -qxF "$test" <<<"$known"; then
        echo "known red: $test"
    else
        unexpected=$((unexpected + 1))
    fi
done
echo "$passed passed, $unexpected failed"
((unexpected == 0 && passed > 0))
