#!/usr/bin/env bash
# Starts the stand-ins of the platform and of the backend servers and a fleet of daemons on fixed loopback
# ports, prints the addresses and waits. On INT or TERM it stops exactly the processes that it started.
#
# usage: tools/run_fleet.sh EXAMPLE [BUILD_DIR]
#   EXAMPLE is kandy or tanrend: a program in BUILD_DIR/bin that prints a configuration.
# environment:
#   FLEET_DAEMONS  number of daemons (4, at most 20)
#   FLEET_PORT     first port (21000): platform +0, controls +1.., daemons +10.., their admin listeners +30..,
#                  their peer listeners +50.., backend servers +100..
#   FLEET_FOLDER   folder for settings and logs (a new temporary one, removed at the end)
#   FLEET_SERVICE_MS, FLEET_COLD_MS   service time (4), cold start (500)
set -euo pipefail

example=${1:?usage: tools/run_fleet.sh EXAMPLE [BUILD_DIR]}
build=${2:-build}
daemons=${FLEET_DAEMONS:-4}
base_port=${FLEET_PORT:-21000}
if ((daemons < 1 || daemons > 20)); then
    echo "FLEET_DAEMONS must be from 1 to 20" >&2
    exit 2
fi
folder=${FLEET_FOLDER:-$(mktemp -d)}
mkdir -p "$folder"
# shellcheck source=tools/fleet_common.sh
source "$(dirname "$0")/fleet_common.sh"

finish() {
    # A second signal must not leave processes behind.
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
