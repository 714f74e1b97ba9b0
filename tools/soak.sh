#!/usr/bin/env bash
# Fault soak of real processes on stand-ins of the platform. Signals and loopback
# proxies inject faults drawn from the seed, one after another and overlapping,
# while callers submit jobs. Checks that every accepted job is stored and completes,
# once, that no host denies it, that no refused job is stored or runs, that no job runs on
# whose cancel was acknowledged, also if its caller never had an answer, and that no
# record is stored twice by a repeated call. With --calls the proxies also draw faults
# of single calls, whose answers are lost or late; the other draws stay as they are.
set -u
SEED=1
LENGTH=30
HOSTS=3
WORKERS=4
CALLS=
for a in "$@"; do
	case $a in
	--seed=*) SEED=${a#*=} ;;
	--seconds=*) LENGTH=${a#*=} ;;
	--hosts=*) HOSTS=${a#*=} ;;
	--workers=*) WORKERS=${a#*=} ;;
	--calls) CALLS=1 ;;
	*) echo "usage: soak.sh [--seed=N] [--seconds=N] [--hosts=N] [--workers=N] [--calls]"; exit 2 ;;
	esac
done
. tools/grid.sh
RANDOM=$SEED
. tools/harm.sh
KILLED_WORKERS=""
# Time for accepted jobs to complete after the last fault: a takeover with tasks in
# doubt takes 11 s, and jobs queue up during it.
SETTLE_S=45
# contactMs, cancel_ms and stopGraceMs, rounded up
CANCEL_S=8

# A fault_* function injects one fault. A duration is its last argument, in seconds;
# PENDING collects the background processes that end faults.

fault_kill_host()
{
	local h=$1

	kill -9 "${HOST_PID[$h]}"
	wait "${HOST_PID[$h]}" 2>/dev/null
	sleep "$2"
	start_host "$h"
}

fault_stop_host()
{
	kill -TERM "${HOST_PID[$1]}"
	wait "${HOST_PID[$1]}" || echo "$1 exited with $? on SIGTERM" >>"$GRID/faults.bad"
	start_host "$1"
}

# fault_pause PID SECONDS
fault_pause()
{
	kill -STOP "$1"
	(
		sleep "$2"
		kill -CONT "$1"
	) &
	PENDING+=($!)
}

# fault_clock HOST MS SECONDS: the wall clock of the host jumps, and back
fault_clock()
{
	echo "$2" >"$GRID/$1.clock"
	(
		sleep "$3"
		echo 0 >"$GRID/$1.clock"
	) &
	PENDING+=($!)
}

# fault_kill_worker WORKER [SAME_ID]
fault_kill_worker()
{
	kill -9 "${WORKER_PID[$1]}"
	wait "${WORKER_PID[$1]}" 2>/dev/null
	# Until here it has started runs, and logged them.
	KILLED_WORKERS+=" $1-${INCARNATION[$1]} $(now_ms)"
	start_worker "$@"
}

fault_proxy()
{
	echo "$2" >"$GRID/$1.mode"
	(
		sleep "$3"
		echo pass >"$GRID/$1.mode"
	) &
	PENDING+=($!)
}

fault_store()
{
	kill -USR1 $STORE_PID
	(
		sleep "$1"
		kill -USR2 $STORE_PID
	) &
	PENDING+=($!)
}

draw_fault()
{
	local h=h$((RANDOM % HOSTS)) w=w$((RANDOM % WORKERS)) s=$((1 + RANDOM % 5))
	local modes=(delay=150 delay=600 silence no-answers reset)
	local mode=${modes[$((RANDOM % 5))]} kind=$((RANDOM % 14))
	local jumps=(-86400000 -3600000 -4000 -300 300 4000 3600000 86400000)
	local jump=${jumps[$((RANDOM % 8))]}

	echo "$(now_ms) fault=$kind host=$h worker=$w mode=$mode jump=$jump seconds=$s" \
		>>"$GRID/faults.log"
	case $kind in
	0) fault_kill_host "$h" "0.$((RANDOM % 10))" ;;
	1) fault_stop_host "$h" ;;
	2 | 3) fault_pause "${HOST_PID[$h]}" "$s" ;;
	4) fault_kill_worker "$w" ;;
	5 | 6) fault_proxy "$w" "$mode" "$s" ;;
	7 | 8) fault_proxy "$h" "$mode" "$s" ;;
	9) fault_store $((1 + s / 2)) ;;
	10 | 11) fault_pause "${WORKER_PID[$w]}" $((s * 2)) ;;
	12 | 13) fault_clock "$h" "$jump" "$s" ;;
	esac
}

