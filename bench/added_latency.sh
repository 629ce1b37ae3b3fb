#!/usr/bin/env bash
# Measures the latency that one daemon adds to a request: zinnia_load calls the backend servers directly and through the
# daemon alternately, so that both figures are taken under the same conditions. Also measures the daemon's requests per
# second of processor time and its resident memory.
#
# usage: bench/added_latency.sh [BUILD_DIR]
# environment: LATENCY_RATES ("500 2000 5000" requests/s), LATENCY_REPEATS (5), LATENCY_SECONDS (3 per run),
#              LATENCY_SEARCH ("8000 12000 16000 20000"; requests/s, tried in this order; the highest
#              sustained rate is measured as well)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
# shellcheck source=bench/support/processes.sh
source bench/support/processes.sh

rates=${LATENCY_RATES:-500 2000 5000}
search_rates=${LATENCY_SEARCH-8000 12000 16000 20000}
repeats=${LATENCY_REPEATS:-5}
run_s=${LATENCY_SECONDS:-3}
added_p99_bound_ms=0.32 # Design bound (section 1.4): at most 0.32 ms added to 99 % of calls.
platform_port=31000 control_port=31001 callers_port=31010 admin_port=31030 peer_port=31050 backend_port=31100
servers=4

separator=''
{
    echo '{"version":1,"regions":[{"name":"r"}],"data_centres":[{"name":"d","region":"r","state":"in"}],'
    echo "\"accounts\":[{\"name\":\"bench\",\"keys\":[\"$(printf bench-key | sha256sum | cut -d' ' -f1)\"],\"rate\":100000,\"burst\":100000}],"
    # More slots and connections than the load needs, so that neither limits it.
    echo '"services":[{"name":"s","slots":32,"max_connections":250,"servers":['
    for ((i = 0; i < servers; i++)); do
        echo "$separator{\"name\":\"s-$((i + 1))\",\"data_centre\":\"d\",\"address\":\"$ip:$((backend_port + i))\"}"
        separator=','
    done
    echo ']}],"routes":[{"prefix":"/s","service":"s","class":"lookup","idempotent":true,"timeout_ms":2000}]}'
} >"$bench_folder/config.json"
echo '{"accounts":[{"name":"bench","key":"bench-key","rate":1000}],"routes":[{"name":"s","path":"/s","weight":1,"idempotent":true}]}' \
    >"$bench_folder/mix.json"
write_settings "$bench_folder/vm-1.json" vm-1 d r $callers_port $admin_port $peer_port $platform_port "\"$ip:$peer_port\""

"$build/bin/platform_stub" --listen $ip:$platform_port --config "$bench_folder/config.json" \
    >"$bench_folder/platform.log" 2>&1 &
stub_pids+=($!)
"$build/bin/backend_stub" --service s --listen $ip:$backend_port --count $servers --control $ip:$control_port --slots 32 \
    --queue 1000 --service-ms 0.2 --distribution fixed >"$bench_folder/backend.log" 2>&1 &
stub_pids+=($!)
"$build/bin/zinniaferry" --settings "$bench_folder/vm-1.json" >"$bench_folder/vm-1.log" 2>&1 &
daemon_pids+=($!)
daemon=$!
wait_until_ready $admin_port "$daemon"

answered=0
for ((tries = 0; tries < 60; tries++)); do
    if curl -sf -m 2 -o /dev/null -H 'X-Zinnia-Key: bench-key' "http://$ip:$callers_port/s"; then
        answered=1
        break
    fi
    sleep 1
done
if ((answered == 0)); then
    log_message "the daemon answered no request with success in 60 attempts, 1 s apart; the last lines of its log:"
    tail -n 5 "$bench_folder/vm-1.log" >&2
    exit 1
fi

direct_targets=$(seq -f "$ip:%g" -s, $backend_port $((backend_port + servers - 1)))

# TARGETS RATE SECONDS SEED: prints the JSON report of zinnia_load.
run_load() {
    "$build/bin/zinnia_load" --target "$1" --mix "$bench_folder/mix.json" --rate "$2" --duration "$3" --seed "$4" --json
}

