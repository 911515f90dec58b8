#!/usr/bin/env bash
# Prints a regular expression of the tests that KNOWN-RED.txt lists in lines "test: NAME", or nothing if it lists none.
# The names are matched as a whole, so that no other test is excluded with them.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd'|' -)
[ -z "$names" ] || echo "^($names)\$"
