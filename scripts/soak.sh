#!/usr/bin/env bash
# Soak test: runs entry processes on a stand-in for the platform, with callers and faults on a seeded random schedule.
# SEEDS: seeds to run, separated by spaces (default "1"); SECONDS_OF_TROUBLE: time during which faults begin, in seconds
# (default 15); ENTRIES: number of entries (default 4); CROWD: number of clients without limits on each listening socket
# of an entry (default 2); MEMORY_LIMIT_MB: memory of an entry, 0 if it is not checked (default 160, the smallest machine;
# 0 for a build with sanitizers); BUILD: build folder (default build). A seed fails if a guarantee
# was violated or an entry ended by itself; its logs are kept in soak-logs/ of the build folder. Kills only processes
# that it started itself.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-1}
fault_seconds=${SECONDS_OF_TROUBLE:-15}
entries=${ENTRIES:-4}
build=${BUILD:-build}
crowd=${CROWD:-2}
memory_limit_mb=${MEMORY_LIMIT_MB:-$([ "$build" = build-sanitize ] && echo 0 || echo 160)}
platform=127.0.0.1:7700
mkdir -p "$build/soak-logs"
work_dir=
pids=()
stop_all() {
    [ -d "$work_dir" ] || return 0
    touch "$work_dir/stop"
    for pid in "${pids[@]}" $(cat "$work_dir"/*.pid 2>/dev/null); do kill -CONT "$pid" 2>/dev/null; kill -9 "$pid" 2>/dev/null; done
    wait 2>/dev/null || true
    pids=()
    true
}
trap stop_all EXIT
# Restarts the named entry whenever its process has ended, as the platform does. Only a shutdown and the signals that
# the soak test sends (SIGHUP, SIGKILL, SIGTERM) may end it.
keep_running() {
    local code
    while [ ! -e "$work_dir/stop" ]; do
        "$build/src/entryd/turmericsill-entry" --settings "$work_dir/$1.json" \
            >>"$work_dir/$1.log" 2>>"$work_dir/$1.err" &
        echo $! >"$work_dir/$1.pid"
        code=0
        wait $! || code=$?
        case $code in
        0 | 129 | 137 | 143) ;;
        *) echo "$1 ended by itself with code $code" >>"$work_dir/crashes" ;;
        esac
        sleep 0.3
    done
}
# Runs the soak test for one seed. Fails if a guarantee was violated.
run_seed() {
    work_dir=$(mktemp -d)
    pids=()
    "$build/standins/standin_jobplatform" --address "$platform" --teams >"$work_dir/platform.log" 2>&1 &
    pids+=($!)
    local callers=() proxies=() pid_files=() crowd_ports=() n
    for n in $(seq "$entries"); do
        proxies+=("127.0.0.1:$((7710 + n))") callers+=("127.0.0.1:$((7740 + n))") pid_files+=("$work_dir/entry-$n.pid")
        crowd_ports+=($((7740 + n)) $((7770 + n)) $((7800 + n)))
        cat >"$work_dir/entry-$n.json" <<SETTINGS
{
  "entry": "entry-$n", "data_centre": "here",
  "caller_address": "127.0.0.1:$((7740 + n))", "health_address": "127.0.0.1:$((7770 + n))",
  "telemetry_address": "127.0.0.1:$((7800 + n))",
  "store_address": "127.0.0.1:$((7710 + n))", "machine_control_address": "$platform",
  "memory_limit_mb": 160, "descriptor_limit": 4100
}
SETTINGS
        keep_running "entry-$n" 2>/dev/null &
        pids+=($!)
        disown $! # Keeps bash from reporting the signal that ends it.
    done
    local status=0
    "$build/soak/turmericsill_soak" --seed "$1" --seconds "$fault_seconds" --platform "$platform" \
        --callers "$(IFS=,; echo "${callers[*]}")" --proxies "$(IFS=,; echo "${proxies[*]}")" \
        --crowd_ports "$(IFS=,; echo "${crowd_ports[*]}")" --crowd "$crowd" --memory_limit_mb "$memory_limit_mb" \
        --pid_files "$(IFS=,; echo "${pid_files[*]}")" || status=1
    stop_all
    if [ -e "$work_dir/crashes" ]; then
        sed "s/^/seed $1: /" "$work_dir/crashes" >&2
        status=1
    fi
    if [ "$status" != 0 ]; then
        rm -rf "$build/soak-logs/seed-$1"
        mv "$work_dir" "$build/soak-logs/seed-$1"
        echo "seed $1 failed; its logs are in $build/soak-logs/seed-$1" >&2
    else
        rm -rf "$work_dir"
    fi
    return $status
}
failed=0
for seed in $seeds; do
    run_seed "$seed" || failed=$((failed + 1))
done
echo "soak: ran seeds $seeds; $failed failed"
[ "$failed" = 0 ]
