# An orderly stop of processes by their ids; sourced by the scripts that start them.
# shellcheck shell=bash

# Sends TERM, then KILL to those that have not ended after 15 s.
stop_all() {
    local pid waited=0
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do
        while kill -0 "$pid" 2>/dev/null && ((waited < 150)); do
            sleep 0.1
            waited=$((waited + 1))
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}
