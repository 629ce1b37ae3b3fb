#!/usr/bin/env bash
# Case 6: the store comes back from a copy some seconds old; see claim.txt.
driver=drill
source "$(dirname "$0")/../stand_ins_2/run_case.sh"
