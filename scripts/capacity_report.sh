#!/usr/bin/env bash
# Fits the measured costs as linear functions of the fleet size, writes the tables of docs/CAPACITY.md and draws
# docs/capacity.svg. Reads the results that scripts/bench.sh stores in build/bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT

# Prints a line "name size value unit" for each measurement of each benchmark that runs at several fleet sizes.
print_measurements() {
    jq -r '.benchmarks[] | select(.name | test("/")) | (.name | split("/")) as $n |
        "\($n[0]) \($n[1]) \(.cpu_time / 1000) us", (if .bytes then "\($n[0]).bytes \($n[1]) \(.bytes / 1000) kB" else empty end)' \
        build/bench/statebench.json build/bench/dutybench.json | grep -v heartbeat
    jq -r '"process.memory \(.workers) \(.rss_mb) MB", "process.peak_of_applying_entry \(.workers) \(.applying_peak_mb) MB",
        "process.caught_up \(.workers) \(.caught_up_ms) ms"' build/bench/process.json
}

# Fits a least-squares line over the fleet sizes, with relative errors (weights 1/value^2) so that small fleets count as
# much as large ones, and prints a table row for each benchmark.
print_fit_rows() {
    awk '{ key = $1; if (!(key in unit)) { order[++count] = key; unit[key] = $4 }
           n[key]++; x[key, n[key]] = $2; y[key, n[key]] = $3 }
         END { for (i = 1; i <= count; i++) { k = order[i]; sw = sx = sy = sxx = sxy = 0
                 for (j = 1; j <= n[k]; j++) { v = y[k, j] > 0 ? y[k, j] : 1e-9; w = 1 / (v * v)
                     sw += w; sx += w * x[k, j]; sy += w * y[k, j]; sxx += w * x[k, j]^2; sxy += w * x[k, j] * y[k, j] }
                 d = sw * sxx - sx * sx; b = d ? (sw * sxy - sx * sy) / d : 0; a = (sy - b * sx) / sw; worst = 0
                 for (j = 1; j <= n[k]; j++) { v = y[k, j] > 0 ? y[k, j] : 1e-9
                     r = (a + b * x[k, j] - y[k, j]) / v; if (r < 0) r = -r; if (r > worst) worst = r }
                 printf "| `%s` |", k
                 for (j = 1; j <= n[k]; j++) printf " %.4g |", y[k, j]
                 printf " %s | %.3g + %.3g·w | %.0f%% |\n", unit[k], a, b, worst * 100 } }'
}

{
    echo "| measured | 50 | 500 | 5,000 | 25,000 | unit | fit over w workers | worst residual |"
    echo "| --- | ---: | ---: | ---: | ---: | --- | --- | ---: |"
    print_measurements | print_fit_rows
    echo
    echo "Heartbeat, by instances reported busy (encode and decode, bytes of a datagram):"
    echo
    echo "| busy instances | us | bytes |"
    echo "| ---: | ---: | ---: |"
    jq -r '.benchmarks[] | select(.name | startswith("heartbeat")) | "| \(.name | split("/")[1]) | \(.cpu_time / 1000 * 100 | round / 100) | \(.bytes) |"' build/bench/dutybench.json
    echo
    echo "Whole processes, 8 entries on one machine, no callers and no changes:"
    echo
    echo "| workers | % of a core | memory MB | sent B/s | received B/s | new entry: caught up ms | its processor s |"
    echo "| ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    jq -r '"| \(.workers) | \(.core_percent * 100 | round / 100) | \(.rss_mb | round) | \(.sent_bytes_per_second | round) | \(.received_bytes_per_second | round) | \(.caught_up_ms) | \(.start_cpu_seconds) |"' build/bench/process.json
    echo
    echo "Caller path against its echo endpoint, one thread each, in one run:"
    echo
    echo "| direct /s | through an entry /s | ratio | direct median us | through an entry median us |"
    echo "| ---: | ---: | ---: | ---: | ---: |"
    jq -r '"| \(.direct_per_second | round) | \(.through_entry_per_second | round) | \(.ratio * 1000 | round / 1000) | \(.direct_median_us | round) | \(.through_entry_median_us | round) |"' build/bench/proxy.json
} > "$work_dir/tables.md"

awk -v tables="$work_dir/tables.md" '
    /<!-- measured:begin -->/ { print; while ((getline line < tables) > 0) print line; skipping = 1 }
    /<!-- measured:end -->/ { skipping = 0 }
    !skipping { print }' "$page" > "$work_dir/page.md"
cp "$work_dir/page.md" "$page"

print_measurements > "$work_dir/points.txt"
series=(foldTransition foldJobChange stateDigest applyTransition dispatchRequest controllerStep snapshotDecode)
plots=()
for name in "${series[@]}"; do
    awk -v name="$name" '$1 == name {print $2, $3}' "$work_dir/points.txt" > "$work_dir/$name.dat"
    plots+=("'$work_dir/$name.dat' using 1:2 with linespoints title '$name'")
done
gnuplot <<PLOT
set terminal svg size 900,520 background rgb 'white'
set output 'docs/capacity.svg'
set logscale xy
set xlabel 'workers'
set ylabel 'processor time for one call, us'
set key outside right
set grid
plot $(IFS=,; echo "${plots[*]}")
PLOT
echo "wrote $page and docs/capacity.svg"
