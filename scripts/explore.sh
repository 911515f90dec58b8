#!/usr/bin/env bash
# Runs the exploration tests on seeded random fault schedules, in parallel processes.
# SCHEDULES: number of schedules (default 100000); FIRST: seed of the first (default 1); JOBS: number of processes
# (default: one for each processor). Prints the seed of each schedule that fails.
set -euo pipefail
cd "$(dirname "$0")/.."
schedules=${SCHEDULES:-100000}
first=${FIRST:-1}
jobs=${JOBS:-$(nproc)}
schedules_per_job=$((schedules / jobs))
export EXPLORE_COUNT=$schedules_per_job
seq 0 $((jobs - 1)) | xargs -P "$jobs" -I{} bash -c '
    EXPLORE_FIRST=$(('"$first"' + {} * '"$schedules_per_job"')) build/src/daemon/session_tests "[exploration]" 2>/dev/null |
        grep -E "seed|assertions|broken|CHECK|REQUIRE|^  [{\"]" || true'