# last_owner: prints the host that took the cell over last, also if it is paused
last_owner()
{
	grep -H 'event="cell taken over"' "$GRID"/h*.log "$GRID"/h*.log.before 2>/dev/null |
		sed 's|.*/\(h[0-9]*\)\.log[^:]*:.* epoch=\([0-9]*\).*|\2 \1|' | sort -n |
		tail -1 | cut -d' ' -f2
}

# draw_call_fault PATH...: sets DRAWN to a fault of calls to one of the paths, and to
# what the calls behind a reset get (1: no answer)
draw_call_fault()
{
	local kinds=(lost lost lost lost late late slow overtaken) shares=(20 50 100)
	local follow_ms=(0 0 800 2500)

	DRAWN="${kinds[$((RANDOM % 8))]} ${*:$((1 + RANDOM % $#)):1}"
	DRAWN+=" ${shares[$((RANDOM % 3))]} ${STATUSES[$((RANDOM % ${#STATUSES[@]}))]}"
	DRAWN+=" ${follow_ms[$((RANDOM % 4))]}"
}

# target_all PREFIX COUNT: sets TARGETS to the proxies PREFIX0, PREFIX1, ...
target_all()
{
	mapfile -t TARGETS < <(seq -f "$1%g" 0 $(($2 - 1)))
}

# draw_targets PREFIX COUNT: sets TARGETS to one of the proxies PREFIX0, PREFIX1, ...,
# in one of four draws to all; of those to the store half the single ones are the owner's
draw_targets()
{
	local n

	n=$((RANDOM % $2))
	TARGETS=("$1$n")
	case $((RANDOM % 8)) in
	0 | 1) target_all "$@" ;;
	2 | 3 | 4) [ "$1" = h ] && TARGETS=("$(last_owner)") ;;
	esac
}

# draw_call_faults PREFIX COUNT PATH...: until $GRID/calling is removed, draws faults
# of calls to PATH at proxies PREFIX0, PREFIX1, ..., in two of three draws two at a time:
# a listing that comes soon corrects what a lost start has led to. With the first call
# that a fault befalls, so between an order and its answer, or up to 3 s later, when a
# stop has been confirmed and the start is still to come, its worker may be replaced under
# the same id or another, or the owner paused, stopped or killed: the main loop does that,
# as $GRID/asked names it.
draw_call_faults()
{
	local prefix=$1 count=$2 name fault end beside delay DRAWN TARGETS
	local delays_s=(0 0 0 1 2 3)
	local STATUSES=(0 503 503 429 500 1)
	local besides=("" "" "" "" pause stop kill replace reborn reborn)

	shift 2
	RANDOM=$((SEED + 7919 + count))
	if [ "$prefix" = h ]; then
		# A worker that has not been replaced gives no 421.
		STATUSES+=(421)
		besides=("" "" "" "" "" "" pause stop kill)
	fi
	while [ -e "$GRID/calling" ]; do
		draw_targets "$prefix" "$count"
		draw_call_fault "$@"
		fault=$DRAWN
		draw_call_fault "$@"
		[ $((RANDOM % 3)) = 0 ] || fault+=$'\n'$DRAWN
		beside=${besides[$((RANDOM % ${#besides[@]}))]}
		# The calls by which the next owner takes the cell over are hit, too.
		case $prefix$beside in hstop | hkill) target_all "$prefix" "$count" ;; esac
		[ -n "$beside" ] && beside+=" $((RANDOM % 6)).$((1 + RANDOM % 9))"
		delay=${delays_s[$((RANDOM % 6))]}
		echo "$(now_ms) ${TARGETS[*]} ${fault/$'\n'/, } / $beside" >>"$GRID/call-faults.log"
		touch "$GRID/$prefix.drawn"
		for name in "${TARGETS[@]}"; do echo "$fault" >"$GRID/$name.call-mode"; done
		end=$((${EPOCHREALTIME/./} + 700000 + RANDOM % 20 * 100000))
		while [ "${EPOCHREALTIME/./}" -lt $end ]; do
			for name in "${TARGETS[@]}"; do
				[ -n "$beside" ] || break
				[ "$GRID/$name.call-log" -nt "$GRID/$prefix.drawn" ] || continue
				(
					sleep "$delay"
					echo "$name $beside" >>"$GRID/asked"
				) &
				beside=
			done
			sleep 0.05
		done
		for name in "${TARGETS[@]}"; do echo pass >"$GRID/$name.call-mode"; done
		sleep 0.$((RANDOM % 5))
	done
}

# take_asked: injects the faults that $GRID/asked names. Draws nothing, so that the
# draws of the main loop do not hang on the time.
take_asked()
{
	local what name seconds owner

	mv "$GRID/asked" "$GRID/taken"
	while read -r name what seconds; do
		owner=$(last_owner)
		echo "$(now_ms) $what $name $seconds owner=$owner" >>"$GRID/call-faults.log"
		case $what in
		pause) fault_pause "${HOST_PID[$owner]}" "$seconds" ;;
		stop) fault_stop_host "$owner" ;;
		kill) fault_kill_host "$owner" 0 ;;
		replace) fault_kill_worker "$name" ;;
		reborn) fault_kill_worker "$name" same ;;
		esac
	done <"$GRID/taken"
	publish_ports
}

