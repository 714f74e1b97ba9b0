#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
. ../play.sh
play lost 3 "$REVIEW/1"
exit $?