# TARGETS RATE SEED: prints "ANSWERED DUE P50 P99 PROCESSOR WAITED" of a run, after a short run that only opens
# connections. P50 and P99 are latencies in ms. PROCESSOR is the daemon's processor time during the run, in seconds.
# WAITED is the percentage of the run in which the daemon was runnable but had no processor: on a shared machine other
# processes cause that delay, not the daemon.
measure_run() {
    local before after waited_before waited_after report
    run_load "$1" "$2" 0.5 "$3" >/dev/null
    before=$(processor_seconds "$daemon")
    waited_before=$(cut -d' ' -f2 "/proc/$daemon/schedstat")
    report=$(run_load "$1" "$2" "$run_s" "$3")
    after=$(processor_seconds "$daemon")
    waited_after=$(cut -d' ' -f2 "/proc/$daemon/schedstat")
    echo "$(first_json_number "$report" answered) $(first_json_number "$report" due) $(first_json_number "$report" p50)" \
        "$(first_json_number "$report" p99) $(awk "BEGIN { print $after - $before, ($waited_after - $waited_before) / 1e7 / $run_s }")"
}

# ANSWERED DUE P50: a rate is sustained if 99.9 % of requests are answered and the median is below 5 ms. With a growing
# queue the median would be far above the service time of 0.2 ms.
is_sustained() { awk -v answered="$1" -v due="$2" -v p50="$3" 'BEGIN { exit !(answered >= 0.999 * due && p50 < 5) }'; }

# Prints the result lines of one rate: medians over the repeats.
measure_rate() { # RATE
    local round answered due p50 p99 processor waited direct50 direct99 values=$bench_folder name=added_latency/$1
    rm -f "$values"/*.values
    for ((round = 1; round <= repeats; round++)); do
        read -r answered due direct50 direct99 processor waited < <(measure_run "$direct_targets" "$1" "$round")
        read -r answered due p50 p99 processor waited < <(measure_run $ip:$callers_port "$1" "$round")
        log_message "$1 requests/s, round $round of $repeats, load average $(load_average):" \
            "direct p50 $direct50 p99 $direct99 ms, through p50 $p50 p99 $p99 ms, $answered of $due answered, daemon runnable without a processor for $waited% of the time"
        echo "$direct50" >>"$values/direct50.values"
        echo "$direct99" >>"$values/direct99.values"
        awk "BEGIN { print $p50 - $direct50 }" >>"$values/added50.values"
        awk "BEGIN { print $p99 - $direct99 }" >>"$values/added99.values"
        awk "BEGIN { print $answered / ($processor > 0 ? $processor : 0.01) }" >>"$values/per_core.values"
        echo "$waited" >>"$values/waited.values"
        awk "BEGIN { print $due - $answered }" >>"$values/unanswered.values"
    done
    print_result "$name/p50" "$(median <"$values/added50.values")" ms null "$(median <"$values/direct50.values")"
    print_result "$name/p99" "$(median <"$values/added99.values")" ms $added_p99_bound_ms "$(median <"$values/direct99.values")"
    print_result "$name/requests_per_core_second" "$(median <"$values/per_core.values")" 1/s null null
    print_result "$name/daemon_waited_for_processor" "$(median <"$values/waited.values")" % null null
    # The largest number of unanswered requests must be 0: refused requests would make the latency figures meaningless.
    print_result "$name/unanswered" "$(largest <"$values/unanswered.values")" requests 0 null
}

log_message "added_latency: $repeats alternating repeats of $run_s s per rate; values are medians over the repeats"
for rate in $rates; do measure_rate "$rate"; done
highest=0
for rate in $search_rates; do
    read -r answered due p50 p99 _ < <(measure_run $ip:$callers_port "$rate" 1)
    log_message "search: $rate requests/s, load average $(load_average): $answered of $due answered, p50 $p50 p99 $p99 ms"
    if ! is_sustained "${answered:-0}" "${due:-1}" "${p50:-1000}"; then break; fi
    highest=$rate
done
if ((highest > 0)); then
    print_result "added_latency/highest_rate" "$highest" 1/s null null
    measure_rate "$highest"
fi
print_result "added_latency/resident_memory" "$(resident_mb "$daemon")" MB 64 null
exit $bench_failed
