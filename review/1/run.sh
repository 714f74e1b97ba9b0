#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption. Exit code: 1 when the rule was
# broken, 0 when it held, 2 when the case could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE=${TROUBLE:-1}
. ../play.sh
play lost 3 "$REVIEW/1"
exit $?
