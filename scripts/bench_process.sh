#!/usr/bin/env bash
# Measures entry processes for several fleet sizes: processor time, memory, control traffic and the time that a new
# entry needs to catch up. Writes one JSON object for each size to build/bench/process.json.
# ENTRIES: number of entries, at least 8 (default 8); SECONDS_MEASURED: length of each measurement (default 15);
# SIZES: fleet sizes in workers, separated by spaces (default "50 500 5000 25000").
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${ENTRIES:-8}
seconds=${SECONDS_MEASURED:-15}
sizes=${SIZES:-50 500 5000 25000}
work_dir=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "$work_dir"' EXIT

# Writes the declarations of a fleet. Arguments: number of workers, output folder.
write_declarations() {
    mkdir -p "$2"
    jq -nc --argjson n "$1" '
        ([1, ($n / 203 | floor)] | max) as $pools | ([1, ($n / 67 | floor)] | max) as $teams |
        {regions: [{name: "r"}], data_centres: [{name: "dc", region: "r"}],
         racks: [range(0; $n; 4) | {name: "rack-\(. / 4)", data_centre: "dc"}],
         pools: [range($pools) | {name: "pool-\(.)", minimum_healthy: 0, maximum_out: 20}],
         services: [range($pools) | {name: "service-\(.)", pool: "pool-\(.)", availability: 0.999,
             slots_per_instance: 8, connections_per_instance: 64}],
         instances: [range($n) | {name: "worker-\(.)", address: "10.\(. / 62500 | floor).\(. / 250 % 250 | floor).\(. % 250):8080",
             rack: "rack-\(. / 4 | floor)", pool: "pool-\(. % $pools)", cores: 64, memory_gb: 128, accelerators: 2}],
         teams: [range($teams) | {name: "team-\(.)", cores: 1000, memory_gb: 1000}],
         jobs: [range($teams * 10) | {name: "job-\(.)", pool: "pool-\(. % $pools)", team: "team-\(. % $teams)",
             tasks: 4, cores: 2, memory_gb: 4}]}' > "$2/fleet.json"
}

# Prints the processor time that a process has used so far, in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# Prints the value of a metric. Arguments: telemetry port, name without the prefix turmericsill_.
metric() { curl -s "http://127.0.0.1:$1/metrics" | awk -v name="turmericsill_$2" '$1 == name {print $2}'; }

for size in $sizes; do
    write_declarations "$size" "$work_dir/$size"
    build/standins/standin_platform --address 127.0.0.1:20000 2>/dev/null & pids+=($!)
    sleep 0.3
    entry_pids=()
    for index in $(seq 0 $((entries - 1))); do
        port=$((20100 + index * 10))
        jq -n --arg name "entry-$index" --argjson port "$port" '{entry: $name, data_centre: "dc",
            caller_address: "127.0.0.1:\($port)", operator_address: "127.0.0.1:\($port + 1)",
            telemetry_address: "127.0.0.1:\($port + 2)", peer_address: "127.0.0.1:\($port + 3)",
            platform_address: "127.0.0.1:20000"}' > "$work_dir/entry-$index.json"
        build/src/daemon/turmericsilld --settings "$work_dir/entry-$index.json" 2>/dev/null &
        pids+=($!)
        entry_pids+=($!)
    done
    sleep 6
    build/src/ctl/turmericctl --entry 127.0.0.1:20101 --timeout 120s apply "$work_dir/$size" >/dev/null
    sleep 4
    pid=${entry_pids[0]}
    ticks=$(cpu_ticks "$pid"); sent=$(metric 20102 control_sent_bytes_total); received=$(metric 20102 control_received_bytes_total)
    sleep "$seconds"
    used_ticks=$(($(cpu_ticks "$pid") - ticks))
    sent_rate=$(awk -v a="$sent" -v b="$(metric 20102 control_sent_bytes_total)" -v s="$seconds" 'BEGIN {print (b - a) / s}')
    received_rate=$(awk -v a="$received" -v b="$(metric 20102 control_received_bytes_total)" -v s="$seconds" 'BEGIN {print (b - a) / s}')
    rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/${entry_pids[1]}/status")
    peak_kb=$(awk '/VmHWM/ {print $2}' "/proc/${entry_pids[1]}/status")
    applying_rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
    applying_peak_kb=$(awk '/VmHWM/ {print $2}' "/proc/$pid/status")
    # Replaces the eighth entry and measures the time from the start of the new process until it has read the whole log,
    # which shows as configuration version 1 in its metrics.
    kill -KILL "${entry_pids[7]}" 2>/dev/null || true
    started_ns=$(date +%s%N)
    jq '.entry = "entry-new"' "$work_dir/entry-7.json" > "$work_dir/entry-new.json"
    build/src/daemon/turmericsilld --settings "$work_dir/entry-new.json" 2>/dev/null & pids+=($!)
    new_pid=$!
    until curl -s "http://127.0.0.1:20172/metrics" | grep -q '^turmericsill_config_version 1$'; do sleep 0.02; done
    caught_up_ms=$((($(date +%s%N) - started_ns) / 1000000))
    start_ticks=$(cpu_ticks "$new_pid")
    jq -nc --argjson workers "$size" --argjson entries "$entries" --argjson ticks "$used_ticks" --argjson hz "$(getconf CLK_TCK)" \
        --argjson seconds "$seconds" --argjson sent "$sent_rate" --argjson received "$received_rate" --argjson rss "$rss_kb" \
        --argjson peak "$peak_kb" --argjson applying "$applying_rss_kb" --argjson applying_peak "$applying_peak_kb" --argjson caught "$caught_up_ms" --argjson start "$start_ticks" \
        '{workers: $workers, entries: $entries, core_percent: ($ticks / $hz / $seconds * 100), rss_mb: ($rss / 1024), peak_mb: ($peak / 1024),
          applying_rss_mb: ($applying / 1024), applying_peak_mb: ($applying_peak / 1024),
          sent_bytes_per_second: $sent, received_bytes_per_second: $received, caught_up_ms: $caught,
          start_cpu_seconds: ($start / $hz)}'
    stop_all
done > "$work_dir/process.json"
mkdir -p build/bench
cp "$work_dir/process.json" build/bench/process.json
cat build/bench/process.json
