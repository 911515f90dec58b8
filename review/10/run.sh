#!/usr/bin/env bash
# Plays the case with the program of the deploy file; see claim.txt. Exit status 1: the rule was broken, 0: it held,
# 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x target/review-2/standin ] && [ -x "${command%% *}" ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin removed-route review/10/record.txt "$command"
