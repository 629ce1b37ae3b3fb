# Cases of the fault tests about what backend servers say of themselves in their answers; sourced by fleet_faults.sh,
# whose functions and variables they use. Each case has servers of its own, because a daemon may believe that a server
# leaves beyond the case.
# shellcheck shell=bash
# shellcheck disable=SC2154 # The variables come from fleet_faults.sh and fleet_common.sh.

# Time within which a server that starts again under its id gets requests. The configuration does not tell of the restart.
restart_limit_s=90

# Makes a server leave while it runs a request, for which it waits up to 100 times, 0.05 s apart.
leave_in_progress() { # SERVICE_NUMBER SERVER
    local tries counters=''
    # The request takes long enough for the commands to arrive before it ends.
    send_server_command "$1" "slow?server=$2&factor=1&add_ms=400"
    for ((tries = 0; tries < 100; tries++)); do
        counters=$(curl -sf -m 1 "http://$ip:$((base_port + $1))/control/counters" || true)
        if [[ $counters =~ \"name\":\"$2\",\"running\":[1-9] ]]; then break; fi
        sleep 0.05
    done
    if ((tries == 100)); then add_failure "$2 ran no request for 5 s, so the case tested nothing"; fi
    send_server_command "$1" "leave?server=$2"
    send_server_command "$1" "normal?server=$2"
}

# Compares the records of the last load with what the servers received of it. Fails the case if requests reached a
# server against what it had said of itself, or if no server said what the case is about.
check_statements() { # COUNT, a line of check_records: leaving_passed_on or pauses
    sleep 1 # Time for executions whose caller timed out to end and be logged.
    local code=0 kind own="\"caller_id\":\"run$load_number-"
    for kind in executions exchanges; do
        cat "$folder"/*.$kind | { grep -F "$own" || true; } >"$folder/checked-$kind"
    done
    "$build/bin/check_records" --records "$records" --executions "$folder/checked-executions" \
        --exchanges "$folder/checked-exchanges" >"$folder/check" || code=$?
    if ((code != 0)); then add_failure "check_records: $(tr -s ' \n' ' ' <"$folder/check")"; fi
    if ! grep -qE "^$1 +[1-9]" "$folder/check"; then add_failure "no answer counted as $1, so the case tested nothing"; fi
}

# Fails the case unless a server receives a request from a time on within the given seconds from now.
await_request() { # SERVER FROM_US SECONDS
    local until=$(($(now_us) + $3 * 1000000))
    until cat "$folder"/*.exchanges | awk -v server="\"kind\":\"work\",\"server\":\"$1\"" -v from="$2" '
        index($0, server) { match($0, /"received_us":[0-9]+/); if (substr($0, RSTART + 14, RLENGTH - 14) + 0 >= from) found = 1 }
        END { exit !found }'; do
        if (($(now_us) > until)); then
            add_failure "$1 got no request within $3 s of its restart"
            return
        fi
        sleep 0.2
    done
}

# Writes the records of the last load that were due in a part of the run to the file $part.
select_records() { # FROM_MS UNTIL_MS
    part=$folder/part
    awk -v from="$1" -v until="$2" '
        { match($0, /"at_ms":[0-9.E+-]+/); at = substr($0, RSTART + 8, RLENGTH - 8) + 0
          if (at >= from && at < until) print }' "$records" >"$part"
}

# Guards against requests to a server that says in its answers that it leaves, and against failures of those that it
# runs meanwhile.
case_server_leaving() {
    start_load 11
    sleep 2
    leave_in_progress 1 patterns-1
    leave_in_progress 2 orders-1
    end_load
    send_server_command 1 "restart?server=patterns-1"
    send_server_command 2 "restart?server=orders-1"
    # shellcheck disable=SC2046
    set -- $(count_answered_orders "$records")
    expect_90_percent_answered orders "$2" "$1"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$records")
    expect_90_percent_answered "idempotent requests" "$2" "$1"
    check_statements leaving_passed_on
}

# Guards against requests to servers that have rejected one and asked for a pause: first a server of two services, then
# all of one service. The other servers must answer meanwhile, and the service after its pause.
case_server_asks_for_pause() {
    local server
    start_load 13
    sleep 2
    send_server_command 1 "pause?server=patterns-2&retry_after=2.5&ms=2000"
    send_server_command 2 "pause?server=orders-2&retry_after=2.5&ms=2000"
    sleep 4.5
    send_server_command 1 "pause?retry_after=2.5&ms=2000"
    end_load
    # shellcheck disable=SC2046
    set -- $(count_answered_orders "$records")
    expect_90_percent_answered orders "$2" "$1"
    select_records 0 6000
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$part")
    expect_90_percent_answered "idempotent requests with two servers in a pause" "$2" "$1"
    grep -v '"route":"/patterns"' "$records" >"$folder/others"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$folder/others")
    expect_90_percent_answered "idempotent requests to other services" "$2" "$1"
    select_records 10500 13000
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$part")
    expect_90_percent_answered "idempotent requests after the pause" "$2" "$1"
    check_statements pauses
    for server in patterns-2 orders-2; do
        if ! grep -q "\"server\":\"$server\".*\"status\":503" "$folder/checked-exchanges"; then
            add_failure "$server rejected no request, so the case tested nothing"
        fi
    done
}

# Guards against a server that gets no requests after its restart because its earlier lifetime said that it leaves:
# patterns-3 starts again under the same id, patterns-4 under another one, both at the same address. A caller surely gets
# an answer with leaving from orders-3; the others may be known to leave from health checks alone.
case_server_reborn_leaving() {
    local restarted_at_us
    start_load 600
    sleep 1
    leave_in_progress 2 orders-3
    send_server_command 1 "leave?server=patterns-3"
    send_server_command 1 "leave?server=patterns-4"
    sleep 5
    send_server_command 1 "restart?server=patterns-3"
    send_server_command 1 "restart?server=patterns-4&id=patterns-4b"
    restarted_at_us=$(now_us)
    sed -i 's/"patterns-4"/"patterns-4b"/' "$folder/config.json"
    publish
    await_request patterns-4b "$restarted_at_us" $propagation_limit_s
    await_request patterns-3 "$restarted_at_us" $restart_limit_s
    kill -TERM "$load_pid"
    end_load
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$records")
    expect_90_percent_answered "idempotent requests" "$2" "$1"
    check_statements leaving_passed_on
    send_server_command 2 "restart?server=orders-3"
    send_server_command 1 "restart?server=patterns-4b&id=patterns-4"
    sed -i 's/"patterns-4b"/"patterns-4"/' "$folder/config.json"
    publish
    await_version "$version" $propagation_limit_s
}
