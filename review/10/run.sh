#!/usr/bin/env bash
# Case 10: a client's header, inside the limits, ends the daemon; see claim.txt.
driver=long_header
source "$(dirname "$0")/../stand_ins_2/run_case.sh"
