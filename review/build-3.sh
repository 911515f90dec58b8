#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts in review/build/. They need what deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
pids=()
for source in standin-3/case_*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++17 -O1 -w -o "build/$name" "$source" -pthread &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
