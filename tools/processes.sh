# Termination of processes by their ids; sourced by the scripts that start them.
# shellcheck shell=bash

# Sends TERM to all processes at once, and KILL to those that have not ended after 15 s.
terminate_processes() { # [PID...]
    local pid waited_tenths=0
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do
        while kill -0 "$pid" 2>/dev/null && ((waited_tenths < 150)); do
            sleep 0.1
            waited_tenths=$((waited_tenths + 1))
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}
