#!/usr/bin/env bash
# For 4.5 s, the store does a third of the writes late and does not answer them. Callers
# hand in jobs with tasks that last. Two in five leave after 0.9 s and cancel their jobs,
# the others wait, and try again as long as they have no answer. A job whose cancelling
# was acknowledged (2xx or 410) must not run on.
. "$(dirname "$0")/../src-2/common.sh"
JOBS=40
LOSS_PERCENT=35
LOSS_MS=4500
LATE_MIN_MS=1000
LATE_MAX_MS=6000
GIVE_UP_MS=900
export DEADLINE_MS=3000
CANCEL_MS=3000
STOP_GRACE_MS=900
CONTACT_MS=3000

job_id()
{
	printf '%016x' $((0xa0000 + $1))
}

# submit ID HOST TIMEOUT_MS: sets ANSWER
submit()
{
	ANSWER=$(call "$3" "$2" POST "/desk/$1" '{"spec":"run_ms=0","steps":[
{"count":1,"cpu":200,"memMb":50,"longRunning":true}]}')
	note "$1 POST at host-$2: $ANSWER"
}

# A caller that waits for an answer, and hands the job in again at the next host.
patient_caller()
{
	local id=$(job_id "$1") hosts=(a b c) try

	for try in 0 1 2 3 4; do
		submit "$id" "${hosts[$((($1 + try) % 3))]}" 3000
		case ${ANSWER%% *} in
		2?? | 4??) return ;;
		esac
		sleep 1
	done
}

# A caller that leaves, and cancels the job at the next host until that is
# acknowledged.
leaving_caller()
{
	local id=$(job_id "$1") hosts=(a b c) answer second try

	second=${hosts[$((($1 + 1) % 3))]}
	submit "$id" "${hosts[$(($1 % 3))]}" $GIVE_UP_MS
	for try in $(seq 12); do
		answer=$(call 3000 "$second" DELETE "/desk/$id")
		note "$id DELETE at host-$second: $answer"
		case ${answer%% *} in
		2?? | 410)
			echo "$id $(now_ms) ${answer%% *}" >>"$WORK/acknowledged"
			return
			;;
		esac
		sleep 0.5
	done
}

# running_of ID: prints the workers on which a run of the job goes on
running_of()
{
	cat "$WORK"/runs.* | awk -v id="$1" '
		index($3, id ".") == 1 && $5 == "start" { on[$2 " " $3 " " $4] = $2 }
		index($3, id ".") == 1 && $5 == "end" { delete on[$2 " " $3 " " $4] }
		END { for (k in on) print on[k] }'
}

start_store
publish_config
for w in 1 2 3 4; do start_worker "w$w" --rack=r1; done
start_proxy store "$STORE"
n=1
for h in a b c; do
	start_host $h $n "$PROXY"
	n=$((n + 1))
done
for h in a b c; do find_ports $h; done
for h in a b c; do wait_for 15 is_ready $h || cannot_run "host-$h is not ready"; done
wait_for 15 find_owner || cannot_run "no owner"
sleep 8
find_owner || cannot_run "no owner"
note "host-$OWNER owns the cell"

CALLERS=()
if [ "$TROUBLE" != 0 ]; then
	note "answers of the store are lost from here: $LOSS_PERCENT percent of the writes, \
done $LATE_MIN_MS to $LATE_MAX_MS ms late"
	echo "late /api/log-append $LOSS_PERCENT $LATE_MIN_MS $LATE_MAX_MS" \
		>"$WORK/store.mode"
fi
for i in $(seq $JOBS); do
	if [ $((i % 5)) -lt 2 ]; then
		leaving_caller "$i" &
	else
		patient_caller "$i" &
	fi
	CALLERS+=($!)
	sleep 0.1
done
left=$((LOSS_MS - JOBS * 105))
[ $left -gt 0 ] && sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
echo pass >"$WORK/store.mode"
note "the store answers all calls from here"
wait "${CALLERS[@]}"
CALM_MS=$(now_ms)
# The last late write, contactMs, and the bounds of a cancelled job.
sleep $(((LATE_MAX_MS + CONTACT_MS + CANCEL_MS + STOP_GRACE_MS) / 1000 + 1))

sed 's/^/write of the store: /' "$WORK/store.calls" >>"$RECORD" 2>/dev/null
broken=0
while read -r id at code; do
	workers=$(running_of "$id" | tr '\n' ' ')
	[ -n "$workers" ] || continue
	broken=$((broken + 1))
	note "BROKEN: $id, whose cancelling was acknowledged with $code \
$(($(now_ms) - at)) ms ago, still runs on $workers; the state shown: $(state_of a "$id")"
done <"$WORK/acknowledged"
note_runs
acknowledged=$(wc -l <"$WORK/acknowledged")
note "$JOBS jobs, $acknowledged cancels acknowledged, $broken of these jobs run on; \
calm for $(($(now_ms) - CALM_MS)) ms"
[ "$acknowledged" -gt 0 ] || cannot_run "no cancel was acknowledged"
[ $broken = 0 ] || exit 1
exit 0
