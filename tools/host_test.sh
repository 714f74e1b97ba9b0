#!/usr/bin/env bash
# End-to-end test of real processes: hosts on stand-ins of the platform. One owner
# of the cell is killed, the next one paused, a worker killed and the store down;
# then keys of client accounts are withdrawn, the second one from a paused host.
# Another writer has left odd entries among those of the workers before the hosts
# start, and leaves them again while they run.
set -u
. tools/grid.sh
PASSED=0
FAILED=0

check()
{
	local what=$1

	shift
	if "$@"; then
		PASSED=$((PASSED + 1))
		[ -n "${QUIET:-}" ] || echo "ok   $what"
	else
		FAILED=$((FAILED + 1))
		echo "FAIL $what"
	fi
}

# status_is STATUS HOST METHOD PATH [BODY]
status_is()
{
	local out

	out=$(grid_call "${@:2}")
	[ "${out##* }" = "$1" ]
}

# job_id NUMBER
job_id()
{
	printf '%016x' $((0xabc000 + $1))
}

# all_completed LAST HOST: HOST reports jobs 1 to LAST as completed
all_completed()
{
	local i

	for i in $(seq 1 "$1"); do
		case $(grid_call "$2" GET "/check-in/$(job_id "$i")") in
		*completed*) ;;
		*) return 1 ;;
		esac
	done
}

# submit_range FIRST LAST HOST
submit_range()
{
	local i out

	for i in $(seq "$1" "$2"); do
		out=$(grid_call "$3" POST "/check-in/$(job_id "$i")" \
			"$(grid_job 300)")
		[ "${out##* }" = 200 ] || return 1
	done
}

# no_running_tasks_of JOB: no task of a job runs on a worker that is alive
no_running_tasks_of()
{
	! cat "$GRID"/runs.* | grep " $1\." | grep -v " ${killed_worker%% *} " | sort -s -n -k1,1 |
		awk '{ k = $2 $3 $4 } $5 == "start" { on[k] = 1 }
		     $5 == "end" { delete on[k] }
		     END { n = 0; for (k in on) n++; exit n == 0 }'
}

# is_cancelled HOST JOB
is_cancelled()
{
	grid_call "$1" GET "/check-in/$2" | grep -q cancelled
}

# knows_workers COUNT: the owner of the cell knows of COUNT workers that are up
knows_workers()
{
	local owner

	owner=$(grid_owner) &&
		curl -s -m 1 "http://127.0.0.1:${HOST_PROBE[$owner]}/metrics" |
		grep -qx "basilshift_cell_workers_usable $1"
}

# explains HOST TEXT: HOST answers the question where a job would be placed with TEXT
explains()
{
	grid_job 300 | "$BIN/basilshift-explain" --queue-host=desk.example \
		--metrics="127.0.0.1:${HOST_METRICS[$1]}" --path=/check-in/ 2>&1 |
		grep -q "$2"
}

# names_build HOST: the host's first log line names the build as --version does
names_build()
{
	local build=$("$BIN/basilshift-hostd" --version |
		sed 's/.*(build \(.*\), sources \(.*\))/build=\1 sources=\2/')

	grep -q "event=\"started\".* $build\$" "$GRID/$1.log"
}

grid_start_store
grid_config 3
for w in 1 2 3 4 5 6; do grid_start_worker "w$w" "zone-$((w % 2))"; done
grid_publish_odd_workers
for h in a b c; do grid_start_host "host-$h" zone-1; done
check "hosts become ready" grid_wait 10 grid_ready host-a
check "a host names its build" names_build host-a
check "a host owns the cell" grid_wait 10 grid_owned_by_other none
grid_wait 10 grid_ready host-b
grid_wait 10 grid_ready host-c

check "jobs are accepted" submit_range 1 20 host-a
check "the same job again is one job" submit_range 1 3 host-b
check "an unknown job is 410" status_is 410 host-b GET /check-in/00000000000000ff
check "a cancel of an unknown job is 410" status_is 410 host-b DELETE \
	"/check-in/$(job_id 5001)"
check "its late request is one job" status_is 200 host-c POST \
	"/check-in/$(job_id 5001)" "$(grid_job 300)"
check "which is cancelled" grid_wait 2 is_cancelled host-a "$(job_id 5001)"
check "an unknown queue is 404" status_is 404 host-b GET /other/00000000000000ff
check "a job that is none is 400" status_is 400 host-b POST \
	"/check-in/$(job_id 9999)" '{"steps":[]}'
