#!/usr/bin/env bash
# Another writer leaves 600 entries among those of the workers, whose keys hold a line
# feed. They name no workers; the entries of the workers hold. Then the host that owns
# the cell is stopped as planned, and the next owner lists the entries. A job that is
# accepted after that must run: the workers are idle.
. "$(dirname "$0")/../src-2/common.sh"
ENTRIES=600
PAGE=500
FINISH_S=14

start_store
publish_config
for w in w1 w2 w3; do start_worker $w --rack=r1; done
PAGE=$PAGE start_proxy pages "$STORE"
n=1
for h in a b; do
	start_host $h $n "$PROXY"
	n=$((n + 1))
done
for h in a b; do find_ports $h; done
for h in a b; do wait_for 15 is_ready $h || cannot_run "host-$h is not ready"; done
wait_for 15 find_owner || cannot_run "no owner"
sleep 8
find_owner || cannot_run "no owner"
owner=$OWNER
other=a
[ "$owner" = a ] && other=b
note "host-$owner owns the cell"

if [ "$TROUBLE" != 0 ]; then
	"$TOOLS/rv" entries $ENTRIES >"$WORK/entries"
	note "another writer leaves $ENTRIES entries: $("$TOOLS/rv" call 2000 POST "$STORE" \
		"/api/log-append?topic=keyed.servers&part=0" "@$WORK/entries")"
fi
job='{"spec":"run_ms=300","steps":[{"count":2,"cpu":500,"memMb":50,"estimatedMs":300}]}'
note "00000000000e0001 POST at host-$owner: $(call 3000 "$owner" POST /desk/00000000000e0001 "$job")"
sleep 2
note "00000000000e0001: $(state_of $other 00000000000e0001)"
kill -TERM "${HOST_PID[$owner]}"
note "host-$owner is stopped as planned"
unset "HOST_PID[$owner]"
wait_for 15 is_owner $other || cannot_run "host-$other does not own the cell"
note "host-$other owns the cell"
sleep 3
answer=$(call 3000 $other POST /desk/00000000000e0002 "$job")
note "00000000000e0002 POST at host-$other: $answer"
[ "${answer%% *}" = 200 ] || cannot_run "the job was not accepted"
for _ in $(seq $((FINISH_S + 20))); do
	sleep 1
	state=$(state_of $other 00000000000e0002)
	note "00000000000e0002: $state"
	[ "$state" = "200 completed" ] && break
done
grep -h 'no usable record' "$WORK/$other.log" | tail -1 | sed 's/^/log: /' >>"$RECORD"
note_runs
runs=$(cat "$WORK"/runs.* | grep -c '00000000000e0002\..* start ')
note "00000000000e0002 was started $runs times; its state is $state"
[ "$state" = "200 completed" ] || exit 1
exit 0
