#!/usr/bin/env bash
# Test of judge_runs.awk and judge_store.awk: each violation is found, and what is
# allowed beside it is not.
set -u
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
PASSED=0
FAILED=0

# expect CODE WHAT COMMAND...: the command's exit status is CODE
expect()
{
	local code=$1 what=$2 got

	shift 2
	"$@" >/dev/null
	got=$?
	[ $got = "$code" ] && PASSED=$((PASSED + 1)) && return
	echo "FAIL $what: exit status $got, expected $code"
	FAILED=$((FAILED + 1))
}

# runs LINE...: judges the events of runs
runs()
{
	printf '%s\n' "$@" | awk -v killed_workers="${KILLED:-}" \
		-v cancelled_jobs="${CANCELLED:-}" -f tools/judge_runs.awk
}

# store LINE...: judges appends; job 1 is accepted, job 2 refused
store()
{
	printf '%s\n' "$@" >"$dir/appends"
	awk -f tools/judge_store.awk "$dir/accepted" "$dir/refused" "$dir/appends"
}

A=0000000000000001
B=0000000000000002
echo $A >"$dir/accepted"
echo $B >"$dir/refused"

expect 0 "runs one after the other" runs \
	"10 w0 t 1 start -" "20 w0 t 1 end stopped" "30 w1 t 2 start -" "40 w1 t 2 end done"
expect 1 "two runs at the same time" runs \
	"10 w0 t 1 start -" "20 w1 t 2 start -" "30 w0 t 1 end stopped"
expect 1 "a start after an end that counts" runs \
	"10 w0 t 1 start -" "20 w0 t 1 end done" "30 w1 t 2 start -" "40 w0 t 1 ack done"
expect 0 "a run after an acknowledged end that its worker lost" runs \
	"10 w0 t 1 start -" "20 w0 t 1 end done" "30 w0 - 0 lapse -" "40 w0 t 1 ack done" \
	"50 w1 t 2 start -" "60 w1 t 2 end done" "70 w1 t 2 ack done"
CANCELLED="$A $B" expect 1 "a run that goes on after its cancel" runs \
	"10 w0 $A.0.0.0 1 start -" "20 w0 $B.0.0.0 1 start -" "30 w0 $A.0.0.0 1 end stopped"
CANCELLED="$A" KILLED="w1 35" expect 0 "runs of a cancelled job that have ended" runs \
	"10 w0 $A.0.0.0 1 start -" "20 w0 $B.0.0.0 1 start -" "30 w0 $A.0.0.0 1 end stopped" \
	"32 w1 $A.0.0.1 1 start -" "40 w0 $B.0.0.0 1 end done"
KILLED="w0 15" expect 0 "a run beside one of a killed worker" runs \
	"10 w0 t 1 start -" "20 w1 t 2 start -"
KILLED="w0 15 w0 35" expect 0 "runs beside those of a worker that is killed twice" runs \
	"10 w0 t 1 start -" "20 w0 - 0 born -" "21 w1 t 2 start -" "25 w1 t 2 end stopped" \
	"30 w0 t 3 start -" "40 w1 t 4 start -"
KILLED="w0 15" expect 1 "a run beside one of the next process of a killed worker" runs \
	"10 w0 - 0 lease 30" "10 w0 t 1 start -" "20 w0 - 0 born -" \
	"21 w0 - 0 lease 50" "21 w0 u 1 start -" "31 w1 u 2 start -"
KILLED="w0 15" expect 0 "a run beside one that the killed worker logs last" runs \
	"10 w0 - 0 lease 90" "16 w0 t 1 start -" "20 w0 - 0 born -" "30 w1 t 2 start -"
expect 0 "a run beside one whose lease has ended" runs \
	"10 w0 - 0 lease 50" "10 w0 t 1 start -" "51 w1 t 2 start -"
expect 1 "a run beside one whose lease is in force" runs \
	"10 w0 - 0 lease 50" "10 w0 t 1 start -" "50 w1 t 2 start -"
expect 1 "a run beside one whose lease was extended" runs \
	"10 w0 - 0 lease 50" "10 w0 t 1 start -" "40 w0 - 0 lease 90" "51 w1 t 2 start -"
expect 0 "a run after the end of an unknown one" runs \
	"10 w0 t 1 end lapsed" "20 w1 t 2 start -"
expect 1 "a third run, after the end of the first one" runs "10 w0 - 0 lease 20" \
	"10 w0 t 1 start -" "30 w1 t 2 start -" "40 w0 t 1 end lapsed" "50 w2 t 3 start -"

stored="1000 keyed.jobs/0 new 5 1 aa $A"
expect 0 "an accepted job, stored once" store "$stored"
expect 1 "an accepted job that is not stored" store "1000 keyed.jobs/0 new 5 1 aa $A/p"
expect 1 "a refused job that is stored" store "$stored" "1100 keyed.jobs/0 new - - bb $B"
expect 0 "a batch sent again under its number" store "$stored" \
	"1005 keyed.jobs/0 again 5 1 aa $A"
expect 1 "a batch stored under two numbers of one owner" store "$stored" \
	"1060 keyed.jobs/0 new 5 2 aa $A"
expect 1 "progress stored under two numbers of one owner" store "$stored" \
	"1060 keyed.jobs/0 new 5 2 cc $A/p" "1070 keyed.jobs/0 new 5 3 cc $A/p"
expect 0 "progress that a job makes again" store "$stored" \
	"1060 keyed.jobs/0 new 5 2 cc $A/p" "1070 keyed.jobs/0 new 5 3 dd $A/p" \
	"1080 keyed.jobs/0 new 5 4 cc $A/p"
expect 1 "another batch under a number in use" store "$stored" \
	"1060 keyed.jobs/0 again 5 1 cc $A/p"
expect 0 "a job stored by the next owner" store "$stored" "2000 keyed.jobs/0 new 6 1 aa $A"
expect 0 "a record that a host appends again" store "1000 keyed.jobs/0 new - - aa $A" \
	"1060 keyed.jobs/0 new - - aa $A"
expect 1 "a call of a host that is repeated" store "1000 keyed.jobs/0 new - - aa $A" \
	"1002 keyed.jobs/0 new - - aa $A"
expect 0 "records of other topics" store "$stored" "1000 keyed.servers/0 new - - aa w0" \
	"1001 keyed.servers/0 new - - aa w0"
echo "judges: $PASSED passed, $FAILED failed"
exit $FAILED