check "a watch is accepted" status_is 200 host-b POST /watch/00000000000000aa \
	'{"spec":"run_ms=0","steps":[{"count":2,"cpu":1000,"memMb":100,
	"longRunning":true}]}'

check "the owner knows of the workers beside odd entries" \
	grid_wait 10 knows_workers 6
grid_publish_odd_workers
sleep 1 # the owner reads the registry each 0.4 s
check "the owner keeps them when odd entries follow" knows_workers 6

owner=$(grid_owner)
check "the owner explains where a job would start" explains "$owner" \
	'step 0: starts, 3 of 3 tasks start now'
for h in a b c; do [ "host-$h" = "$owner" ] || other=host-$h; done
check "another host names the owner" explains "$other" "owner=$owner "
kill -9 "${HOST_PID[$owner]}"
unset "HOST_PID[$owner]" "HOST_PORT[$owner]" "HOST_PROBE[$owner]"
check "another host takes the cell" grid_wait 10 grid_owned_by_other "$owner"
left=("${!HOST_PID[@]}")
check "jobs are accepted meanwhile" submit_range 21 30 "${left[0]}"
owner=$(grid_owner)
kill -STOP "${HOST_PID[$owner]}"
for h in "${left[@]}"; do [ "$h" = "$owner" ] || other=$h; done
sleep 4
kill -CONT "${HOST_PID[$owner]}"
check "jobs are accepted after a pause" submit_range 31 40 "$other"
kill -9 "${WORKER_PID[w2]}"
wait "${WORKER_PID[w2]}"
killed_worker="w2 $(date +%s%3N)"
unset "WORKER_PID[w2]"
kill -USR1 $STORE_PID
check "a store that takes nothing: refused" status_is 503 "$other" POST \
	"/check-in/$(job_id 5000)" "$(grid_job 100)"
sleep 2
kill -USR2 $STORE_PID
grid_wait 10 grid_ready "$other"
check "jobs are accepted after an outage" submit_range 41 45 "$other"
check "all jobs are completed" grid_wait 40 all_completed 45 "$other"
check "the other host says so too" grid_wait 5 all_completed 45 "$owner"
check "a cancel is taken" status_is 200 "$other" DELETE /watch/00000000000000aa
check "nothing of it runs on" grid_wait 5 no_running_tasks_of 00000000000000aa

scouts='{"name":"scouts","apiKeys":["k-one","k-two"]}'
rovers='{"name":"rovers","apiKeys":["k-three"]}'
grid_config 4 "$scouts,$rovers"
check "a call without a key is 401" grid_wait 5 status_is 401 "$other" GET /check-in/
KEY=k-none check "an unknown key is 401" status_is 401 "$other" GET /check-in/
check "a public queue needs no key" status_is 200 "$other" GET /watch/
KEY=k-one check "a job is accepted with a key" status_is 200 "$other" POST \
	"/check-in/$(job_id 6000)" "$(grid_job 100)"
KEY=k-two check "another key of its account sees it" status_is 200 "$other" GET \
	"/check-in/$(job_id 6000)"
KEY=k-three check "another account does not" status_is 410 "$other" GET \
	"/check-in/$(job_id 6000)"
grid_config 5 "${scouts/\"k-one\",/},$rovers"
KEY=k-one check "a withdrawn key is 401" grid_wait 5 status_is 401 "$other" GET \
	/check-in/
kill -STOP "${HOST_PID[$other]}"
grid_config 6 "$rovers"
sleep 4
KEY=k-two grid_call "$other" GET /check-in/ >"$GRID/paused" &
call=$!
sleep 0.5
kill -CONT "${HOST_PID[$other]}"
wait $call
check "a key withdrawn from a paused host is not served" \
	grep -q ' \(401\|503\)$' "$GRID/paused"
KEY=k-three check "the other keys are" grid_wait 5 status_is 200 "$other" GET /check-in/

kill -TERM "${HOST_PID[$other]}"
wait "${HOST_PID[$other]}"
check "a stop ends with 0" [ $? = 0 ]
unset "HOST_PID[$other]"
check "no task ran twice" sh -c "cat $GRID/runs.* | sort -s -n -k1,1 | \
	awk -v killed_workers='$killed_worker' -f tools/judge_runs.awk"
echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
