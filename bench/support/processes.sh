# Functions shared by the benchmarks that start real processes: result lines, figures from /proc, and termination of the
# processes.
# Sourced by bash with `set -euo pipefail`.

source "$(dirname "${BASH_SOURCE[0]}")/../../tools/processes.sh"

ip=127.0.0.1
admin_credential=loopback-admin-credential
bench_failed=0
bench_folder=$(mktemp -d)
daemon_pids=()
stub_pids=()
background_pid=''

stop_processes() {
    if [[ -n $background_pid ]]; then terminate_processes "$background_pid"; fi
    terminate_processes "${daemon_pids[@]}"
    terminate_processes "${stub_pids[@]}"
    background_pid=''
    daemon_pids=()
    stub_pids=()
}

finish() {
    # Ignores further signals, so that a second one cannot leave processes running.
    trap - EXIT
    trap '' INT TERM
    stop_processes
    rm -rf "$bench_folder"
    exit "$1"
}
trap 'finish $?' EXIT
trap 'finish 1' INT TERM

log_message() { echo "$*" >&2; }

# NAME VALUE UNIT BOUND BASELINE: prints one result line, which passes if VALUE is at most BOUND. `null` means
# that there is no bound or no baseline.
print_result() {
    local pass=null
    if [[ $4 != null ]]; then
        pass=$(awk -v value="$2" -v bound="$4" 'BEGIN { print value <= bound ? "true" : "false" }')
        if [[ $pass == false ]]; then bench_failed=1; fi
    fi
    printf '{"name":"%s","value":%s,"unit":"%s","bound":%s,"baseline":%s,"pass":%s}\n' "$1" "$2" "$3" "$4" "$5" "$pass"
}

# PID: prints the processor time of a process, user and system, in seconds. /proc counts in ticks, usually of 10 ms.
ticks_per_second=$(getconf CLK_TCK)
processor_seconds() {
    local stat fields
    read -r stat <"/proc/$1/stat"
    read -r -a fields <<<"${stat##*) }"
    awk -v ticks=$((fields[11] + fields[12])) -v rate="$ticks_per_second" 'BEGIN { printf "%.3f", ticks / rate }'
}

# PID: prints the resident memory of a process in units of 1024 kB.
resident_mb() { awk '/^VmRSS:/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }

load_average() { cut -d' ' -f1 /proc/loadavg; }

# Statistics of the numbers on standard input, one per line.
median() { sort -g | awk '{ v[NR] = $1 } END { printf "%.4f", NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2 }'; }
mean() { awk '{ sum += $1 } END { printf "%.4f", sum / NR }'; }
largest() { sort -g | tail -n 1; }

# JSON NAME: prints the first number of that name.
first_json_number() { grep -oE "\"$2\":-?[0-9.]+([eE][-+]?[0-9]+)?" <<<"$1" | head -n 1 | cut -d: -f2; }

# ADMIN_PORT PID: polls /readyz of a daemon until it answers with success: up to 300 times, 0.1 s apart. Fails at once
# when the process has ended.
wait_until_ready() {
    local tries
    for ((tries = 0; tries < 300; tries++)); do
        if curl -sf -m 1 -o /dev/null "http://$ip:$1/readyz"; then return 0; fi
        if ! kill -0 "$2" 2>/dev/null; then break; fi
        sleep 0.1
    done
    log_message "the daemon with admin port $1 is not ready; its process ended or 300 attempts failed"
    return 1
}

# FILE VM DATA_CENTRE REGION CALLERS_PORT ADMIN_PORT PEER_PORT PLATFORM_PORT [SEEDS]: writes the settings of a daemon.
write_settings() {
    cat >"$1" <<SETTINGS
{"vm":"$2", "data_centre":"$3", "region":"$4",
 "listen":"$ip:$5", "admin_listen":"$ip:$6", "peer_listen":"$ip:$7", "platform":"$ip:$8",
 "seeds":[${9:-}], "admin_credential":"$admin_credential", "log_format":"text", "stop_grace_ms":1000}
SETTINGS
}
