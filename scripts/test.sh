#!/usr/bin/env bash
# Installs what is needed, builds with warnings as errors, checks format and lint, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/lint.sh
# Tests that are known to fail stand in KNOWN-RED.txt, one "test: NAME" a line; they are printed, not run.
red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
[ -n "$red" ] && { echo "known red, passed over:"; cat KNOWN-RED.txt; }
ctest --test-dir build --output-on-failure --no-tests=error -j "$(nproc)" ${red:+-E "$red"}
