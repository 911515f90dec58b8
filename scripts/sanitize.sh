#!/usr/bin/env bash
# Builds with AddressSanitizer and UndefinedBehaviorSanitizer in build-sanitize/ and runs a short soak test and all
# tests, the explorations of random schedules among them. Every finding of a sanitizer is a failure.
# SCHEDULES: schedules of jobs and faults that each exploration plays (default 30); EXPLORE_COUNT: schedules of the HTTP
# caller path (default 20); SEEDS and SECONDS_OF_TROUBLE: see scripts/soak.sh (default "1" and 4); JOBS: number of
# processes (default: one for each processor).
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-sanitize
jobs=${JOBS:-$(nproc)}
cmake -S . -B "$build" -G Ninja -DTURMERICSILL_SANITIZE=ON -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="-O1 -g1" \
    >/dev/null
ninja -C "$build" -j "$jobs"
export UBSAN_OPTIONS=print_stacktrace=1
BUILD=$build SEEDS=${SEEDS:-1} SECONDS_OF_TROUBLE=${SECONDS_OF_TROUBLE:-4} scripts/soak.sh
export SCHEDULES=${SCHEDULES:-30} EXPLORE_COUNT=${EXPLORE_COUNT:-20}
known_failures=$(scripts/known_failures.sh --sanitizers)
ctest --test-dir "$build" --output-on-failure --no-tests=error -j "$jobs" ${known_failures:+-E "$known_failures"}
