#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
. ../play.sh
play twice 3 "$REVIEW/2"
exit $?
