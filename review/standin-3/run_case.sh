#!/usr/bin/env bash
# Runs a case of the third review: run_case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run. TROUBLE=0 leaves the disruption out. Build first: the deploy file's build and build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
program=review/build/$2
[ -x "$program" ] || { echo "$program is missing: run review/build-3.sh" >&2; exit 2; }
[ -x target/src/entryd/turmericsill-entry ] || { echo "the build of deploy/system.toml is missing" >&2; exit 2; }
timeout -k 2 115 "$program" "review/$1/record.txt"
result=$?
tail -n 1 "review/$1/record.txt"
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
