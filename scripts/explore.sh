#!/usr/bin/env bash
# Explores random schedules of faults with one process for each processor.
# SCHEDULES: how many (default 100000); FIRST: first seed. A failure prints its seed.
set -euo pipefail
cd "$(dirname "$0")/.."
schedules=${SCHEDULES:-100000}
first=${FIRST:-1}
jobs=${JOBS:-$(nproc)}
share=$((schedules / jobs))
export EXPLORE_COUNT=$share
seq 0 $((jobs - 1)) | xargs -P "$jobs" -I{} bash -c '
    EXPLORE_FIRST=$(('"$first"' + {} * '"$share"')) build/src/daemon/session_tests "[exploration]" 2>/dev/null |
        grep -E "seed|assertions|broken|CHECK|REQUIRE|^  [{\"]" || true'
