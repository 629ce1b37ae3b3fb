#!/usr/bin/env bash
# Fault tests of real processes on loopback. The cases share one fleet of four daemons; data_centre_out runs tools/demo.sh, which starts its own. Prints "case NAME: pass" or
# "case NAME: fail REASON" for each and closes with "N passed, N failed".
#
# usage: tools/fleet_faults.sh [CASE...] BUILD_DIR
#   CASE is planned_stop, key_withdrawn, service_down, service_stale, paused_daemon, server_restart or
#   data_centre_out; without one all run.
# environment: FAULTS_PORT (32000: the shared fleet; the demo's fleet is at +500; below the ephemeral ports, which any
# outgoing connection may take), FAULTS_FOLDER (logs are kept there)
set -euo pipefail
cd "$(dirname "$0")/.."

all_cases=(key_withdrawn service_stale service_down paused_daemon server_restart planned_stop data_centre_out)
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
folder=${FAULTS_FOLDER:-$(mktemp -d)}
mkdir -p "$folder"
# shellcheck source=tools/fleet_common.sh
source tools/fleet_common.sh

propagation_limit_s=12 # R11.
key_withdrawal_limit_s=5 # R4.
rate=300      # Requests/s; far below the capacity of the servers, so that every refusal has another reason.
load_pid=''       # Process id of the running zinnia_load.
demo_pid=''
load_number=0     # Loads started; each has record file NUMBER.records.
version=0  # Version published last.
failure_reasons=() # Why the running case fails.

clean_up() {
    trap - EXIT
    trap '' INT TERM
    local pid
    for pid in "${daemon_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
    # shellcheck disable=SC2086 # They may be empty.
    terminate_processes $load_pid $demo_pid
    stop_fleet
    if [[ -z ${FAULTS_FOLDER:-} ]]; then rm -rf "$folder"; fi
}
trap clean_up EXIT
trap 'exit 1' INT TERM

add_failure() { failure_reasons+=("$*"); }

# Publishes config.json as it stands with the next version.
publish() {
    version=$((version + 1))
    sed -i -E "s/\"version\": *[0-9]+/\"version\":$version/" "$folder/config.json"
    cp "$folder/config.json" "$folder/config-$version.json"
    publish_file "$folder/config-$version.json" || add_failure "version $version could not be published"
}

# Fails the case unless every daemon has the version in force before the time is over.
await_version() { # VERSION SECONDS
    local i until=$(($(now_us) + $2 * 1000000))
    for ((i = 0; i < daemons; i++)); do
        until [[ $(version_of "$i") == "$1" ]]; do
            if (($(now_us) > until)); then
                add_failure "vm-$((i + 1)) has version $(version_of "$i") and not $1 after $2 s"
                break
            fi
            sleep 0.1
        done
    done
}

set_platform_mode() { # QUERY such as mode=down
    curl -sf -m 5 -o /dev/null -X POST "http://$ip:$base_port/control/mode?$1" || add_failure "the platform refused $1"
}

send_server_command() { # NUMBER OF THE SERVICE from 1, COMMAND with query
    curl -sf -m 5 -o /dev/null -X POST "http://$ip:$((base_port + $1))/control/$2" || add_failure "the servers refused $2"
}

set_keys() { # ACCOUNT KEY...: the account's keys in config.json
    local account=$1 list='' key
    shift
    for key in "$@"; do list+="\"$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)\","; done
    sed -i -E "/\"name\": *\"$account\", *\"keys\"/s/\"keys\": *\[[^]]*\]/\"keys\":[${list%,}]/" "$folder/config.json"
}

# Starts a load in the background; its records go to $records.
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

# Waits for the load. Crossed or truncated answers fail the case, and so do connections that are cut.
end_load() {
    local code=0 cut
    wait "$load_pid" || code=$?
    load_pid=''
    if ((code != 0)); then add_failure "zinnia_load ended with code $code"; fi
    cut=$(grep -c '"verdict":"cut"' "$records" || true)
    if ((cut > 0)); then add_failure "$cut requests were cut"; fi
}

