#!/usr/bin/env bash
# Case 15: a client chooses the ID ffffffffffffffff for its job. TROUBLE=0: it chooses
# another one.
. "$(dirname "$0")/../src-3/lib.sh"

ID=ffffffffffffffff
[ "$TROUBLE" = 0 ] && ID=fffffffffffffffe
NEXT=${BASE}c1
VISIBLE_S=3
FINISH_S=14
# Each takes all processors of the six workers for a second.
JOB='{"spec":"run_ms=1000","steps":[{"count":6,"cpu":16000,"memMb":100,"estimatedMs":1000}]}'

start_store
for w in 1 2 3 4 5 6; do start_worker w$w; done
start_hosts 3
sleep 2
submit 1 /tally/$ID "$JOB"
sleep $((VISIBLE_S + 1))
unknown=0
for h in 1 2 3; do
	call $h GET /tally/$ID
	[ "${ANSWER%% *}" = 410 ] && unknown=$((unknown + 1))
done
say "accepted job: unknown (410) at $unknown of 3 hosts, $(runs $ID | grep -c 'end done') of 6 tasks done"
# The job of another client, once the first one's tasks have ended.
submit 2 /tally/$NEXT "$JOB"
sleep $((FINISH_S + 3))
call 1 GET /tally/$NEXT
say "next job: state=$ANSWER, $(runs $NEXT | grep -c ' start ') of 6 tasks started"
[ $unknown -gt 0 ] && exit 1
case $ANSWER in *completed*) exit 0 ;; esac
exit 1
