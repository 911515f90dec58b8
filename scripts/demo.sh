#!/usr/bin/env bash
# Demonstrates the main workflow on the stand-ins: applies declarations, sends calls with surges, drains instances one
# after another, and kills and replaces an entry. Prints a JSON object of results as its last line. The exit code is 0
# only if every guarantee held.
# FIRM: folder under examples/ (default mrozne-grono); SECONDS_OF_LOAD: duration of the calls (default 20);
# KEEP_LOGS: any non-empty value keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null

firm=${FIRM:-mrozne-grono}
load_seconds=${SECONDS_OF_LOAD:-20}
work_dir=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    [ -n "${KEEP_LOGS:-}" ] && echo "logs: $work_dir" >&2 || rm -rf "$work_dir"
}
trap stop_all EXIT

# Starts an entry and registers it with the platform. Arguments: name, first of its ports, index in entry_pids.
start_entry() {
    cat > "$work_dir/$1.json" <<SETTINGS
{
  // Entry instance $1.
  "entry": "$1",
  "data_centre": "$data_centre",
  "caller_address": "127.0.0.1:$2",
  "operator_address": "127.0.0.1:$(($2 + 1))",
  "telemetry_address": "127.0.0.1:$(($2 + 2))",
  "peer_address": "127.0.0.1:$(($2 + 3))",
  "platform_address": "127.0.0.1:20000",
  "shutdown_notice_ms": 1000,
  "trace_file": "$work_dir/$1.trace"
}
SETTINGS
    build/src/daemon/turmericsilld --settings "$work_dir/$1.json" 2>"$work_dir/$1.log" &
    pids+=($!)
    entry_pids[$3]=$!
    curl -s -o /dev/null -X POST -d "{\"name\":\"$1\",\"probe\":\"127.0.0.1:$2\"}" http://127.0.0.1:20000/instances
}

# Waits for about 20 s until the entry with the given telemetry port is ready.
wait_ready() {
    for _ in $(seq 200); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/readyz")" = 200 ] && return 0
        sleep 0.1
    done
    echo "demo.sh: the entry with telemetry port $1 did not become ready:" >&2
    curl -s "http://127.0.0.1:$1/readyz" >&2
    return 1
}

data_centre=$(sed -e 's#//.*##' "examples/$firm/firm.json" | jq -r '.data_centres[0].name')
services=$(sed -e 's#//.*##' "examples/$firm/services.json" | jq -r '[.services[].name] | join(",")')
first_service=${services%%,*}
declare -a entry_pids

echo "starting the stand-ins and three entries for $firm" >&2
build/standins/standin_platform --address 127.0.0.1:20000 2>"$work_dir/platform.log" & pids+=($!)
sleep 0.3
build/standins/standin_endpoint --declarations "examples/$firm" --control 127.0.0.1:20001 2>"$work_dir/endpoint.log" & pids+=($!)
start_entry entry-a 20100 0
start_entry entry-b 20110 1
start_entry entry-c 20120 2
for port in 20102 20112 20122; do wait_ready $port; done
ctl="build/src/ctl/turmericctl --entry 127.0.0.1:20101,127.0.0.1:20111,127.0.0.1:20121"

echo "applying the declarations of $firm" >&2
$ctl apply "examples/$firm" --author demo >/dev/null
$ctl status >&2

echo "sending calls for $load_seconds s, with a load surge on each service in turn" >&2
build/standins/standin_caller --entries 127.0.0.1:20100,127.0.0.1:20110,127.0.0.1:20120 \
    --readiness 127.0.0.1:20102,127.0.0.1:20112,127.0.0.1:20122 \
    --services "$services" --rate 1500 --seconds "$load_seconds" --surge_seconds 4 >"$work_dir/load.json" & load_pid=$!
pids+=($load_pid)
sleep 2

wave_start=$(date +%s.%N)
for instance_number in 01 02 03; do
    echo "draining $first_service-$instance_number" >&2
    $ctl drain "$first_service-$instance_number" --author demo --reason "kernel" --wait >&2 &
    drain_pid=$!
    if [ "$instance_number" = 02 ]; then
        echo "killing entry-b during the drain" >&2
        kill -KILL "${entry_pids[1]}"
    fi
    wait "$drain_pid"
done
wave_end=$(date +%s.%N)

echo "replacing entry-b with entry-d; stopping entry-c gracefully" >&2
start_entry entry-d 20110 1
wait_ready 20112
kill -TERM "${entry_pids[2]}"
wait "$load_pid"
load_json=$(cat "$work_dir/load.json")
endpoint_json=$(curl -s http://127.0.0.1:20001/stats)
platform_json=$(curl -s http://127.0.0.1:20000/stats)
echo "endpoints: $endpoint_json" >&2
echo "platform: $platform_json" >&2
results=$(jq -nc --argjson load "$load_json" --argjson endpoint "$endpoint_json" \
    --arg began "$wave_start" --arg ended "$wave_end" '
    {sent: $load.sent, answered: $load.answered, not_run: $load.not_run, unknown: $load.unknown, lost: $load.lost,
     doubled: $endpoint.doubled, cut_off: $endpoint.cut_off,
     wave_seconds: ((($ended | tonumber) - ($began | tonumber)) * 100 | round / 100), moves: 0,
     mismatched: $load.mismatched, maximum_in_progress: $endpoint.maximum_in_progress,
     median_ms: $load.median_ms, p99_ms: $load.p99_ms}')
echo "$results"
# Calls on the connections of the killed entry may be lost; every other call must have an outcome.
jq -e '.doubled == 0 and .cut_off == 0 and .mismatched == 0 and .answered > 0 and .lost < 100
    and .answered + .not_run + .unknown + .lost == .sent' <<<"$results" >/dev/null
