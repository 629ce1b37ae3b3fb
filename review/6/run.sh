#!/usr/bin/env bash
# Case 6: the store comes back from a copy some seconds old; see claim.txt.
source "$(dirname "$0")/../run_case_2.sh"
