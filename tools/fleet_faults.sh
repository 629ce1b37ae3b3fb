#!/usr/bin/env bash
# Fault tests of real processes on loopback. The cases share one fleet of four daemons; data_centre_out runs
# tools/demo.sh, which starts its own. Prints "case NAME: pass" or "case NAME: fail REASON" for each case, and
# "N passed, N failed" as the last line.
#
# usage: tools/fleet_faults.sh [CASE...] BUILD_DIR
#   CASE is planned_stop, stop_of_slow_requests, cut_off_restart, cut_off_seeds_restart, cut_off_only_seed_restart,
#   power_loss, key_withdrawn, service_down, service_stale, paused_daemon, server_restart, server_leaving,
#   server_asks_for_pause, server_reborn_leaving or data_centre_out; without a CASE all run. "service" in a name is the platform's configuration service, "server" a backend server.
# environment:
#   FAULTS_PORT    first port of the shared fleet (32000); the demo's fleet is at +500. All must be below the ephemeral
#                  port range, from which any outgoing connection may take a port.
#   FAULTS_FOLDER  folder for settings, logs and records, which is kept (a new temporary one, removed at the end)
set -euo pipefail
cd "$(dirname "$0")/.."

all_cases=(key_withdrawn service_stale service_down paused_daemon server_restart planned_stop stop_of_slow_requests
    cut_off_restart cut_off_seeds_restart cut_off_only_seed_restart power_loss server_leaving
    server_asks_for_pause server_reborn_leaving data_centre_out)