# wait_for SECONDS: until the next fault
wait_for()
{
	local end=$((${EPOCHREALTIME/./} + 10#${1/./}00000))

	[ -n "$CALLS" ] || { sleep "$1"; return; }
	while [ "${EPOCHREALTIME/./}" -lt $end ]; do
		[ -s "$GRID/asked" ] && take_asked
		sleep 0.05
	done
}

publish_ports()
{
	local h

	for h in "${!HOST_PORT[@]}"; do
		echo "${HOST_PORT[$h]}" >"$GRID/$h.callers"
	done
}

# job_id CALLER NUMBER: the first jobs of the first caller have the lowest and the
# highest ID
job_id()
{
	case $1.$2 in
	1.1) echo 0000000000000000 ;;
	1.2) echo ffffffffffffffff ;;
	*) printf '%08x%08x' $((SEED + 16)) $(($1 * 65536 + $2)) ;;
	esac
}

# caller NUMBER: submits jobs until $GRID/calling is removed. Each job is tried at
# most four times, at random hosts, until a host accepts it (200) or refuses it
# (429, 503).
caller()
{
	local n=0 id tries code

	while [ -e "$GRID/calling" ]; do
		n=$((n + 1))
		id=$(job_id "$1" $n)
		for tries in 1 2 3 4; do
			code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
				-H 'Host: desk.example' -X POST \
				--data "$(grid_job $((100 + RANDOM % 900)))" \
				"http://127.0.0.1:$(cat "$GRID/h$((RANDOM % HOSTS)).callers")/check-in/$id")
			echo "$id $code" >>"$GRID/calls.$1"
			case $code in 200 | 429 | 503) break ;; esac
		done
		sleep 0.2
	done
}

# leaving_caller: hands in lasting jobs until $GRID/calling is removed, leaves each one
# after less than a second, often without an answer, and cancels it at random hosts until
# that is acknowledged
leaving_caller()
{
	local n=0 id tries code url

	while [ -e "$GRID/calling" ]; do
		n=$((n + 1))
		id=$(job_id 9 $n)
		url="http://127.0.0.1:$(cat "$GRID/h$((RANDOM % HOSTS)).callers")/check-in/$id"
		curl -s -m 0.$((1 + RANDOM % 9)) -o /dev/null -H 'Host: desk.example' -X POST \
			--data '{"spec":"run_ms=0","steps":[{"count":2,"cpu":100,"memMb":10,
			"longRunning":true}]}' "$url"
		for tries in $(seq 20); do
			url="http://127.0.0.1:$(cat "$GRID/h$((RANDOM % HOSTS)).callers")/check-in/$id"
			code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
				-H 'Host: desk.example' -X DELETE "$url")
			case $code in 200 | 410) echo "$id" >>"$GRID/cancelled"; break ;; esac
			sleep 0.2
		done
		sleep 0.2
	done
}