# Sends 20 requests a second for half a second with one key to one daemon; prints their statuses, each once.
try_key() { # ACCOUNT KEY INDEX
    load_number=$((load_number + 1))
    echo "{\"accounts\":[{\"name\":\"$1\",\"key\":\"$2\",\"rate\":20}],
           \"routes\":[{\"name\":\"p\",\"path\":\"/patterns\",\"weight\":1,\"idempotent\":true}]}" >"$folder/$load_number.mix"
    "$build/bin/zinnia_load" --target "$ip:$((base_port + 10 + $3))" --mix "$folder/$load_number.mix" --duration 0.5 \
        --spacing fixed --name "run$load_number" --record "$folder/$load_number.records" >"$folder/$load_number.report" 2>&1 || true
    grep -oE '"status":[0-9]+' "$folder/$load_number.records" | cut -d: -f2 | sort -u | tr '\n' ' '
}

# Fails the case unless the key gets only this status at the daemon.
expect_status() { # STATUS ACCOUNT KEY INDEX
    local seen
    # try_key runs in a subshell here, so its number is counted again.
    seen=$(try_key "$2" "$3" "$4")
    load_number=$((load_number + 1))
    if [[ $seen != "$1 " ]]; then add_failure "$3 at vm-$(($4 + 1)) got status ${seen:-none }and not $1"; fi
}

# Compares the records of all loads so far with the execution logs: R6, R7 and R8.
check_all_records() {
    sleep 1 # Work that callers gave up on ends and is logged.
    local code=0
    "$build/bin/check_records" --records "$(echo "$folder"/*.records | tr ' ' ',')" \
        --executions "$(echo "$folder"/*.executions | tr ' ' ',')" >"$folder/check" || code=$?
    if ((code != 0)); then add_failure "check_records: $(tr -s ' \n' ' ' <"$folder/check")"; fi
}

expect_90_percent_answered() { # WHAT COUNT OF: a floor far below what a healthy fleet answers.
    if (($2 * 10 < $3 * 9 || $3 == 0)); then add_failure "only $2 of $3 $1 were answered"; fi
}

expect_fleet_report() { # zinniactl sees every daemon, at the version published last.
    local i addresses=() out
    for ((i = 0; i < daemons; i++)); do addresses+=("$ip:$((base_port + 30 + i))"); done
    if ! out=$(ZINNIA_ADMIN_CREDENTIAL=$admin_credential "$build/bin/zinniactl" fleet "${addresses[@]}" 2>&1); then
        add_failure "zinniactl fleet: $(tr -s ' \n' ' ' <<<"$out")"
    fi
}

# A key is withdrawn while connections with it are open and busy.
case_key_withdrawn() {
    local account=galle-furniture withdrawn_at_us before after others refused
    start_load 10 --pin
    sleep 2
    withdrawn_at_us=$(now_us)
    set_keys "$account"
    publish
    end_load
    # The servers' logs have the wall clock. A request that ran was answered or might have been.
    read -r before after others < <(awk -v limit=$((withdrawn_at_us + key_withdrawal_limit_s * 1000000)) -v at="$withdrawn_at_us" -v account="$account" '
        { match($0, /"account":"[^"]*"/); own = substr($0, RSTART + 11, RLENGTH - 12) == account
          match($0, /"start_us":[0-9]+/); start = substr($0, RSTART + 11, RLENGTH - 11) + 0
          if (own && start < at) before++
          if (own && start >= limit) after++
          if (!own && start >= limit) others++ }
        END { print before + 0, after + 0, others + 0 }' "$folder"/*.executions)
    if ((before == 0)); then add_failure "$account ran nothing before its key was withdrawn, so this shows nothing"; fi
    if ((after > 0)); then add_failure "$after requests of $account ran more than $key_withdrawal_limit_s s after the publication"; fi
    if ((others == 0)); then add_failure "no other account ran anything afterwards"; fi
    refused=$(grep "\"account\":\"$account\"" "$records" | grep -c '"status":401' || true)
    if ((refused == 0)); then add_failure "no request of $account was refused with 401"; fi
    set_keys "$account" "demo-key-$account"
    publish
    await_version "$version" $propagation_limit_s
    check_all_records
}

# A daemon boots while the service answers with a version that its peers have left behind.
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
        if [[ $seen != "$version" ]]; then add_failure "the new daemon got ready with version $seen and not $version"; fi
        expect_status 401 "$account" "demo-key-$account" 3
    else
        add_failure "the new daemon did not get ready"
    fi
    sleep 2
    highest=$version
    for ((i = 0; i < daemons; i++)); do
        seen=$(version_of "$i")
        if [[ $seen != "$highest" ]]; then add_failure "vm-$((i + 1)) went to version $seen from $highest"; fi
    done
    set_platform_mode mode=up
    set_keys "$account" "demo-key-$account"
    publish
    await_version "$version" $propagation_limit_s
    check_all_records
}

