#!/usr/bin/env bash
# Runs the unit tests, the tests of real processes (faults of a fleet, then crowds of bad clients, one at a time), or
# both. A failure of a test that KNOWN-RED.txt lists is printed and not counted; a case of the fault tests is listed there
# as fleet_faults.CASE, one of the crowd tests as crowd.CASE. The last line is "N passed, N failed".
#
# usage: tools/run_tests.sh [BUILD_DIR [all|units|faults]]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
build=${1:-build}
part=${2:-all}
known=$(grep -oE '^test: [A-Za-z0-9_./]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2)
log=$(mktemp)
fault_log=$(mktemp)
crowd_log=$(mktemp)
trap 'rm -f "$log" "$fault_log" "$crowd_log"' EXIT

passed=0 failed='' unexpected=0
if [[ $part != faults ]]; then
    "$build"/bin/zinnia_tests --gtest_brief=1 2>&1 | tee "$log"
    runner=${PIPESTATUS[0]}
    passed=$(grep -oE '\[  PASSED  \] [0-9]+' "$log" | grep -oE '[0-9]+$' | tail -n 1)
    passed=${passed:-0}
    failed=$(grep -E '^\[  FAILED  \] [A-Za-z0-9_]+\.[A-Za-z0-9_/]+' "$log" | awk '{print $4}' | tr -d ',' | sort -u)
    # After a crash there is no list of failed tests, so the exit code of the test program counts as a failure.
    if ((runner != 0)) && [[ -z $failed ]]; then
        unexpected=$((unexpected + 1))
    fi
fi

if [[ $part != units ]]; then
    tools/fleet_faults.sh "$build" 2>&1 | tee "$fault_log"
    faults=${PIPESTATUS[0]}
    passed=$((passed + $(grep -cE '^case [a-z_]+: pass$' "$fault_log")))
    failed_cases=$(sed -nE 's/^case ([a-z_]+): fail.*/fleet_faults.\1/p' "$fault_log")
    failed+=$'\n'$failed_cases
    if ((faults != 0)) && [[ -z $failed_cases ]]; then
        unexpected=$((unexpected + 1))
    fi
    "$build"/bin/crowd_check --daemon "$build/bin/zinniaferry-platform" 2>&1 | tee "$crowd_log"
    crowds=${PIPESTATUS[0]}
    passed=$((passed + $(grep -cE '^case [a-z_]+: pass$' "$crowd_log")))
    failed_cases=$(sed -nE 's/^case ([a-z_]+): fail.*/crowd.\1/p' "$crowd_log")
    failed+=$'\n'$failed_cases
    if ((crowds != 0)) && [[ -z $failed_cases ]]; then
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
