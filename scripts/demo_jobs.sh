#!/usr/bin/env bash
# Installs what is needed, builds, and runs jobs through three entry processes on a stand-in of the platform: submit,
# kill the entry that controls the fleet in the middle, wait for every job. The last line is a JSON object of figures.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
scripts/build.sh >&2
work=$(mktemp -d)
pids=()
stop_all() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap stop_all EXIT
platform=127.0.0.1:7600
jobs=${JOBS:-60}
build/standins/standin_jobplatform --address "$platform" >"$work/platform.log" 2>&1 &
pids+=($!)
for n in 1 2 3; do
    cat >"$work/entry-$n.json" <<SETTINGS
{
  "entry": "entry-$n", "data_centre": "here",
  "caller_address": "127.0.0.1:76${n}1", "health_address": "127.0.0.1:76${n}2", "telemetry_address": "127.0.0.1:76${n}3",
  "store_address": "$platform", "machine_control_address": "$platform"
}
SETTINGS
    build/src/entryd/turmericsill-entry --settings "$work/entry-$n.json" >"$work/entry-$n.log" 2>"$work/entry-$n.err" &
    pids+=($!)
done
call() { curl -s -m 3 -H 'Host: calls.example' "$@"; }
for n in 1 2 3; do
    for _ in $(seq 100); do curl -sf "127.0.0.1:76${n}2/" >/dev/null && break; sleep 0.1; done
done
id() { printf '%016x' "$((0xabc000 + $1))"; }
body='{"spec":"wake the crew","steps":[{"count":6,"cpu":3500,"mem_mb":500,"estimate_ms":900},{"count":3,"cpu":3500,"mem_mb":500,"depends_on":[0]}]}'
accepted=0
for i in $(seq "$jobs"); do
    status=$(call -o /dev/null -w '%{http_code}' -d "$body" "127.0.0.1:76$((i % 3 + 1))1/calls/$(id "$i")" || true)
    [ "$status" = 200 ] && accepted=$((accepted + 1))
    [ "$i" = $((jobs / 2)) ] || continue
    for n in 1 2 3; do
        if curl -s "127.0.0.1:76${n}3/control" | grep -qv '"epoch":0'; then
            kill -9 "${pids[$n]}"
            survivor=$((n % 3 + 1))
        fi
    done
done
completed=0
for i in $(seq "$jobs"); do
    for _ in $(seq 150); do
        state=$(call "127.0.0.1:76${survivor}1/calls/$(id "$i")" || true)
        case $state in *completed*) completed=$((completed + 1)); break ;; *error*) break ;; esac
        sleep 0.1
    done
done
figures=$(curl -s "$platform/figures")
[ "$completed" -ge "$accepted" ] && [ "$(jq '.broken | length' <<<"$figures")" = 0 ] || { echo "$figures" >&2; exit 1; }
jq -c --argjson sent "$jobs" --argjson answered "$accepted" --argjson completed "$completed" \
    '{sent: $sent, accepted: $answered, completed: $completed, stored: .accepted, runs: .runs, broken: (.broken | length)}' <<<"$figures"