# The service is down; a key is rotated meanwhile.
case_service_down() {
    local account=jaffna-doors before=$version i
    set_platform_mode mode=down
    start_load 10
    sleep 5
    set_keys "$account" "demo-key-$account" "second-key-$account"
    publish
    for ((i = 0; i < daemons; i++)); do
        if [[ $(version_of "$i") != "$before" ]]; then add_failure "vm-$((i + 1)) lost version $before while the service was down"; fi
    done
    expect_status 401 "$account" "second-key-$account" 0
    end_load
    # shellcheck disable=SC2046 # two numbers
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

# A hub stops for so long that the others look for another one, and wakes late.
case_paused_daemon() {
    local pid=${daemon_pids[1]}
    start_load 11
    sleep 2
    kill -STOP "$pid"
    sleep 6
    kill -CONT "$pid"
    end_load
    # One daemon of four is away for 6 of 11 s; the others answer as before.
    grep -v '"target":"1"' "$records" >"$folder/others"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$folder/others")
    expect_90_percent_answered "idempotent requests at the other daemons" "$2" "$1"
    check_all_records
}

# Backend servers get slow, fail fast and restart cold.
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

# Every daemon is stopped and replaced by a new process, one after another.
case_planned_stop() {
    local i pid
    start_load 600
    sleep 1
    for ((i = 0; i < daemons; i++)); do
        pid=${daemon_pids[i]}
        terminate_processes "$pid"
        start_daemon "$i"
        wait_until_ready "$i" || add_failure "the new vm-$((i + 1)) did not get ready"
        sleep 1
    done
    kill -TERM "$load_pid"
    end_load
    # A balancer of the platform sends nothing to a daemon that does not listen.
    grep -v '"verdict":"refused"' "$records" >"$folder/arrived"
    # shellcheck disable=SC2046
    set -- $(count_answered_idempotent "$folder/arrived")
    expect_90_percent_answered "idempotent requests" "$2" "$1"
    expect_fleet_report
    check_all_records
}

case_data_centre_out() {
    local code=0
    FLEET_PORT=$((base_port + 500)) tools/demo.sh "$build" >"$folder/demo.out" 2>&1 &
    demo_pid=$!
    wait "$demo_pid" || code=$?
    demo_pid=''
    if ((code != 0)); then add_failure "tools/demo.sh: $(grep '^failed: ' "$folder/demo.out" | tr '\n' ' ' || true)"; fi
}

if [[ ${cases[*]} != data_centre_out ]]; then
    prepare_fleet kandy
    write_mix
    start_fleet >"$folder/fleet.out"
    version=1
    publish
    # The servers have warmed up then.
    sleep 1
    # Servers become warm under work only.
    start_load 3
    end_load
    if ((${#failure_reasons[@]} > 0)); then
        echo "the fleet did not start well: ${failure_reasons[*]}"
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
