#!/usr/bin/env bash
# Regenerates the golden files of the session tests and shows their differences.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
UPDATE_GOLDEN=1 build/src/daemon/session_tests >/dev/null || true
git --no-pager diff --stat -- 'src/*/tests/golden'
git --no-pager diff -- 'src/*/tests/golden'
