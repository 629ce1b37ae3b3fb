#!/usr/bin/env bash
# Case 10: a removed instance gets requests while the hubs are turned away; see claim.txt.
driver=lapsed
source "$(dirname "$0")/../stand_ins_2/run_case.sh"
