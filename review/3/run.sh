#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
. ../play.sh
play refused 3 "$REVIEW/3"
exit $?
