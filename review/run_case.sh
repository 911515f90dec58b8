#!/usr/bin/env bash
# Runs a scenario of review/standin for the case in the folder FOLDER: run_case.sh FOLDER SCENARIO. The scenario starts
# the entries with the command of the deploy file, writes FOLDER/record.txt and ends every process that it started.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
entry=target/src/entryd/turmericsill-entry
scenario=review/build/scenario
[ -x "$entry" ] && [ -x "$scenario" ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
work_folder=$(mktemp -d) || exit 2
pid=
clean_up() { [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null; rm -rf "$work_folder"; }
trap clean_up EXIT
trap 'exit 2' INT TERM
"$scenario" "$2" "$entry" "$work_folder" "$case_folder/record.txt" &
pid=$!
wait "$pid"
result=$?
pid=
[ -n "${KEEP_LOGS:-}" ] && cp "$work_folder"/*.log "$KEEP_LOGS"
[ "$result" -le 2 ] || result=2
exit "$result"
