#!/usr/bin/env bash
# Fault soak: real processes on stand-ins; signals and loopback proxies harm them
# in series and at the same time, as the seed draws it. Callers go on meanwhile.
# Checked: what was accepted ends, once, and is never denied; what was refused
# never runs.
set -u
SEED=1
LENGTH=30
HOSTS=3
WORKERS=4
for a in "$@"; do
	case $a in
	--seed=*) SEED=${a#*=} ;;
	--seconds=*) LENGTH=${a#*=} ;;
	--hosts=*) HOSTS=${a#*=} ;;
	--workers=*) WORKERS=${a#*=} ;;
	*) echo "usage: soak.sh [--seed=N] [--seconds=N] [--hosts=N] [--workers=N]"; exit 2 ;;
	esac
done
. tools/grid.sh
RANDOM=$SEED
. tools/harm.sh
DEAD=""
SETTLE_S=45 # a takeover with tasks in doubt takes 11 s, and jobs queue after it

fault_kill_host()
{
	local h=$1

	kill -9 "${HOST_PID[$h]}"
	wait "${HOST_PID[$h]}" 2>/dev/null
	sleep 0.$((RANDOM % 10))
	start_host "$h"
}

fault_stop_host()
{
	kill -TERM "${HOST_PID[$1]}"
	wait "${HOST_PID[$1]}" || echo "stop of $1 ended with $?" >>"$GRID/faults.bad"
	start_host "$1"
}

fault_pause_host()
{
	kill -STOP "${HOST_PID[$1]}"
	(
		sleep "$2"
		kill -CONT "${HOST_PID[$1]}"
	) &
	PENDING+=($!)
}

fault_kill_worker()
{
	DEAD+=" $1-${LIFE[$1]} $(now_ms)"
	kill -9 "${WORKER_PID[$1]}"
	wait "${WORKER_PID[$1]}" 2>/dev/null
	start_worker "$1"
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
	local mode=${modes[$((RANDOM % 5))]} what=$((RANDOM % 10))

	echo "$(now_ms) fault=$what host=$h worker=$w mode=$mode seconds=$s" >>"$GRID/faults.log"
	case $what in
	0) fault_kill_host "$h" ;;
	1) fault_stop_host "$h" ;;
	2 | 3) fault_pause_host "$h" "$s" ;;
	4) fault_kill_worker "$w" ;;
	5 | 6) fault_proxy "$w" "$mode" "$s" ;;
	7 | 8) fault_proxy "$h" "$mode" "$s" ;;
	9) fault_store $((1 + s / 2)) ;;
	esac
}

publish_ports()
{
	local h

	for h in "${!HOST_PORT[@]}"; do
		echo "${HOST_PORT[$h]}" >"$GRID/$h.callers"
	done
}

# Each caller tries until it has an answer that settles the matter, at any host.
caller()
{
	local n=0 id tries code

	while [ -e "$GRID/calling" ]; do
		n=$((n + 1))
		id=$(printf '%08x%08x' $((SEED + 16)) $(($1 * 65536 + n)))
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

# state ID: what any host says of a job
state()
{
	local h out

	for h in "${!HOST_PORT[@]}"; do
		out=$(grid_call "$h" GET "/check-in/$1")
		case ${out##* } in 200 | 410) break ;; esac
	done
	echo "$out"
}

all_end()
{
	local id now

	for id in $(cat "$GRID/accepted"); do
		now=$(state "$id")
		case $now in
		*completed*) continue ;;
		*410) echo "$id" >>"$GRID/denied" ;;
		esac
		echo "$id $now" >"$GRID/not-ended"
		return 1
	done
}

harm_start "$HOSTS" "$WORKERS"
publish_ports
grid_wait 10 grid_ready h0
touch "$GRID/calling"
PENDING=()
CALLERS=()
for c in 1 2 3; do
	caller $c &
	CALLERS+=($!)
done
end=$((SECONDS + LENGTH))
while [ $SECONDS -lt $end ]; do
	draw_fault
	publish_ports
	sleep $((RANDOM % 2)).$((RANDOM % 10))
done
rm "$GRID/calling"
wait "${PENDING[@]}" "${CALLERS[@]}" 2>/dev/null
awk '$2 == 200 { print $1 }' "$GRID"/calls.* | sort -u >"$GRID/accepted"
awk '{ last[$1] = last[$1] " " $2 }
     END { for (i in last) if (last[i] !~ /200|000|50[024]/) print i }' \
	"$GRID"/calls.* >"$GRID/refused"
BAD=0
grid_wait $SETTLE_S all_end || { echo "seed $SEED: has not ended: $(cat "$GRID/not-ended")"; BAD=1; }
[ -s "$GRID/denied" ] && { echo "seed $SEED: denied: $(sort -u "$GRID/denied" | head -3)"; BAD=1; }
[ -s "$GRID/faults.bad" ] && { cat "$GRID/faults.bad"; BAD=1; }
cat "$GRID"/runs.* | sort -n | awk -v dead="$DEAD" -f tools/judge_runs.awk \
	>"$GRID/judged" || { echo "seed $SEED: $(head -3 "$GRID/judged")"; BAD=1; }
for id in $(cat "$GRID/refused"); do
	grep -q " $id\." "$GRID"/runs.* && { echo "seed $SEED: refused, but ran: $id"; BAD=1; }
done
echo "seed $SEED: $(wc -l <"$GRID/faults.log") faults, $(wc -l <"$GRID/accepted") accepted," \
	"$(wc -l <"$GRID/refused") refused, $(tail -1 "$GRID/judged"), bad=$BAD"
harm_finish
[ $BAD = 0 ] || { [ -n "${KEEP:-}" ] && echo "kept: $GRID"; }
exit $BAD
