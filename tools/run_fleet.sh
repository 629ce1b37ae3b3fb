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
#   FLEET_SERVICE_MS, FLEET_COLD_MS, FLEET_LEASE_MS   service time (4), cold start (500), lease term (2000)
set -euo pipefail

example=${1:?usage: tools/run_fleet.sh EXAMPLE [BUILD_DIR]}
build=${2:-build}
daemons=${FLEET_DAEMONS:-4}
base=${FLEET_PORT:-21000}
ip=127.0.0.1
if ((daemons < 1 || daemons > 20)); then
    echo "FLEET_DAEMONS must be from 1 to 20" >&2
    exit 2
fi
folder=${FLEET_FOLDER:-$(mktemp -d)}
mkdir -p "$folder"

daemon_pids=()
stub_pids=()

# Sends TERM, then KILL to those that have not ended after 15 s.
stop_all() {
    local pid waited=0
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do
        while kill -0 "$pid" 2>/dev/null && ((waited < 150)); do
            sleep 0.1
            waited=$((waited + 1))
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}

finish() {
    # A second signal must not leave processes behind.
    trap - EXIT
    trap '' INT TERM
    # Daemons first: their requests in flight need the backend servers.
    stop_all "${daemon_pids[@]}"
    stop_all "${stub_pids[@]}"
    if [[ -z ${FLEET_FOLDER:-} ]]; then rm -rf "$folder"; fi
    echo "fleet: stopped"
    exit "$1"
}
trap 'finish $?' EXIT
trap 'finish 0' INT TERM

# A fleet of this size needs its own majority; one more process may run while one is replaced.
"$build/bin/$example" --base-port $((base + 100)) |
    sed -E "s/\"max_vms\": *[0-9]+/\"max_vms\":$((daemons + 1))/
            s/\"lease_term_ms\": *[0-9]+/\"lease_term_ms\":${FLEET_LEASE_MS:-2000}/" >"$folder/config.json"

# The examples print one entry per line. The data centres stand between their own name and "accounts".
mapfile -t centres < <(sed -n '/"data_centres"/,/"accounts"/s/.*"name": *"\([^"]*\)".*"region": *"\([^"]*\)".*/\1 \2/p' \
    "$folder/config.json")
mapfile -t services < <(sed -nE 's/.*"name": *"([^"]*)", *"slots": *([0-9]+), *"cold_allowance": *([0-9]+).*/\1 \2 \3/p' \
    "$folder/config.json")
if ((${#centres[@]} == 0 || ${#services[@]} == 0)); then
    echo "fleet: found no data centres or services in the configuration of $example" >&2
    exit 2
fi

separator=''
printf '{"vms":[' >"$folder/vms.json"
for ((i = 0; i < daemons; i++)); do
    read -r centre region <<<"${centres[i % ${#centres[@]}]}"
    printf '%s\n{"name":"vm-%d","data_centre":"%s","peer_address":"%s:%d","admin_address":"%s:%d","state":"live"}' \
        "$separator" $((i + 1)) "$centre" $ip $((base + 50 + i)) $ip $((base + 30 + i)) >>"$folder/vms.json"
    separator=','
    cat >"$folder/vm-$((i + 1)).json" <<SETTINGS
{"vm":"vm-$((i + 1))", "data_centre":"$centre", "region":"$region",
 "listen":"$ip:$((base + 10 + i))", "admin_listen":"$ip:$((base + 30 + i))", "peer_listen":"$ip:$((base + 50 + i))",
 "platform":"$ip:$base", "peer_secret":"loopback-peer-secret", "admin_credential":"loopback-admin-credential",
 "log_level":"info", "log_format":"text", "stop_grace_ms":500}
SETTINGS
done
printf '\n]}\n' >>"$folder/vms.json"

"$build/bin/platform_stub" --listen "$ip:$base" --config "$folder/config.json" --vms "$folder/vms.json" \
    >"$folder/platform.log" 2>&1 &
stub_pids+=($!)
echo "platform      $ip:$base"

first=$((base + 100))
control=$((base + 1))
for entry in "${services[@]}"; do
    read -r service slots allowance <<<"$entry"
    count=$(grep -cE "\"name\": *\"$service-[0-9]+\", *\"data_centre\"" "$folder/config.json")
    "$build/bin/backend_stub" --service "$service" --listen "$ip:$first" --count "$count" \
        --control "$ip:$control" --slots "$slots" --queue 8 --service-ms "${FLEET_SERVICE_MS:-4}" \
        --cold-ms "${FLEET_COLD_MS:-500}" --cold-allowance "$allowance" --log "$folder/$service.executions" \
        >"$folder/$service.log" 2>&1 &
    stub_pids+=($!)
    echo "service       $service: $count servers from $ip:$first, control $ip:$control"
    first=$((first + count))
    control=$((control + 1))
done

for ((i = 0; i < daemons; i++)); do
    "$build/bin/zinniaferry" --settings "$folder/vm-$((i + 1)).json" >"$folder/vm-$((i + 1)).log" 2>&1 &
    daemon_pids+=($!)
    echo "daemon        vm-$((i + 1)): callers $ip:$((base + 10 + i)), admin $ip:$((base + 30 + i))"
done

for ((i = 0; i < daemons; i++)); do
    for ((tries = 0; tries < 150; tries++)); do
        if curl -sf -m 1 -o /dev/null "http://$ip:$((base + 30 + i))/readyz"; then continue 2; fi
        if ! kill -0 "${daemon_pids[i]}" 2>/dev/null; then break; fi
        sleep 0.1
    done
    echo "fleet: vm-$((i + 1)) did not get ready; the end of its log:" >&2
    tail -n 5 "$folder/vm-$((i + 1)).log" >&2
    exit 1
done
echo "folder        $folder"
echo "fleet: ready"

wait -n || true
echo "fleet: a process ended unexpectedly; stopping" >&2
exit 1
