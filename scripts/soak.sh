#!/usr/bin/env bash
# Runs real entries on a stand-in of the platform while callers and faults play a seeded schedule against them.
# SEEDS: seeds to play, "1" by default; SECONDS_OF_TROUBLE: 15; ENTRIES: 4. Logs of a seed that broke a promise are
# kept in build/soak-logs/. Ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-1}
trouble=${SECONDS_OF_TROUBLE:-15}
entries=${ENTRIES:-4}
platform=127.0.0.1:7700
mkdir -p build/soak-logs
work=
pids=()
stop_all() {
    [ -d "$work" ] || return 0
    touch "$work/stop"
    for pid in "${pids[@]}" $(cat "$work"/*.pid 2>/dev/null); do kill -CONT "$pid" 2>/dev/null; kill -9 "$pid" 2>/dev/null; done
    wait 2>/dev/null || true
    pids=()
    true
}
trap stop_all EXIT
# Starts an entry again whenever it has ended, as the platform does.
keep_running() {
    while [ ! -e "$work/stop" ]; do
        build/src/entryd/turmericsill-entry --settings "$work/$1.json" >>"$work/$1.log" 2>>"$work/$1.err" &
        echo $! >"$work/$1.pid"
        wait $! || true
        sleep 0.3
    done
}
play() {
    work=$(mktemp -d)
    pids=()
    build/standins/standin_jobplatform --address "$platform" >"$work/platform.log" 2>&1 &
    pids+=($!)
    local callers=() proxies=() files=() n
    for n in $(seq "$entries"); do
        proxies+=("127.0.0.1:$((7710 + n))") callers+=("127.0.0.1:$((7740 + n))") files+=("$work/entry-$n.pid")
        cat >"$work/entry-$n.json" <<SETTINGS
{
  "entry": "entry-$n", "data_centre": "here",
  "caller_address": "127.0.0.1:$((7740 + n))", "health_address": "127.0.0.1:$((7770 + n))",
  "telemetry_address": "127.0.0.1:$((7800 + n))",
  "store_address": "127.0.0.1:$((7710 + n))", "machine_control_address": "$platform"
}
SETTINGS
        keep_running "entry-$n" 2>/dev/null &
        pids+=($!)
        disown $! # Its end by a signal is no news.
    done
    local status=0
    build/soak/turmericsill_soak --seed "$1" --seconds "$trouble" --platform "$platform" \
        --callers "$(IFS=,; echo "${callers[*]}")" --proxies "$(IFS=,; echo "${proxies[*]}")" \
        --pid_files "$(IFS=,; echo "${files[*]}")" || status=1
    stop_all
    if [ "$status" != 0 ]; then
        rm -rf "build/soak-logs/seed-$1"
        mv "$work" "build/soak-logs/seed-$1"
        echo "seed $1 broke a promise; logs in build/soak-logs/seed-$1" >&2
    else
        rm -rf "$work"
    fi
    return $status
}
failed=0
for seed in $seeds; do
    play "$seed" || failed=$((failed + 1))
done
echo "soak: seeds $seeds, broken $failed"
[ "$failed" = 0 ]
