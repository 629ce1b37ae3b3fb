#!/usr/bin/env bash
# Starts a fleet of four daemons, sends mixed load while a data centre is taken out of service and brought back,
# compares the callers' records with the servers' execution logs and prints a report. The last line is the verdict.
#
# usage: tools/demo.sh [BUILD_DIR]
# environment: DEMO_EXAMPLE (kandy), DEMO_RATE (400 requests/s), FLEET_PORT (23000) and those of run_fleet.sh
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
example=${DEMO_EXAMPLE:-kandy}
rate=${DEMO_RATE:-400}
export FLEET_DAEMONS=${FLEET_DAEMONS:-4} FLEET_PORT=${FLEET_PORT:-23000}
load_s=14 out_after_s=2 back_after_s=10
# Requirement R3: no request starts in a data centre more than 5 s after it was taken out of service.
drain_limit_s=5
# Requirement R11: a published version is in force on every daemon within 12 s.
propagation_limit_s=12

folder=$(mktemp -d)
export FLEET_FOLDER=$folder
base_port=$FLEET_PORT
daemons=$FLEET_DAEMONS
# shellcheck source=tools/fleet_common.sh
source tools/fleet_common.sh
fleet_pid=''
load_pid=''
failures=()

clean_up() {
    local pid
    for pid in $load_pid $fleet_pid; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $load_pid $fleet_pid; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

print_verdict_and_exit() {
    if ((${#failures[@]} == 0)); then
        echo "verdict: pass"
        exit 0
    fi
    printf 'failed: %s\n' "${failures[@]}"
    echo "verdict: fail"
    exit 1
}

publish() { # VERSION STATE: publishes the configuration with the data centre $centre in that state.
    sed -E "s/\"version\": *[0-9]+/\"version\":$1/
            /\"name\": *\"$centre\", *\"region\"/s/\"state\": *\"[a-z]+\"/\"state\":\"$2\"/" \
        "$folder/config.json" >"$folder/config-$1.json"
    publish_file "$folder/config-$1.json" ||
        failures+=("the platform did not accept version $1")
}

# Counts the executions that started on servers of the data centre between two times (microseconds since the epoch).
executions_in_centre() { # FROM TO
    awk -v from="$1" -v to="$2" -v names="$servers" '
        BEGIN { n = split(names, list, " "); for (i = 1; i <= n; i++) inside[list[i]] = 1 }
        { match($0, /"server":"[^"]*"/); name = substr($0, RSTART + 10, RLENGTH - 11)
          match($0, /"start_us":[0-9]+/); at = substr($0, RSTART + 11, RLENGTH - 11) + 0
          if (name in inside && at >= from && at < to) count++ }
        END { print count + 0 }' "$folder"/*.executions
}

echo "== fleet ($example)"
tools/run_fleet.sh "$example" "$build" >"$folder/fleet.out" 2>&1 &
fleet_pid=$!
until grep -q '^fleet: ready' "$folder/fleet.out"; do
    if ! kill -0 "$fleet_pid" 2>/dev/null; then
        cat "$folder/fleet.out"
        failures+=("the fleet ended before it was ready")
        print_verdict_and_exit
    fi
    sleep 0.1
done
cat "$folder/fleet.out"

write_mix
centre=$(sed -nE '/"data_centres"/,/"accounts"/s/.*"name": *"([^"]+)", *"region".*/\1/p' "$folder/config.json" | head -n 1)
servers=$(sed -nE "s/.*\"name\": *\"([^\"]+)\", *\"data_centre\": *\"$centre\".*/\1/p" "$folder/config.json" | tr '\n' ' ')
publish 2 in
sleep 1 # Time for the servers to warm up.

echo "== load: $rate requests/s for $load_s s; $centre out after $out_after_s s, back after $back_after_s s"
load_started_us=$(now_us)
"$build/bin/zinnia_load" --target "$(daemon_addresses)" --mix "$folder/mix.json" --duration $load_s --rate "$rate" \
    --record "$folder/records" >"$folder/report" 2>"$folder/load.err" &
load_pid=$!
sleep $out_after_s
taken_out_us=$(now_us)
publish 3 out
sleep $((back_after_s - out_after_s))
brought_back_us=$(now_us)
publish 4 in
load_code=0
wait "$load_pid" || load_code=$?
load_pid=''
cat "$folder/load.err" "$folder/report"
if ((load_code != 0)); then failures+=("zinnia_load ended with code $load_code"); fi

echo "== data centre $centre"
before=$(executions_in_centre "$load_started_us" "$taken_out_us")
after_drain=$(executions_in_centre $((taken_out_us + drain_limit_s * 1000000)) "$brought_back_us")
after=$(executions_in_centre "$brought_back_us" $((brought_back_us + 3600000000)))
echo "executions before it was taken out: $before; more than $drain_limit_s s after that: $after_drain; after it was brought back: $after"
if ((before == 0)); then failures+=("$centre ran no request before it was taken out, so the test of taking it out is void"); fi
if ((after_drain > 0)); then failures+=("$centre ran $after_drain requests more than $drain_limit_s s after it was taken out"); fi
if ((after == 0)); then failures+=("$centre ran no request after it was brought back"); fi

for ((i = 0; i < FLEET_DAEMONS; i++)); do
    until [[ $(version_of "$i") == 4 ]]; do
        if (($(now_us) > brought_back_us + propagation_limit_s * 1000000)); then
            failures+=("version 4 is not in force on vm-$((i + 1)) $propagation_limit_s s after its publication")
            break
        fi
        sleep 0.2
    done
done

echo "== records against executions"
sleep 1 # Time for executions whose caller timed out to end and be logged.
check_code=0
"$build/bin/check_records" --records "$folder/records" \
    --executions "$(echo "$folder"/*.executions | tr ' ' ',')" || check_code=$?
if ((check_code != 0)); then failures+=("check_records ended with code $check_code"); fi

echo "== backend servers"
# The control ports, one per service, follow the platform's port. The counters list the sums over all servers first.
service_count=$(grep -cE '"name": *"[^"]*", *"slots"' "$folder/config.json")
for ((i = 1; i <= service_count; i++)); do
    counters=$(curl -sf -m 5 "http://$ip:$((FLEET_PORT + i))/control/counters" || true)
    for name in executions shed cancelled cold_overruns key_headers; do
        count=$(grep -oE "\"$name\":[0-9]+" <<<"$counters" | head -n 1 | cut -d: -f2 || true)
        printf '%s=%s ' "$name" "${count:-missing}"
        if [[ $name == cold_overruns || $name == key_headers ]] && [[ ${count:-missing} != 0 ]]; then
            failures+=("$name is ${count:-missing} at the service with control port $((FLEET_PORT + i)), not 0")
        fi
    done
    echo
done

echo "== outcomes"
# Guards against a pass when most requests failed. 90 % is far below what a healthy fleet answers.
read -r sent answered < <(count_answered_idempotent "$folder/records")
echo "idempotent requests answered: $answered of $sent"
if ((answered * 10 < sent * 9 || sent == 0)); then failures+=("only $answered of $sent idempotent requests were answered; expected at least 90 %"); fi
read -r orders answered_orders < <(count_answered_orders "$folder/records")
echo "orders answered: $answered_orders of $orders"
if ((answered_orders * 10 < orders * 9 || orders == 0)); then failures+=("only $answered_orders of $orders orders were answered; expected at least 90 %"); fi
print_verdict_and_exit
