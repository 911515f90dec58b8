#!/usr/bin/env bash
# Installs the dependencies, builds with warnings as errors, checks format and clang-tidy, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/lint.sh
# KNOWN-RED.txt lists the tests that are known to fail, as lines "test: NAME". They are printed and not run. The names
# are matched as a whole, so that no other test is excluded with them.
known_failures=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd'|' -)
[ -n "$known_failures" ] && { echo "known failures, not run:"; cat KNOWN-RED.txt; }
# A short soak test runs before ctest, so that the output ends with the summary of ctest.
SEEDS="1 2" SECONDS_OF_TROUBLE=4 scripts/soak.sh
ctest --test-dir build --output-on-failure --no-tests=error -j "$(nproc)" ${known_failures:+-E "^($known_failures)$"}
