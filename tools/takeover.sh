#!/usr/bin/env bash
# Measures the longest time without a task start when the owner of the cell fails,
# by kind of failure: the median and the maximum over ROUNDS rounds. Jobs are
# submitted at another host throughout. Exits 1 if a maximum exceeds BOUND_MS.
set -u
ROUNDS=${ROUNDS:-5}
# Twice the membership TTL of 2 s, one join, the fence and the first answers of
# the workers.
BOUND_MS=4500
. tools/grid.sh
. tools/harm.sh
SUBMITTED=0

# submit HOST: submits one job in the background
submit()
{
	SUBMITTED=$((SUBMITTED + 1))
	curl -s -m 3 -o /dev/null -H 'Host: desk.example' -X POST \
		--data '{"spec":"run_ms=20","steps":[{"count":1,"cpu":100,"memMb":10,"estimatedMs":20}]}' \
		"http://127.0.0.1:${HOST_PORT[$1]}/check-in/$(printf '%016x' $((0x5000000 + SUBMITTED)))" &
}

# inject_fault KIND HOST
inject_fault()
{
	case $1 in
	killed) kill -9 "${HOST_PID[$2]}" ;;
	frozen) kill -STOP "${HOST_PID[$2]}" ;;
	store-silent) echo silence >"$GRID/$2.mode" ;;
	turned-away) echo reset >"$GRID/$2.mode" ;;
	stopped) kill -TERM "${HOST_PID[$2]}" ;;
	esac
}

# clear_fault KIND HOST: undoes inject_fault and waits until HOST is ready
clear_fault()
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

# longest_gap_since MS: longest time between two task starts since MS, in ms
longest_gap_since()
{
	cat "$GRID"/runs.* | awk -v from="$1" '
		$5 == "start" && $1 >= from { print $1 }' | sort -n | awk '
		NR > 1 && $1 - last > longest { longest = $1 - last }
		{ last = $1 }
		END { print longest + 0 }'
}

proxied_start 3 4
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
			[ "$i" = 6 ] && inject_fault "$kind" "$owner"
			submit "$other"
			sleep 0.08
		done
		sleep 1
		gaps+="$(longest_gap_since "$from") "
		clear_fault "$kind" "$owner"
	done
	worst=$(printf '%s\n' $gaps | sort -n | tail -1)
	median=$(printf '%s\n' $gaps | sort -n | sed -n "$(((ROUNDS + 1) / 2))p")
	echo "| $kind | $median | $worst | $BOUND_MS |"
	[ "$worst" -le $BOUND_MS ] || bad=1
done
proxied_finish
exit $bad
