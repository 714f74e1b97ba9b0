#!/usr/bin/env bash
# A host is cut off from the store for 12 s. Meanwhile a job that it knows as running
# ends, is kept for longer than asked for, and is dropped; the records of that expire in
# the log. The cut ends, and the other host is stopped as planned. A task whose end as
# done has been acknowledged must not start again.
# The times of the deployment are scaled down so that the cut stays within its limit.
export STATUS_S=1 KEEP_S=2
. "$(dirname "$0")/../src-2/common.sh"
CUT_S=12
JOB=00000000000d0001

start_store
publish_config
for w in 1 2 3; do start_worker "w$w" --rack=r1; done
KEEP_MS=$((KEEP_S * 1000)) start_proxy history "$STORE"
HISTORY=$PROXY
declare -A FRONT
n=1
for h in a b; do
	start_proxy "store-$h" "$HISTORY"
	start_host $h $n "$PROXY"
	n=$((n + 1))
done
for h in a b; do find_ports $h; done
for h in a b; do wait_for 15 is_ready $h || cannot_run "host-$h is not ready"; done
wait_for 15 find_owner || cannot_run "no owner"
sleep 8
find_owner || cannot_run "no owner"
other=b
[ "$OWNER" = b ] && other=a
owner=$OWNER
note "host-$owner owns the cell"

answer=$(call 3000 "$owner" POST "/desk/$JOB" '{"spec":"run_ms=1500","steps":[
{"count":2,"cpu":500,"memMb":50,"estimatedMs":1500}]}')
note "$JOB POST at host-$owner: $answer"
[ "${answer%% *}" = 200 ] || cannot_run "the job was not accepted"
sleep 0.6
note "$JOB GET at host-$other: $(state_of $other $JOB)"
if [ "$TROUBLE" != 0 ]; then
	echo cut >"$WORK/store-$other.mode"
	note "host-$other is cut off from the store"
fi
for _ in $(seq $CUT_S); do
	sleep 1
	note "$JOB GET at host-$owner: $(state_of "$owner" $JOB)"
done
echo pass >"$WORK/store-$other.mode"
note "host-$other reaches the store again"
wait_for 10 is_ready $other || cannot_run "host-$other is not ready again"
sleep 4
note "$JOB GET at host-$other: $(state_of $other $JOB)"
kill -TERM "${HOST_PID[$owner]}"
note "host-$owner is stopped as planned"
unset "HOST_PID[$owner]"
wait_for 15 is_owner $other || cannot_run "host-$other does not own the cell"
note "host-$other owns the cell"
sleep 15
note "$JOB GET at host-$other: $(state_of $other $JOB)"
grep -h "expired" "$WORK/history.calls" | head -5 | sed 's/^/store: /' >>"$RECORD"
note_runs
again=$(cat "$WORK"/runs.* | sort -s -n -k1,1 | awk -v id="$JOB" '
	index($3, id ".") != 1 { next }
	$5 == "ack" && $6 == "done" { done[$3] = 1 }
	$5 == "start" && $3 in done { n++ }
	END { print n + 0 }')
acked=$(cat "$WORK"/runs.* | awk '$5 == "ack" && $6 == "done"' | wc -l)
note "$acked ends as done acknowledged, $again starts after them"
[ "$acked" -ge 2 ] || cannot_run "the job has not ended"
[ "$again" = 0 ] || exit 1
exit 0
