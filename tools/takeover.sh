#!/usr/bin/env bash
# Time without a start when the owner of the cell fails, by kind of failure: half
# and worst of some rounds. Jobs come in at another host all the while.
set -u
ROUNDS=${ROUNDS:-5}
BOUND_MS=4500 # time to live of 2 s, one join, fence, first answers; doubled
. tools/grid.sh
. tools/harm.sh
CALLED=0

submit()
{
	CALLED=$((CALLED + 1))
	curl -s -m 3 -o /dev/null -H 'Host: desk.example' -X POST \
		--data '{"spec":"run_ms=20","steps":[{"count":1,"cpu":100,"memMb":10,"estimatedMs":20}]}' \
		"http://127.0.0.1:${HOST_PORT[$1]}/check-in/$(printf '%016x' $((0x5000000 + CALLED)))" &
}

harm()
{
	case $1 in
	killed) kill -9 "${HOST_PID[$2]}" ;;
	frozen) kill -STOP "${HOST_PID[$2]}" ;;
	store-silent) echo silence >"$GRID/$2.mode" ;;
	turned-away) echo reset >"$GRID/$2.mode" ;;
	stopped) kill -TERM "${HOST_PID[$2]}" ;;
	esac
}

mend()
{
	case $1 in
	killed | stopped)
		wait "${HOST_PID[$2]}" 2>/dev/null
		start_host "$2"
		;;
	frozen) kill -CONT "${HOST_PID[$2]}" ;;
	*) echo pass >"$GRID/$2.mode" ;;
	esac
	grid_wait 15 grid_ready "$2"
	sleep 1
}

# Longest pause between two starts since a time, ms
gap_since()
{
	cat "$GRID"/runs.* | awk -v from="$1" '
		$5 == "start" && $1 >= from { print $1 }' | sort -n | awk '
		NR > 1 && $1 - last > most { most = $1 - last }
		{ last = $1 }
		END { print most + 0 }'
}

harm_start 3 4
grid_wait 10 grid_ready h0
grid_wait 10 grid_owned_by_other none
bad=0
printf '| owner | half, ms | worst, ms | bound, ms |\n|---|---|---|---|\n'
for kind in stopped killed frozen store-silent turned-away; do
	gaps=
	for _ in $(seq "$ROUNDS"); do
		grid_wait 10 grid_owned_by_other none
		owner=$(grid_owner)
		for h in h0 h1 h2; do [ "$h" = "$owner" ] || other=$h; done
		from=$(date +%s%3N)
		for i in $(seq 70); do
			[ "$i" = 6 ] && harm "$kind" "$owner"
			submit "$other"
			sleep 0.08
		done
		sleep 1
		gaps+="$(gap_since "$from") "
		mend "$kind" "$owner"
	done
	worst=$(printf '%s\n' $gaps | sort -n | tail -1)
	half=$(printf '%s\n' $gaps | sort -n | sed -n "$(((ROUNDS + 1) / 2))p")
	echo "| $kind | $half | $worst | $BOUND_MS |"
	[ "$worst" -le $BOUND_MS ] || bad=1
done
harm_finish
exit $bad
