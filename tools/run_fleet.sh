#!/usr/bin/env bash
# Starts stand-ins for the platform and the backend servers and a fleet of daemons on consecutive loopback
# ports, prints the addresses and waits. On INT or TERM it stops only the processes that it started.
#
# usage: tools/run_fleet.sh EXAMPLE [BUILD_DIR]
#   EXAMPLE is kandy or tanrend: a program in BUILD_DIR/bin that prints a configuration.
# environment:
#   FLEET_DAEMONS  number of daemons (4, at most 20)
#   FLEET_PORT     first port (21000): platform +0, control ports of the services +1.., daemons +10..,
#                  their admin listeners +30.., their peer listeners +50.., backend servers +100..
#   FLEET_FOLDER   folder for settings and logs (a new temporary one, removed at the end)
#   FLEET_LOG_FORMAT   text (default) or json, which zinniactl explain reads
#   FLEET_SERVICE_MS, FLEET_COLD_MS   service time (4 ms), time for which a started server is cold (500 ms)
set -euo pipefail

example=${1:?usage: tools/run_fleet.sh EXAMPLE [BUILD_DIR]}
build=${2:-build}
daemons=${FLEET_DAEMONS:-4}
base_port=${FLEET_PORT:-21000}
if ((daemons < 1 || daemons > 20)); then
    echo "FLEET_DAEMONS is $daemons; it must be from 1 to 20" >&2
    exit 2
fi
folder=${FLEET_FOLDER:-$(mktemp -d)}
mkdir -p "$folder"
# shellcheck source=tools/fleet_common.sh
source "$(dirname "$0")/fleet_common.sh"

finish() {
    # Ignores further signals, so that a second one cannot leave processes running.
    trap - EXIT
    trap '' INT TERM
    stop_fleet
    if [[ -z ${FLEET_FOLDER:-} ]]; then rm -rf "$folder"; fi
    echo "fleet: stopped"
    exit "$1"
}
trap 'finish $?' EXIT
trap 'finish 0' INT TERM

prepare_fleet "$example"
start_fleet
echo "folder        $folder"
echo "fleet: ready"

wait -n || true
echo "fleet: a process ended unexpectedly; stopping" >&2
exit 1
