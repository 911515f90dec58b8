#!/usr/bin/env bash
# Runs all benchmarks, stores their results in build/bench/*.json and regenerates the tables and the plot of
# docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
mkdir -p build/bench
for name in statebench dutybench; do
    build/benchmarks/$name --benchmark_out=build/bench/$name.json --benchmark_out_format=json >/dev/null 2>&1
done
build/benchmarks/proxybench > build/bench/proxy.json
scripts/bench_process.sh >/dev/null 2>&1
scripts/capacity_report.sh
