#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 does the same without the
# disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standin-3/run_case.sh" 14 case_upkeep
