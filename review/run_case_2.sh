# Runs a case of the second review; sourced by the run.sh of each case.
# Starts the driver (stand-ins and checks), then the daemons with the command of deploy/system.toml, and ends all of
# them by their process ids. Exits with the driver's code: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run.
# shellcheck shell=bash
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
driver=case-$(basename "$case_folder")
repository=$(cd "$case_folder/../.." && pwd)
cd "$repository" || exit 2
programs=target/review-2
daemon=target/zinniaferry-platform
if [[ ! -x $programs/$driver || ! -x $daemon ]]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
daemon_pids=()
driver_pid=
clean_up() {
    if [[ -n $driver_pid ]]; then kill -KILL "$driver_pid" 2>/dev/null; fi
    for pid in "${daemon_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap clean_up EXIT
TROUBLE=${TROUBLE:-1} "$programs/$driver" "$folder" "$case_folder/record.txt" &
driver_pid=$!
for ((i = 0; i < 100; i++)); do
    if [[ -e $folder/settings-written ]]; then break; fi
    sleep 0.1
done
for settings in "$folder"/*.json; do
    name=$(basename "$settings" .json)
    # Exactly the variables that the platform passes on, and the command of deploy/system.toml.
    env -i PATH="$PATH" HOME="${HOME:-/}" LANG=C ZINNIAFERRY_SETTINGS="$settings" \
        "$daemon" --metrics-port 9470 >"$folder/$name.log" 2>&1 &
    daemon_pids+=($!)
    echo "$!" >"$folder/$name.pid"
done
wait "$driver_pid"
code=$?
driver_pid=
if [[ -n ${KEEP_LOGS:-} ]]; then
    mkdir -p "$KEEP_LOGS"
    cp "$folder"/*.log "$KEEP_LOGS"
fi
exit "$code"
