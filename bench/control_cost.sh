#!/usr/bin/env bash
# Measures the control-plane cost per daemon in fleets of real processes on loopback without request traffic: processor
# time, memory, and bytes exchanged with peers and with the platform. There are two phases: idle, and with one published
# change every 2 s (an account key is replaced).
#
# usage: bench/control_cost.sh [BUILD_DIR]
# environment: CONTROL_SIZES ("8 19 38" daemons), CONTROL_SECONDS (30 per phase), CONTROL_SETTLE_SECONDS (5 between
#              readiness and the first phase, because finding the hubs is a cost of the start)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
# shellcheck source=bench/support/processes.sh
source bench/support/processes.sh

sizes=${CONTROL_SIZES:-8 19 38}
phase_s=${CONTROL_SECONDS:-30}
settle_s=${CONTROL_SETTLE_SECONDS:-5}
change_interval_s=2
max_watchers=2 # The hubs, which watch the platform's configuration for the fleet.
# Design bounds per daemon (section 1.4): percent of one processor, MB, and bytes/s in each direction.
processor_bound_percent=1.2 memory_bound_mb=64 bytes_per_second_bound=2048
platform_port=31000 control_port=31001 callers_port=31100 admin_port=31200 peer_port=31300 backend_port=31400

start_fleet() { # SIZE
    local size=$1 i centres=(kandy-1 kandy-2 kandy-3 kandy-4)
    local name slots first=$backend_port next_control=$control_port count
    "$build/bin/kandy" --base-port $backend_port >"$bench_folder/config.json"
    for ((i = 0; i < size; i++)); do
        write_settings "$bench_folder/vm-$((i + 1)).json" "vm-$((i + 1))" "${centres[i % 4]}" lanka \
            $((callers_port + i)) $((admin_port + i)) $((peer_port + i)) $platform_port \
            "\"$ip:$peer_port\", \"$ip:$((peer_port + 1))\", \"$ip:$((peer_port + 2))\""
    done
    "$build/bin/platform_stub" --listen $ip:$platform_port --config "$bench_folder/config.json" >"$bench_folder/platform.log" 2>&1 &
    stub_pids+=($!)
    while read -r name slots; do
        count=$(grep -cE "\"name\": *\"$name-[0-9]+\", *\"data_centre\"" "$bench_folder/config.json")
        "$build/bin/backend_stub" --service "$name" --listen $ip:$first --count "$count" --control $ip:$next_control \
            --slots "$slots" >"$bench_folder/$name.log" 2>&1 &
        stub_pids+=($!)
        first=$((first + count))
        next_control=$((next_control + 1))
    done < <(sed -nE 's/.*"name": *"([^"]*)", *"slots": *([0-9]+).*/\1 \2/p' "$bench_folder/config.json")
    for ((i = 0; i < size; i++)); do
        "$build/bin/zinniaferry" --settings "$bench_folder/vm-$((i + 1)).json" >"$bench_folder/vm-$((i + 1)).log" 2>&1 &
        daemon_pids+=($!)
    done
    for ((i = 0; i < size; i++)); do wait_until_ready $((admin_port + i)) "${daemon_pids[i]}"; done
}

# Publishes a version with a new key of the first account every `change_interval_s` until it gets TERM.
publish_changes() {
    local version=1 digest
    trap 'exit 0' TERM
    while true; do
        version=$((version + 1))
        digest=$(printf 'bench-key-%d' $version | sha256sum | cut -d' ' -f1)
        sed -E "s/\"version\": *[0-9]+/\"version\":$version/
                0,/\"keys\"/s/\"keys\": *\[[^]]*\]/\"keys\":[\"$digest\"]/" "$bench_folder/config.json" >"$bench_folder/next.json"
        curl -sf -m 5 -o /dev/null -X PUT --data-binary "@$bench_folder/next.json" "http://$ip:$platform_port/control/config" ||
            log_message "the platform did not accept version $version"
        echo "$version" >"$bench_folder/published"
        sleep $change_interval_s
    done
}

# Writes one line per daemon: bytes sent to peers, bytes received from peers. Called before the first and after the last
# reading of processor time, so that the cost of serving the metrics is not counted.
read_metrics() { # SIZE FILE
    local i
    for ((i = 0; i < $1; i++)); do
        curl -sf -m 5 "http://$ip:$((admin_port + i))/metrics" |
            awk '/^zinnia_peer_bytes_sent_total/ { out = $2 } /^zinnia_peer_bytes_received_total/ { in_ = $2 } END { print out + 0, in_ + 0 }'
    done >"$2"
}
read_processor() { # FILE: one line per daemon: processor time in seconds.
    local pid
    for pid in "${daemon_pids[@]}"; do processor_seconds "$pid"; echo; done >"$1"
}
platform_bytes() { # Prints bytes received, bytes sent and calls of the platform stand-in so far.
    local counters
    counters=$(curl -sf -m 5 "http://$ip:$platform_port/control/counters")
    echo "$(first_json_number "$counters" bytes_in) $(first_json_number "$counters" bytes_out) $(first_json_number "$counters" calls)"
}

