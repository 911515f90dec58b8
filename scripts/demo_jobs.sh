#!/usr/bin/env bash
# Installs the dependencies, builds, and runs jobs through three entries on a stand-in for the platform: submits jobs,
# kills the entry that is the controller after half of them, and waits for every job to complete. Prints a JSON object
# of results as its last line.
# JOBS: number of jobs (default 60).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
scripts/build.sh >&2
work_dir=$(mktemp -d)
pids=()
stop_all() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work_dir"; }
trap stop_all EXIT
platform=127.0.0.1:7600
jobs=${JOBS:-60}
build/standins/standin_jobplatform --address "$platform" >"$work_dir/platform.log" 2>&1 &
pids+=($!)
for entry in 1 2 3; do
    cat >"$work_dir/entry-$entry.json" <<SETTINGS
{
  "entry": "entry-$entry", "data_centre": "here",
  "caller_address": "127.0.0.1:76${entry}1", "health_address": "127.0.0.1:76${entry}2", "telemetry_address": "127.0.0.1:76${entry}3",
  "store_address": "$platform", "machine_control_address": "$platform"
}
SETTINGS
    build/src/entryd/turmericsill-entry --settings "$work_dir/entry-$entry.json" >"$work_dir/entry-$entry.log" 2>"$work_dir/entry-$entry.err" &
    pids+=($!)
done
# Runs curl with the host name that the entries serve to callers.
call() { curl -s -m 3 -H 'Host: calls.example' "$@"; }
for entry in 1 2 3; do
    for _ in $(seq 100); do curl -sf "127.0.0.1:76${entry}2/" >/dev/null && break; sleep 0.1; done
done
# Prints the identifier of the job with the given number, as 16 hexadecimal digits.
job_id() { printf '%016x' "$((0xabc000 + $1))"; }
job_spec='{"spec":"wake the crew","steps":[{"count":6,"cpu":3500,"mem_mb":500,"estimate_ms":900},{"count":3,"cpu":3500,"mem_mb":500,"depends_on":[0]}]}'
accepted=0
for job in $(seq "$jobs"); do
    status=$(call -o /dev/null -w '%{http_code}' -d "$job_spec" "127.0.0.1:76$((job % 3 + 1))1/calls/$(job_id "$job")" || true)
    [ "$status" = 200 ] && accepted=$((accepted + 1))
    [ "$job" = $((jobs / 2)) ] || continue
    for entry in 1 2 3; do
        if curl -s "127.0.0.1:76${entry}3/control" | grep -qv '"epoch":0'; then
            kill -9 "${pids[$entry]}"
            survivor=$((entry % 3 + 1))
        fi
    done
done
completed=0
for job in $(seq "$jobs"); do
    for _ in $(seq 150); do
        state=$(call "127.0.0.1:76${survivor}1/calls/$(job_id "$job")" || true)
        case $state in *completed*) completed=$((completed + 1)); break ;; *error*) break ;; esac
        sleep 0.1
    done
done
results=$(curl -s "$platform/figures")
[ "$completed" -ge "$accepted" ] && [ "$(jq '.broken | length' <<<"$results")" = 0 ] || { echo "$results" >&2; exit 1; }
jq -c --argjson sent "$jobs" --argjson answered "$accepted" --argjson completed "$completed" \
    '{sent: $sent, accepted: $answered, completed: $completed, stored: .accepted, runs: .runs, broken: (.broken | length)}' <<<"$results"
