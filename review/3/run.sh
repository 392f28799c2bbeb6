#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 held, 2 not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
for program in target/bin/hawthornstall-platform-{control,entry} target/review/cases; do
    [ -x "$program" ] || exit 2
done
timeout --signal=KILL 110 target/review/cases late_hold review/3 "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
