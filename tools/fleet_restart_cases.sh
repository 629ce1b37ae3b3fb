# Cases of the fault tests about the size of the fleet that daemons take for granted after a restart; sourced by
# fleet_faults.sh, whose functions and variables they use.
# shellcheck shell=bash
# shellcheck disable=SC2154 # The variables come from fleet_faults.sh and fleet_common.sh.

# Longer than a daemon that has started takes to know the members of its fleet.
discovery_s=4

# Kills the daemons and starts them with other peer addresses and these seeds, so that they do not reach the others, nor
# the others them.
restart_cut_off() { # SEED[,SEED...] INDEX...
    local seeds=\"${1//,/\",\"}\" i settings
    shift
    for i in "$@"; do
        settings=$folder/vm-$((i + 1)).json
        kill -KILL "${daemon_pids[$i]}"
        wait "${daemon_pids[$i]}" 2>/dev/null || true
        cp "$settings" "$settings.saved"
        sed -i -E "s/\"seeds\":\[[^]]*\]/\"seeds\":[$seeds]/; s/(\"peer_listen\":\"$ip):[0-9]+/\1:$((base_port + 60 + i))/" "$settings"
        start_daemon "$i"
    done
    for i in "$@"; do wait_until_ready "$i" || add_failure "the restarted vm-$((i + 1)) did not become ready"; done
}

# Restarts the daemons with the settings from before restart_cut_off.
restart_in_touch() { # INDEX...
    local i
    for i in "$@"; do
        terminate_processes "${daemon_pids[$i]}"
        mv "$folder/vm-$((i + 1)).json.saved" "$folder/vm-$((i + 1)).json"
        start_daemon "$i"
    done
    for i in "$@"; do wait_until_ready "$i" || add_failure "vm-$((i + 1)) did not become ready with its seeds"; done
}

# Sends requests of one account to some daemons and sets `answered` and `sent` to their numbers.
load_account() { # ACCOUNT RATE SECONDS INDEX...
    local account=$1 account_rate=$2 seconds=$3 i targets=''
    shift 3
    for i in "$@"; do targets+=,$ip:$((base_port + 10 + i)); done
    load_number=$((load_number + 1))
    records=$folder/$load_number.records
    echo "{\"accounts\":[{\"name\":\"$account\",\"key\":\"demo-key-$account\",\"rate\":20}],
           \"routes\":[{\"name\":\"p\",\"path\":\"/patterns\",\"weight\":1,\"idempotent\":true}]}" >"$folder/$load_number.mix"
    "$build/bin/zinnia_load" --target "${targets#,}" --mix "$folder/$load_number.mix" --duration "$seconds" \
        --rate "$account_rate" --name "run$load_number" --record "$records" >"$folder/$load_number.report" 2>&1 || true
    answered=$(grep -c '"outcome":"answered"' "$records" || true)
    sent=$(wc -l <"$records")
}

# Restarts daemons that reach no others than these, and fails the case if they let more requests of an account pass than
# their share of its rate allows, twice what they are of the fleet.
check_cut_off_restart() { # SEED[,SEED...] INDEX...
    local account account_rate answered sent allowed
    read -r account account_rate <"$folder/accounts"
    restart_cut_off "$@"
    shift
    sleep $discovery_s
    load_account "$account" "$(awk -v r="$account_rate" 'BEGIN { print r * 3 }')" 5 "$@"
    # In 5 s, with a quarter of the rate for each daemon.
    allowed=$(awk -v r="$account_rate" -v n=$# 'BEGIN { print int(r * 5 * n / 4) }')
    if ((answered > allowed)); then
        add_failure "$# daemons let $answered requests of $account pass in 5 s, at a rate of $account_rate; at most $allowed are allowed"
    fi
    if ((sent <= allowed)); then add_failure "too few requests were sent, so the case tested nothing"; fi
    restart_in_touch "$@"
}

# Guards against a daemon that starts while it reaches no other one and takes itself for the whole fleet: it granted each
# account's whole rate beside the others. Nothing listens on port 1.
case_cut_off_restart() { check_cut_off_restart "$ip:1,127.0.0.2:1,127.0.0.3:1" 3; }

# Guards against two of the three seeds that start while they reach only each other, and take themselves for the whole
# fleet because they are most of the seeds.
case_cut_off_seeds_restart() {
    check_cut_off_restart "$ip:$((base_port + 60)),$ip:$((base_port + 61)),127.0.0.3:1" 0 1
}

# Guards against the only seed, which starts while it reaches no other daemon and takes itself for the whole fleet.
case_cut_off_only_seed_restart() { check_cut_off_restart "$ip:$((base_port + 60))" 0; }

# Guards against a fleet that refuses what its accounts are owed for long after all VMs have lost power: no daemon is left
# that remembers how large the fleet is.
case_power_loss() {
    local account account_rate answered sent i
    read -r account account_rate <"$folder/accounts"
    for ((i = 0; i < daemons; i++)); do kill -KILL "${daemon_pids[$i]}"; done
    for ((i = 0; i < daemons; i++)); do
        wait "${daemon_pids[$i]}" 2>/dev/null || true
        start_daemon "$i"
    done
    for ((i = 0; i < daemons; i++)); do wait_until_ready "$i" || add_failure "the restarted vm-$((i + 1)) did not become ready"; done
    sleep $discovery_s
    load_account "$account" "$(awk -v r="$account_rate" 'BEGIN { print r / 2 }')" 3 "${!daemon_pids[@]}"
    if ((answered * 10 < sent * 9)); then
        add_failure "$answered of $sent requests of $account were answered, at half of its rate of $account_rate"
    fi
    if ((sent < account_rate)); then add_failure "too few requests were sent, so the case tested nothing"; fi
}
