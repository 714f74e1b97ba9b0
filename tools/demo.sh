#!/usr/bin/env bash
# Demo of the request interface, end to end, on this machine with stand-ins. Kills
# a schedd and a worker and takes a zone out of service under load.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$PWD/build/bin
RUN=$(mktemp -d)
. tools/cluster.sh
trap 'stop_all; rm -rf "$RUN"' EXIT

zones=(Ardenne-hall ardenne-depot ardenne-tower)
log_step() {
	awk -v a="$t0" -v b="$(uptime_ms)" -v m="$*" \
		'BEGIN { printf "%6.1f s  %s\n", (b - a) / 1000, m }'
}
t0=$(uptime_ms)

start_platform || { echo "demo: the stand-in platform did not start"; exit 1; }
"$BIN/basilshift-ctl" publish examples/regie >"$RUN/publish.txt" ||
	{ cat "$RUN/publish.txt"; exit 1; }
log_step "published $(wc -l <"$RUN/publish.txt") documents of the Régie"
for z in 0 1 2; do
	for n in 1 2; do
		start_daemon schedd "schedd-$z$n" "${zones[$z]}" || exit 1
	done
	start_daemon entryd "entry-$z" "${zones[$z]}" || exit 1
	for n in 1 2 3 4 5; do
		start_worker "worker-$z-r1-$n" "${zones[$z]}" r1
		start_worker "worker-$z-r2-$n" "${zones[$z]}" r2
	done
done
wait_until 20 all_shards_owned 12 || { echo "demo: shards without owner"; exit 1; }
for z in 0 1 2; do wait_until 10 is_ready "entry-$z" || exit 1; done
log_step "6 schedds own 6 job shards and 6 racks with 30 workers; 3 entry hosts ready"

since=$(($(date +%s) + 1))
"$BIN/basilshift-load" --entries="$(entry_addresses)" --rate=40 --seconds=22 \
	--threads=200 --out="$RUN/calls.txt" \
	--services=check-in,heat-settlement,barrier-watch,check-in,standings-report \
	>"$RUN/load.txt" &
load=$!
sleep 4
log_step "kill -9 schedd-01"
signal_process schedd-01 KILL
unset "HTTP[schedd-01]"
sleep 4
log_step "kill -9 worker-1-r1-3"
kill_worker worker-1-r1-3
sleep 2
"$BIN/basilshift-ctl" zone out ardenne-tower | sed 's/^/          /'
log_step "zone ardenne-tower taken out"
sleep 6
"$BIN/basilshift-ctl" zone return ardenne-tower | sed 's/^/          /'
log_step "zone ardenne-tower returned"
wait "$load"
log_step "all callers have their answer"
echo
echo "timeline (shard ownership, workers, moves):"
"$BIN/basilshift-timeline" --since="$since" 2>/dev/null |
	grep -E ' (shard_taken|shard_left|worker_silent|moved|displaced) ' |
	awk '{ k = $3
	       n[k]++; if (n[k] <= 6) print "  " $0; else more[k]++ }
	     END { for (k in more) print "  ... and " more[k] " more " k }'
echo
sed 's/^/  /' "$RUN/load.txt"
echo "  log: $(curl -s "$PLATFORM/stats")"
[ -n "${KEEP:-}" ] && {
	"$BIN/basilshift-timeline" >"$RUN/timeline.txt" 2>/dev/null
	cp -r "$RUN" "$KEEP"
}
stop_all
read -r sent answered refused lost doubled false_refusals overlaps in_doubt < <(
	awk -v at_most_once=heat-settlement -f tools/judge.awk "$RUN/calls.txt" "$RUN"/*.runs)
echo "  judged from the workers' records: $false_refusals false refusals, $overlaps overlapping runs"
[ "$in_doubt" -eq 0 ] || echo "  $in_doubt settlements ran on the killed worker; their true answer is \"may have run\""
echo "demo: $sent sent, $answered answered, $refused refused not run, $lost lost, $doubled doubled"
[ "$lost" -eq 0 ] && [ "$doubled" -eq 0 ] && [ "$false_refusals" -eq 0 ] &&
	[ "$overlaps" -eq 0 ] && [ "$sent" -eq $((answered + refused)) ]