measure_phase() { # SIZE PHASE
    local name="control_cost/$1/$2" folder=$bench_folder started_ns ended_ns
    local in_before out_before calls_before in_after out_after calls_after
    read_metrics "$1" "$folder/bytes.before"
    read -r in_before out_before calls_before < <(platform_bytes)
    started_ns=$(date +%s%N)
    read_processor "$folder/processor.before"
    sleep "$phase_s"
    read_processor "$folder/processor.after"
    ended_ns=$(date +%s%N)
    read_metrics "$1" "$folder/bytes.after"
    read -r in_after out_after calls_after < <(platform_bytes)
    local elapsed
    elapsed=$(awk "BEGIN { print ($ended_ns - $started_ns) / 1e9 }")
    paste "$folder/processor.before" "$folder/processor.after" |
        awk -v s="$elapsed" '{ printf "%.4f\n", 100 * ($2 - $1) / s }' >"$folder/processor"
    paste "$folder/bytes.before" "$folder/bytes.after" | awk -v s="$elapsed" '{ printf "%.1f\n", ($3 - $1) / s }' >"$folder/sent"
    paste "$folder/bytes.before" "$folder/bytes.after" | awk -v s="$elapsed" '{ printf "%.1f\n", ($4 - $2) / s }' >"$folder/received"
    local pid
    for pid in "${daemon_pids[@]}"; do resident_mb "$pid"; echo; done >"$folder/memory"
    # The platform stand-in counts all daemons together. Nearly all calls come from the watchers, so the largest cost
    # per daemon is computed as if they made all of them.
    local to_platform from_platform to_watcher from_watcher watcher_count=$(($1 < max_watchers ? $1 : max_watchers))
    to_platform=$(awk "BEGIN { printf \"%.1f\", ($in_after - $in_before) / $elapsed / $1 }")
    from_platform=$(awk "BEGIN { printf \"%.1f\", ($out_after - $out_before) / $elapsed / $1 }")
    to_watcher=$(awk "BEGIN { printf \"%.1f\", ($in_after - $in_before) / $elapsed / $watcher_count }")
    from_watcher=$(awk "BEGIN { printf \"%.1f\", ($out_after - $out_before) / $elapsed / $watcher_count }")
    log_message "$name: load average $(load_average), $elapsed s"
    print_result "$name/processor_mean" "$(mean <"$folder/processor")" % null null
    print_result "$name/processor_largest" "$(largest <"$folder/processor")" % $processor_bound_percent null
    print_result "$name/memory_mean" "$(mean <"$folder/memory")" MB null null
    print_result "$name/memory_largest" "$(largest <"$folder/memory")" MB $memory_bound_mb null
    print_result "$name/peer_bytes_sent_mean" "$(mean <"$folder/sent")" B/s null null
    print_result "$name/peer_bytes_sent_largest" "$(largest <"$folder/sent")" B/s null null
    print_result "$name/peer_bytes_received_mean" "$(mean <"$folder/received")" B/s null null
    print_result "$name/peer_bytes_received_largest" "$(largest <"$folder/received")" B/s null null
    print_result "$name/platform_bytes_sent_mean" "$to_platform" B/s null null
    print_result "$name/platform_bytes_received_mean" "$from_platform" B/s null null
    print_result "$name/platform_bytes_sent_watcher" "$to_watcher" B/s null null
    print_result "$name/platform_bytes_received_watcher" "$from_watcher" B/s null null
    print_result "$name/bytes_sent_largest" "$(awk "BEGIN { print $(largest <"$folder/sent") + $to_watcher }")" B/s $bytes_per_second_bound null
    print_result "$name/bytes_received_largest" "$(awk "BEGIN { print $(largest <"$folder/received") + $from_watcher }")" B/s $bytes_per_second_bound null
    print_result "$name/platform_calls" "$(awk "BEGIN { printf \"%.1f\", ($calls_after - $calls_before) / $elapsed }")" 1/s null null
    local file
    for file in processor memory sent received; do
        echo "$1 $(mean <"$folder/$file")" >>"$folder/slope.$2.$file"
    done
}

# Every daemon must have the version published last; otherwise daemons that did not follow the changes were measured.
check_versions() { # SIZE
    local i version published behind=0
    published=$(cat "$bench_folder/published")
    sleep 2
    for ((i = 0; i < $1; i++)); do
        version=$(curl -sf -m 5 "http://$ip:$((admin_port + i))/metrics" | awk '/^zinnia_configuration_version/ { print $2 }')
        if [[ $version != "$published" ]]; then behind=$((behind + 1)); fi
    done
    print_result "control_cost/$1/changes/daemons_behind" $behind daemons 0 null
}

# Prints the slope of a least-squares fit over the fleet sizes: by how much one more daemon in the fleet raises the mean
# cost per daemon.
print_slopes() {
    local phase entry name unit slope
    for phase in idle changes; do
        for entry in processor:% memory:MB sent:B/s received:B/s; do
            name=${entry%%:*} unit=${entry#*:}
            slope=$(awk '{ n++; x += $1; y += $2; xx += $1 * $1; xy += $1 * $2 }
                END { d = n * xx - x * x; print (d > 0 ? (n * xy - x * y) / d : "null") }' "$bench_folder/slope.$phase.$name")
            print_result "control_cost/slope/$phase/$name" "$slope" "$unit/daemon" null null
        done
    done
}

for size in $sizes; do
    start_fleet "$size"
    sleep "$settle_s"
    measure_phase "$size" idle
    publish_changes &
    background_pid=$!
    sleep $change_interval_s
    measure_phase "$size" changes
    terminate_processes "$background_pid"
    background_pid=''
    check_versions "$size"
    stop_processes
done
print_slopes
exit $bench_failed
