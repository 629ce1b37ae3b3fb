# Functions that start, use and stop a fleet on consecutive loopback ports; sourced by the other scripts.
#
# The caller sets: build (folder with bin/), base_port (first port), folder (for settings and logs), daemons (number),
# and log_exchanges=yes if the backend servers shall log all received requests.
# Ports relative to base_port: platform +0, control ports of the services +1.., daemons +10.., their admin listeners
# +30.., their peer listeners +50.., backend servers +100..
# shellcheck shell=bash
# shellcheck disable=SC2154 # build, base_port, folder and daemons come from the caller.

source "$(dirname "${BASH_SOURCE[0]}")/processes.sh"

ip=127.0.0.1
admin_credential=loopback-admin-credential
daemon_pids=()
stub_pids=()
centres=()  # "NAME REGION"
services=() # "NAME SLOTS"

now_us() { date +%s%6N; }

# Stops the daemons first, because their requests in flight need the backend servers.
stop_fleet() {
    terminate_processes "${daemon_pids[@]}"
    terminate_processes "${stub_pids[@]}"
    daemon_pids=()
    stub_pids=()
}

# Writes config.json and the settings of each daemon, and fills `centres` and `services`.
prepare_fleet() { # EXAMPLE
    local example=$1 i centre region
    "$build/bin/$example" --base-port $((base_port + 100)) |
        sed -E "s/\"warmup_ms\": *[0-9]+/\"warmup_ms\":${FLEET_COLD_MS:-500}/" >"$folder/config.json"
    # The examples print one entry per line. The data centres are listed between "data_centres" and "accounts".
    mapfile -t centres < <(sed -n \
        '/"data_centres"/,/"accounts"/s/.*"name": *"\([^"]*\)".*"region": *"\([^"]*\)".*/\1 \2/p' "$folder/config.json")
    mapfile -t services < <(sed -nE 's/.*"name": *"([^"]*)", *"slots": *([0-9]+).*/\1 \2/p' "$folder/config.json")
    if ((${#centres[@]} == 0 || ${#services[@]} == 0)); then
        echo "fleet: found ${#centres[@]} data centres and ${#services[@]} services in the configuration of $example" >&2
        return 2
    fi
    for ((i = 0; i < daemons; i++)); do
        read -r centre region <<<"${centres[i % ${#centres[@]}]}"
        cat >"$folder/vm-$((i + 1)).json" <<SETTINGS
{"vm":"vm-$((i + 1))", "data_centre":"$centre", "region":"$region",
 "listen":"$ip:$((base_port + 10 + i))", "admin_listen":"$ip:$((base_port + 30 + i))", "peer_listen":"$ip:$((base_port + 50 + i))",
 "platform":"$ip:$base_port", "seeds":["$ip:$((base_port + 50))", "$ip:$((base_port + 51))", "$ip:$((base_port + 52))"],
 "admin_credential":"$admin_credential", "log_format":"${FLEET_LOG_FORMAT:-text}", "stop_grace_ms":3000}
SETTINGS
    done
}

start_stand_ins() {
    local first=$((base_port + 100)) control=$((base_port + 1)) entry service slots count exchange_log
    "$build/bin/platform_stub" --listen "$ip:$base_port" --config "$folder/config.json" \
        >"$folder/platform.log" 2>&1 &
    stub_pids+=($!)
    echo "platform      $ip:$base_port"
    for entry in "${services[@]}"; do
        read -r service slots <<<"$entry"
        count=$(grep -cE "\"name\": *\"$service-[0-9]+\", *\"data_centre\"" "$folder/config.json")
        exchange_log=''
        if [[ ${log_exchanges:-} == yes ]]; then exchange_log=$folder/$service.exchanges; fi
        "$build/bin/backend_stub" --service "$service" --listen "$ip:$first" --count "$count" \
            --control "$ip:$control" --slots "$slots" --queue 8 --service-ms "${FLEET_SERVICE_MS:-4}" \
            --cold-ms "${FLEET_COLD_MS:-500}" --cold-allowance "$slots" --log "$folder/$service.executions" \
            --exchange-log "$exchange_log" >"$folder/$service.log" 2>&1 &
        stub_pids+=($!)
        echo "service       $service: $count servers from $ip:$first, control $ip:$control"
        first=$((first + count))
        control=$((control + 1))
    done
}

start_daemon() { # INDEX from 0; appends to the log of an earlier process of this VM.
    "$build/bin/zinniaferry" --settings "$folder/vm-$(($1 + 1)).json" >>"$folder/vm-$(($1 + 1)).log" 2>&1 &
    daemon_pids[$1]=$!
}

# Polls /readyz of a daemon until it answers with success: up to 150 times, 0.1 s apart. Fails at once when the process
# has ended.
wait_until_ready() { # INDEX
    local tries
    for ((tries = 0; tries < 150; tries++)); do
        if curl -sf -m 1 -o /dev/null "http://$ip:$((base_port + 30 + $1))/readyz"; then return 0; fi
        if ! kill -0 "${daemon_pids[$1]}" 2>/dev/null; then break; fi
        sleep 0.1
    done
    echo "fleet: vm-$(($1 + 1)) is not ready; the last lines of its log:" >&2
    tail -n 5 "$folder/vm-$(($1 + 1)).log" >&2
    return 1
}

# Starts the stand-ins and the daemons with the files written by prepare_fleet and waits until all daemons are ready.
start_fleet() {
    local i
    start_stand_ins
    for ((i = 0; i < daemons; i++)); do
        start_daemon "$i"
        echo "daemon        vm-$((i + 1)): callers $ip:$((base_port + 10 + i)), admin $ip:$((base_port + 30 + i))"
    done
    for ((i = 0; i < daemons; i++)); do wait_until_ready "$i" || return 1; done
}

# The configuration holds only digests of keys, so each account gets a known key here: demo-key-ACCOUNT. Writes the
# digests of these keys into config.json, and a traffic mix for zinnia_load into mix.json.
write_mix() {
    local account account_rate digest path class idempotent open weight method keyed
    sed -nE '/"accounts"/,/"services"/s/.*"name": *"([^"]+)", *"keys".*"rate": *([0-9.]+).*/\1 \2/p' \
        "$folder/config.json" >"$folder/accounts"
    while read -r account _; do
        digest=$(printf 'demo-key-%s' "$account" | sha256sum | cut -d' ' -f1)
        sed -i -E "/\"name\": *\"$account\", *\"keys\"/s/\"keys\": *\[[^]]*\]/\"keys\":[\"$digest\"]/" "$folder/config.json"
    done <"$folder/accounts"
    {
        echo '{"accounts":['
        while read -r account account_rate; do
            echo "{\"name\":\"$account\",\"key\":\"demo-key-$account\",\"rate\":$account_rate},"
        done <"$folder/accounts"
        echo '],"routes":['
        sed -nE 's/.*"prefix": *"([^"]+)".*"class": *"([a-z]+)".*"idempotent": *(true|false).*"open": *(true|false).*/\1 \2 \3 \4/p' \
            "$folder/config.json" | while read -r path class idempotent open; do
            weight=3 method=GET
            if [[ $class == lookup ]]; then weight=6; fi
            keyed=false
            # The idempotency key identifies an order in the records when it is sent twice.
            if [[ $idempotent == false ]]; then weight=1 method=POST keyed=true; fi
            echo "{\"name\":\"$path\",\"method\":\"$method\",\"path\":\"$path\",\"weight\":$weight,\"idempotent\":$idempotent,\"idempotency_key\":$keyed,\"open\":$open},"
        done
        echo ']}'
    } >"$folder/mix.json"
}

# Prints the caller addresses of all daemons, separated by commas, as zinnia_load's --target expects them.
daemon_addresses() { seq -f "$ip:%g" -s, $((base_port + 10)) $((base_port + 9 + daemons)); }

publish_file() { # FILE: publishes the configuration in it.
    curl -sf -m 5 -o /dev/null -X PUT --data-binary "@$1" "http://$ip:$base_port/control/config"
}

version_of() { # INDEX: prints the configuration version in force, or nothing when the daemon does not answer.
    curl -sf -m 2 "http://$ip:$((base_port + 30 + $1))/metrics" | sed -n 's/^zinnia_configuration_version //p' || true
}

count_answered_orders() { # RECORDS: prints "ORDERS ANSWERED", each idempotency key counted once.
    { grep -E '"idempotency_key":"[^"]' "$1" || true; } |
        awk '{ match($0, /"idempotency_key":"[^"]*"/); key = substr($0, RSTART, RLENGTH); all[key] = 1 }
             /"outcome":"answered"/ { answered[key] = 1 }
             END { for (k in all) n++; for (k in answered) m++; print n + 0, m + 0 }'
}

count_answered_idempotent() { # RECORDS: prints "SENT ANSWERED".
    { grep '"idempotent":true' "$1" || true; } |
        awk '/"outcome":"answered"/ { answered++ } END { print NR, answered + 0 }'
}