# job_state ID: prints the first response with status 200 or 410 of any host, else
# the response of the last host
job_state()
{
	local h out

	for h in "${!HOST_PORT[@]}"; do
		out=$(grid_call "$h" GET "/check-in/$1")
		case ${out##* } in 200 | 410) break ;; esac
	done
	echo "$out"
}

# Succeeds when all accepted jobs have completed. A 410 for one is a denial.
all_ended()
{
	local id now

	for id in $(cat "$GRID/accepted"); do
		now=$(job_state "$id")
		case $now in
		*completed*) continue ;;
		*410) echo "$id" >>"$GRID/denied" ;;
		esac
		echo "$id $now" >"$GRID/not-ended"
		return 1
	done
}

judge_runs()
{
	cat "$GRID"/runs.* | sort -s -n -k1,1 | awk -v killed_workers="$KILLED_WORKERS" \
		-v cancelled_jobs="$(tr '\n' ' ' <"$GRID/cancelled")" \
		-f tools/judge_runs.awk >"$GRID/judged"
}

no_cancelled_job_runs()
{
	judge_runs
	! grep -q 'runs on after its cancel' "$GRID/judged"
}

proxied_start "$HOSTS" "$WORKERS"
publish_ports
grid_wait 10 grid_ready h0
touch "$GRID/calling"
PENDING=()
CALLERS=()
for c in 1 2 3; do
	caller $c &
	CALLERS+=($!)
done
touch "$GRID/cancelled"
leaving_caller &
CALLERS+=($!)
if [ -n "$CALLS" ]; then
	draw_call_faults w "$WORKERS" /api/run-start /api/run-start /api/run-stop \
		/api/hold /api/ &
	PENDING+=($!)
	draw_call_faults h "$HOSTS" /api/log-append /api/log-append /api/log-join /api/ &
	PENDING+=($!)
fi
end=$((SECONDS + LENGTH))
while [ $SECONDS -lt $end ]; do
	draw_fault
	publish_ports
	wait_for $((RANDOM % 2)).$((RANDOM % 10))
done
rm "$GRID/calling"
wait "${PENDING[@]}" "${CALLERS[@]}" 2>/dev/null
awk '$2 == 200 { print $1 }' "$GRID"/calls.* | sort -u >"$GRID/accepted"
# Refused: no response accepted the job or left open whether it was accepted.
awk '{ codes[$1] = codes[$1] " " $2 }
     END { for (i in codes) if (codes[i] !~ /200|000|50[024]/) print i }' \
	"$GRID"/calls.* >"$GRID/refused"
FAILED=0
grid_wait $SETTLE_S all_ended || { echo "seed $SEED: has not ended: $(cat "$GRID/not-ended")"; FAILED=1; }
[ -s "$GRID/denied" ] && { echo "seed $SEED: denied: $(sort -u "$GRID/denied" | head -3)"; FAILED=1; }
[ -s "$GRID/faults.bad" ] && { cat "$GRID/faults.bad"; FAILED=1; }
echo "$KILLED_WORKERS" >"$GRID/killed"
grid_wait $CANCEL_S no_cancelled_job_runs
judge_runs || { echo "seed $SEED: $(head -3 "$GRID/judged")"; FAILED=1; }
awk -f tools/judge_store.awk "$GRID/accepted" "$GRID/refused" "$GRID/appends" \
	>"$GRID/judged-store" || { echo "seed $SEED: $(head -3 "$GRID/judged-store")"; FAILED=1; }
for id in $(cat "$GRID/refused"); do
	grep -q " $id\." "$GRID"/runs.* && { echo "seed $SEED: refused, but ran: $id"; FAILED=1; }
done
echo "seed $SEED: $(wc -l <"$GRID/faults.log") faults, $(wc -l <"$GRID/accepted") accepted," \
	"$(wc -l <"$GRID/refused") refused, $(wc -l <"$GRID/cancelled") cancelled, $(tail -1 "$GRID/judged")," \
	"$(cat "$GRID"/*.call-log | wc -l) calls hit, $(tail -1 "$GRID/judged-store"), bad=$FAILED"
proxied_finish
[ $FAILED = 0 ] || { [ -n "${KEEP:-}" ] && echo "kept: $GRID"; }
exit $FAILED