if (($# == 0)); then
    echo "usage: tools/fleet_faults.sh [CASE...] BUILD_DIR" >&2
    exit 2
fi
build=${*: -1}
cases=("${@:1:$#-1}")
if ((${#cases[@]} == 0)); then cases=("${all_cases[@]}"); fi
for name in "${cases[@]}"; do
    if [[ " ${all_cases[*]} " != *" $name "* ]]; then
        echo "unknown case $name; the cases are: ${all_cases[*]}" >&2
        exit 2
    fi
done

base_port=${FAULTS_PORT:-32000}
daemons=4
# shellcheck disable=SC2034 # Read by fleet_common.sh.
log_exchanges=yes
folder=${FAULTS_FOLDER:-$(mktemp -d)}
mkdir -p "$folder"
# shellcheck source=tools/fleet_common.sh
source tools/fleet_common.sh

propagation_limit_s=12   # Requirement R11: a published version is in force on every daemon within 12 s.
key_withdrawal_limit_s=5 # Requirement R4: no request with a withdrawn key runs more than 5 s after the publication.
rate=300                 # Requests/s, far below the servers' capacity, so that no refusal is due to overload.
load_pid=''              # Process id of the running zinnia_load.
demo_pid=''              # Process id of the running tools/demo.sh.
load_number=0            # Number of the load started last; its records are in NUMBER.records.
version=0                # Configuration version published last.
failure_reasons=()       # Failures of the running case.

clean_up() {
    trap - EXIT
    trap '' INT TERM
    local pid
    for pid in "${daemon_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
    # shellcheck disable=SC2086 # Unquoted: an empty process id must give no argument.
    terminate_processes $load_pid $demo_pid
    stop_fleet
    if [[ -z ${FAULTS_FOLDER:-} ]]; then rm -rf "$folder"; fi
}
trap clean_up EXIT
trap 'exit 1' INT TERM

add_failure() { failure_reasons+=("$*"); }

# Publishes config.json in its present form under the next version number.
publish() {
    version=$((version + 1))
    sed -i -E "s/\"version\": *[0-9]+/\"version\":$version/" "$folder/config.json"
    cp "$folder/config.json" "$folder/config-$version.json"
    publish_file "$folder/config-$version.json" || add_failure "the platform did not accept version $version"
}

# Fails the case unless the version is in force on every daemon within the given time.
await_version() { # VERSION SECONDS
    local i until=$(($(now_us) + $2 * 1000000))
    for ((i = 0; i < daemons; i++)); do
        until [[ $(version_of "$i") == "$1" ]]; do
            if (($(now_us) > until)); then
                add_failure "vm-$((i + 1)) has version $(version_of "$i") instead of $1 after $2 s"
                break
            fi
            sleep 0.1
        done
    done
}

# Sets how the platform's configuration service responds.
set_platform_mode() { # QUERY, for example mode=down
    curl -sf -m 5 -o /dev/null -X POST "http://$ip:$base_port/control/mode?$1" || add_failure "the platform stand-in did not accept /control/mode?$1"
}

# Changes the behaviour of servers of a service.
send_server_command() { # SERVICE_NUMBER (from 1) COMMAND (with query)
    curl -sf -m 5 -o /dev/null -X POST "http://$ip:$((base_port + $1))/control/$2" || add_failure "the servers of service $1 did not accept /control/$2"
}

set_keys() { # ACCOUNT [KEY...]: replaces the account's keys in config.json; without a KEY it has none.
    local account=$1 list='' key
    shift
    for key in "$@"; do list+="\"$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)\","; done
    sed -i -E "/\"name\": *\"$account\", *\"keys\"/s/\"keys\": *\[[^]]*\]/\"keys\":[${list%,}]/" "$folder/config.json"
}

# Starts zinnia_load in the background with all daemons as targets; its records are written to the file $records.
start_load() { # SECONDS [OPTION...]
    local seconds=$1
    shift
    load_number=$((load_number + 1))
    records=$folder/$load_number.records
    "$build/bin/zinnia_load" --target "$(daemon_addresses)" --mix "$folder/mix.json" --duration "$seconds" --rate $rate \
        --seed $load_number --name "run$load_number" --record "$records" "$@" \
        >"$folder/$load_number.report" 2>"$folder/$load_number.err" &
    load_pid=$!
}

# Waits for the load to end. Fails the case if a response was truncated or belonged to another request (zinnia_load ends
# with an error then), or if a connection was cut in the middle of a response.
end_load() {
    local code=0 cut
    wait "$load_pid" || code=$?
    load_pid=''
    if ((code != 0)); then add_failure "zinnia_load ended with code $code"; fi
    cut=$(grep -c '"verdict":"cut"' "$records" || true)
    if ((cut > 0)); then add_failure "$cut responses were cut by the end of the connection"; fi
}

# Sends requests with one key to one daemon for 0.5 s, 20 per second, and prints the distinct response statuses.
try_key() { # ACCOUNT KEY INDEX
    load_number=$((load_number + 1))
    echo "{\"accounts\":[{\"name\":\"$1\",\"key\":\"$2\",\"rate\":20}],
           \"routes\":[{\"name\":\"p\",\"path\":\"/patterns\",\"weight\":1,\"idempotent\":true}]}" >"$folder/$load_number.mix"
    "$build/bin/zinnia_load" --target "$ip:$((base_port + 10 + $3))" --mix "$folder/$load_number.mix" --duration 0.5 \
        --spacing fixed --name "run$load_number" --record "$folder/$load_number.records" >"$folder/$load_number.report" 2>&1 || true
    grep -oE '"status":[0-9]+' "$folder/$load_number.records" | cut -d: -f2 | sort -u | tr '\n' ' '
}

# Fails the case unless all requests with the key at the daemon get this status.
expect_status() { # STATUS ACCOUNT KEY INDEX
    local seen
    # try_key runs in a subshell, so its change of load_number is lost and is repeated here.
    seen=$(try_key "$2" "$3" "$4")
    load_number=$((load_number + 1))
    if [[ $seen != "$1 " ]]; then add_failure "$3 at vm-$(($4 + 1)) got status ${seen:-none }instead of $1"; fi
}

# Compares the records of all loads so far with the servers' execution logs. Fails the case if, for example, a request
# that is not idempotent ran twice, or one was answered and never ran (requirements R6, R7 and R8).
check_all_records() {
    sleep 1 # Time for executions whose caller timed out to end and be logged.
    local code=0
    "$build/bin/check_records" --records "$(echo "$folder"/*.records | tr ' ' ',')" \
        --executions "$(echo "$folder"/*.executions | tr ' ' ',')" >"$folder/check" || code=$?
    if ((code != 0)); then add_failure "check_records: $(tr -s ' \n' ' ' <"$folder/check")"; fi
}

expect_90_percent_answered() { # WHAT ANSWERED SENT; 90 % is far below what a healthy fleet answers.
    if (($2 * 10 < $3 * 9 || $3 == 0)); then add_failure "only $2 of $3 $1 were answered; expected at least 90 %"; fi
}

# Fails the case unless `zinniactl fleet` reports every daemon reachable and all at one version.
expect_fleet_report() {
    local i addresses=() out
    for ((i = 0; i < daemons; i++)); do addresses+=("$ip:$((base_port + 30 + i))"); done
    if ! out=$(ZINNIA_ADMIN_CREDENTIAL=$admin_credential "$build/bin/zinniactl" fleet "${addresses[@]}" 2>&1); then
        add_failure "zinniactl fleet: $(tr -s ' \n' ' ' <<<"$out")"
    fi
}

# Guards against a withdrawn key that remains accepted: the key is withdrawn while connections that use it are open
# and carry requests.
case_key_withdrawn() {
    local account=galle-furniture withdrawn_at_us before after others refused
    start_load 10 --pin
    sleep 2
    withdrawn_at_us=$(now_us)
    set_keys "$account"
    publish
    end_load
    # The execution logs hold wall-clock times, as withdrawn_at_us. Executions count rather than answers, because any
    # request that ran may have been answered.
    read -r before after others < <(awk -v limit=$((withdrawn_at_us + key_withdrawal_limit_s * 1000000)) -v at="$withdrawn_at_us" -v account="$account" '
        { match($0, /"account":"[^"]*"/); own = substr($0, RSTART + 11, RLENGTH - 12) == account
          match($0, /"start_us":[0-9]+/); start = substr($0, RSTART + 11, RLENGTH - 11) + 0
          if (own && start < at) before++
          if (own && start >= limit) after++
          if (!own && start >= limit) others++ }
        END { print before + 0, after + 0, others + 0 }' "$folder"/*.executions)
    if ((before == 0)); then add_failure "$account ran no request before its key was withdrawn, so the case tested nothing"; fi
    if ((after > 0)); then add_failure "$after requests of $account ran more than $key_withdrawal_limit_s s after the publication"; fi
    if ((others == 0)); then add_failure "no other account ran a request more than $key_withdrawal_limit_s s after the publication"; fi
    refused=$(grep "\"account\":\"$account\"" "$records" | grep -c '"status":401' || true)
    if ((refused == 0)); then add_failure "no request of $account was refused with 401"; fi
    set_keys "$account" "demo-key-$account"
    publish
    await_version "$version" $propagation_limit_s
    check_all_records
}

# Guards against a return to an older configuration: a daemon starts while the configuration service serves a version
# older than the one that its peers have in force.
case_service_stale() {
    local account=ella-souvenirs old=$version highest seen i
    set_keys "$account"
    publish
    await_version "$version" $propagation_limit_s
    set_platform_mode "mode=stale&version=$old"
    terminate_processes "${daemon_pids[3]}"
    start_daemon 3
    if wait_until_ready 3; then
        seen=$(version_of 3)
        if [[ $seen != "$version" ]]; then add_failure "the restarted daemon became ready with version $seen instead of $version"; fi
        expect_status 401 "$account" "demo-key-$account" 3
    else
        add_failure "the restarted vm-4 did not become ready"
    fi
    sleep 2
    highest=$version
    for ((i = 0; i < daemons; i++)); do
        seen=$(version_of "$i")
        if [[ $seen != "$highest" ]]; then add_failure "vm-$((i + 1)) changed from version $highest to $seen"; fi
    done
    set_platform_mode mode=up
    set_keys "$account" "demo-key-$account"
    publish
    await_version "$version" $propagation_limit_s
    check_all_records
}

# Guards against daemons that depend on the configuration service: it is down while load runs and a key is rotated.
# Daemons must keep their version and serve, and apply the new version once the service is back.
case_service_down() {
    local account=jaffna-doors before=$version i
    set_platform_mode mode=down
    start_load 10
    sleep 5
    set_keys "$account" "demo-key-$account" "second-key-$account"
    publish
    for ((i = 0; i < daemons; i++)); do
        if [[ $(version_of "$i") != "$before" ]]; then add_failure "vm-$((i + 1)) lost version $before while the configuration service was down"; fi
    done
    # The key is valid in a version that the daemon cannot know, so the caller must not be told that it is invalid.
    expect_status 503 "$account" "second-key-$account" 0
    end_load
    # shellcheck disable=SC2046 # Unquoted: the output is two numbers.
    set -- $(count_answered_idempotent "$records")
    expect_90_percent_answered "idempotent requests" "$2" "$1"
    set_platform_mode mode=up
    await_version "$version" $propagation_limit_s
    for ((i = 0; i < daemons; i++)); do
        expect_status 200 "$account" "second-key-$account" "$i"
        expect_status 200 "$account" "demo-key-$account" "$i"
    done
    expect_fleet_report
    check_all_records
}

# Guards against failures after a long pause of a daemon: a hub is suspended for 6 s, long enough for the others to
# choose another hub, and then continues.
case_paused_daemon() {
    local pid=${daemon_pids[1]}
    start_load 11
    sleep 2
    kill -STOP "$pid"
    sleep 6
    kill -CONT "$pid"
    end_load
    # One of four daemons is suspended for 6 of 11 s; the others must answer as before.
    grep -v '"target":"1"' "$records" >"$folder/others"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$folder/others")
    expect_90_percent_answered "idempotent requests at the other daemons" "$2" "$1"
    check_all_records
}

# Guards against failed or doubly executed requests when backend servers become slow, fail fast, or restart cold.
case_server_restart() {
    start_load 10
    sleep 2
    send_server_command 1 "slow?server=patterns-1&factor=50"
    send_server_command 1 "fail_fast?server=patterns-2"
    send_server_command 2 "slow?server=orders-1&factor=50"
    send_server_command 2 "fail_fast?server=orders-2"
    send_server_command 2 "restart?server=orders-3"
    sleep 3
    send_server_command 2 "restart?server=orders-1"
    send_server_command 2 "restart?server=orders-2"
    end_load
    send_server_command 1 normal
    send_server_command 2 normal
    # shellcheck disable=SC2046
    set -- $(count_answered_orders "$records")
    expect_90_percent_answered orders "$2" "$1"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$records")
    expect_90_percent_answered "idempotent requests" "$2" "$1"
    check_all_records
}

# Guards against failed requests and cut connections in a rolling restart: every daemon in turn is stopped and
# replaced by a new process.
case_planned_stop() {
    local i pid
    start_load 600
    sleep 1
    for ((i = 0; i < daemons; i++)); do
        pid=${daemon_pids[i]}
        terminate_processes "$pid"
        start_daemon "$i"
        wait_until_ready "$i" || add_failure "the restarted vm-$((i + 1)) did not become ready"
        sleep 1
    done
    kill -TERM "$load_pid"
    end_load
    # Refused connections do not count: the platform's balancer sends nothing to a daemon that does not listen.
    grep -v '"verdict":"refused"' "$records" >"$folder/arrived"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$folder/arrived")
    expect_90_percent_answered "idempotent requests" "$2" "$1"
    expect_fleet_report
    check_all_records
}

# Guards against requests that a stopping daemon takes although their servers are still at work when it exits. The servers
# take 2.3 s, and the requests may take 3 s: their callers saw the connection close, and an order's outcome was unknown.
case_stop_of_slow_requests() {
    local order_mix=$folder/orders.mix refused account
    read -r account _ <"$folder/accounts"
    echo "{\"accounts\":[{\"name\":\"$account\",\"key\":\"demo-key-$account\",\"rate\":20}],
           \"routes\":[{\"name\":\"o\",\"method\":\"POST\",\"path\":\"/orders\",\"weight\":1,\"idempotent\":false}]}" >"$order_mix"
    sed -i 's/"stop_grace_ms":3000/"stop_grace_ms":6000/' "$folder/vm-1.json"
    kill -HUP "${daemon_pids[0]}"
    send_server_command 2 "slow?factor=1&add_ms=2300"
    sleep 1
    load_number=$((load_number + 1))
    records=$folder/$load_number.records
    "$build/bin/zinnia_load" --target "$ip:$((base_port + 10))" --mix "$order_mix" --duration 9 --rate 2.5 --spacing fixed \
        --name "run$load_number" --record "$records" >"$folder/$load_number.report" 2>"$folder/$load_number.err" &
    load_pid=$!
    sleep 2
    terminate_processes "${daemon_pids[0]}"
    end_load
    refused=$(grep -c 'outcome="stopping"' "$folder/vm-1.log" || true)
    if ((refused == 0)); then add_failure "no request was refused by the stopping daemon, so the case tested nothing"; fi
    # shellcheck disable=SC2046
    set -- $(grep -c '"outcome":"answered"' "$records")
    if (($1 < 5)); then add_failure "only $1 orders were answered before and during the stop"; fi
    send_server_command 2 normal
    sed -i 's/"stop_grace_ms":6000/"stop_grace_ms":3000/' "$folder/vm-1.json"
    start_daemon 0
    wait_until_ready 0 || add_failure "the restarted vm-1 did not become ready"
    check_all_records
}

# Guards against requests in a data centre that is out of service; see tools/demo.sh.
case_data_centre_out() {
    local code=0
    FLEET_PORT=$((base_port + 500)) tools/demo.sh "$build" >"$folder/demo.out" 2>&1 &
    demo_pid=$!
    wait "$demo_pid" || code=$?
    demo_pid=''
    if ((code != 0)); then add_failure "tools/demo.sh: $(grep '^failed: ' "$folder/demo.out" | tr '\n' ' ' || true)"; fi
}

# shellcheck source=tools/fleet_restart_cases.sh
source tools/fleet_restart_cases.sh
# shellcheck source=tools/fleet_server_cases.sh
source tools/fleet_server_cases.sh

if [[ ${cases[*]} != data_centre_out ]]; then
    prepare_fleet kandy
    write_mix
    start_fleet >"$folder/fleet.out"
    version=1
    publish
    # Time for the servers to warm up.
    sleep 1
    # Servers become warm only by running requests.
    start_load 3
    end_load
    if ((${#failure_reasons[@]} > 0)); then
        echo "failures while the fleet started: ${failure_reasons[*]}"
        failure_reasons=()
    fi
fi

passed=0 failed=0
for name in "${cases[@]}"; do
    failure_reasons=()
    started=$(now_us)
    "case_$name"
    took=$((($(now_us) - started) / 1000000))
    if ((${#failure_reasons[@]} == 0)); then
        echo "case $name: pass"
        passed=$((passed + 1))
    else
        printf -v joined '%s; ' "${failure_reasons[@]}"
        echo "case $name: fail ${joined%; }"
        failed=$((failed + 1))
    fi
    echo "  ($took s)"
done
echo "$passed passed, $failed failed"
((failed == 0))
