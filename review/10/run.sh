#!/usr/bin/env bash
# Case 10: a removed instance gets requests while the hubs are turned away; see claim.txt.
source "$(dirname "$0")/../run_case_2.sh"
