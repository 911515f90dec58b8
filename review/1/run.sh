#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves out the disruption. Exit code: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1} exec "$here/../run_case.sh" "$here" large-batch
