#!/usr/bin/env bash
# Demo on stand-ins of the platform: three entry hosts and six workers run jobs and
# a long-running watch; the owner of the cell is killed meanwhile.
set -u
. tools/grid.sh
T0=$(date +%s%3N)

log_step()
{
	local t=$(($(date +%s%3N) - T0))

	printf '%4d.%d s  %s\n' $((t / 1000)) $((t % 1000 / 100)) "$*"
}

# submit FIRST LAST HOST
submit()
{
	local i out

	for i in $(seq "$1" "$2"); do
		out=$(grid_call "$3" POST "/check-in/$(printf '%016x' $((0xc0ffee00 + i)))" "$(grid_job 400)")
		sent=$((sent + 1))
		[ "${out##* }" = 200 ] && accepted=$((accepted + 1))
	done
}

# count_completed HOST: counts completed jobs; succeeds when all accepted ones are
count_completed()
{
	local i n=0

	for i in $(seq 1 $sent); do
		case $(grid_call "$1" GET "/check-in/$(printf '%016x' $((0xc0ffee00 + i)))") in
		*completed*) n=$((n + 1)) ;;
		esac
	done
	completed=$n
	[ $n = $accepted ]
}

sent=0 accepted=0 completed=0
grid_start_store
grid_config 3
log_step "the store runs; configuration 3 is published: queues check-in and watch"
for w in 1 2 3 4 5 6; do grid_start_worker "worker-$w" "zone-$((w % 2))"; done
for h in a b c; do grid_start_host "host-$h" "zone-1"; done
for h in a b c; do grid_wait 10 grid_ready "host-$h"; done
grid_wait 10 grid_owned_by_other none >/dev/null
owner=$(grid_owner)
log_step "3 entry hosts are ready; $owner owns the cell; 6 workers"
submit 1 20 host-a
grid_call host-b POST /watch/00000000000000aa \
	'{"spec":"run_ms=0","steps":[{"count":2,"cpu":1000,"longRunning":true}]}' >/dev/null
log_step "$accepted of $sent jobs accepted, and a watch of 2 tasks"
kill -9 "${HOST_PID[$owner]}"
log_step "kill -9 $owner"
unset "HOST_PID[$owner]" "HOST_PORT[$owner]" "HOST_PROBE[$owner]"
left=("${!HOST_PID[@]}")
submit 21 30 "${left[0]}"
log_step "$accepted of $sent jobs accepted during the takeover"
grid_wait 10 grid_owned_by_other "$owner" >/dev/null
log_step "$(grid_owner) owns the cell"
grid_wait 40 count_completed "${left[0]}"
log_step "$completed of $accepted jobs are completed"
echo
echo "log lines of the takeover:"
grep -h 'event="cell \|event="all workers' "$GRID"/host-*.log | grep -v load |
	sed 's/^ts=\([0-9.]*\) level=[a-z]* process=/  \1 /' | sort | cut -c1-110
echo
printf 'judged from the records of the workers: '
cat "$GRID"/runs.* | sort -s -n -k1,1 | awk -f tools/judge_runs.awk
judged=$?
echo "demo: $sent sent, $accepted accepted, $completed completed, $((accepted - completed)) lost"
[ $judged = 0 ] && [ $completed = $accepted ]
