#!/usr/bin/env bash
# Not a case, see claim.txt: large jobs come at once. TROUBLE=0: only the usual jobs come.
#
# The script does what the platform does to a process that takes more than memoryMb: it
# kills it, and starts it again a second later.
. "$(dirname "$0")/../src-3/lib.sh"

# The traffic of mahta-tills, 13.6 jobs a second, 2.6 times for 4 s; two such bursts.
A_SECOND=14
BURST_A_SECOND=35
BURST_S=4
WATCH_S=50
LARGE='{"spec":"run_ms=1700","steps":[{"count":5000,"cpu":1000,"memMb":100,"estimatedMs":1700}]}'
USUAL='{"spec":"run_ms=200","steps":[{"count":2,"cpu":500,"memMb":100,"estimatedMs":200}]}'

# post COUNT BODY FIRST: submits COUNT jobs at all hosts, with IDs from FIRST on
post()
{
	local i urls=()

	for i in $(seq 0 $(($1 - 1))); do
		urls+=("http://$NET.$((11 + i % 3)):8161/tally/$(printf '%016x' $(($3 + i)))")
	done
	printf '%s' "$2" >"$RUN/body.$3"
	curl -s --no-progress-meter -Z --parallel-max 12 -m 3 -H 'Host: desk.example' -H 'X-Deadline-Ms: 3000' \
		--data "@$RUN/body.$3" -w '%{http_code} %{url}\n' $(printf -- '-o /dev/null %s ' "${urls[@]}") 2>/dev/null |
		sed 's|http://||' | while read -r status url; do record "POST $url -> $status"; done
}

# check_memory: ends each process that takes more than its memory
check_memory()
{
	local h kb

	for h in "${!HOST_PID[@]}"; do
		kb=$(awk '/^VmRSS/ { print $2 }' "/proc/${HOST_PID[$h]}/status" 2>/dev/null)
		[ "${kb:-0}" -gt "${most[$h]}" ] && most[$h]=$kb
		[ "${kb:-0}" -gt $((MEMORY_MB * 1024)) ] || continue
		kill -9 "${HOST_PID[$h]}"
		wait "${HOST_PID[$h]}" 2>/dev/null
		unset "HOST_PID[$h]"
		ends[$h]=$((ends[$h] + 1))
		again_ms[$h]=$(($(now_ms) + 1000))
		record "h$h takes $kb KB, its limit is $((MEMORY_MB * 1024)) KB: killed"
	done
	for h in 1 2 3; do
		[ -n "${HOST_PID[$h]:-}" ] || [ "$(now_ms)" -lt ${again_ms[$h]} ] || start_host $h
	done
}

# traffic: the jobs of each second; large ones while a burst lasts
traffic()
{
	local s

	for s in $(seq 0 $((WATCH_S - 20))); do
		post 2 "$USUAL" $((0x1000000 + s * 100)) &
		if [ "$TROUBLE" != 0 ] && { [ $s -ge 2 -a $s -lt $((2 + BURST_S)) ] ||
			[ $s -ge 8 -a $s -lt $((8 + BURST_S)) ]; }; then
			post $BURST_A_SECOND "$LARGE" $((0x2000000 + s * 100)) &
		fi
		sleep 1
	done
	wait
}

declare -A ends=([1]=0 [2]=0 [3]=0) again_ms=([1]=0 [2]=0 [3]=0) most=([1]=0 [2]=0 [3]=0)
start_store
for w in 1 2 3 4 5 6; do start_worker w$w; done
start_hosts 3
traffic &
TRAFFIC_PID=$!
until=$(($(now_ms) + WATCH_S * 1000))
while [ "$(now_ms)" -lt $until ]; do
	check_memory
	sleep 0.1
done
kill $TRAFFIC_PID 2>/dev/null
accepted=$(grep -c 'tally/0000000001.* -> 200' "$RECORD")
large=$(grep -c 'tally/0000000002.* -> 200' "$RECORD")
done_jobs=$(cat "$RUN"/runs.* | awk '$5 == "end" && $6 == "done" && $3 ~ /^0000000001/ {
	n[substr($3, 1, 16)]++ } END { for (j in n) k += n[j] >= 2; print k + 0 }')
hosts=0
for h in 1 2 3; do [ ${ends[$h]} -ge 3 ] && hosts=$((hosts + 1)); done
say "large_accepted=$large usual_accepted=$accepted usual_done=$done_jobs" \
	"ends_by_host=${ends[1]},${ends[2]},${ends[3]} most_kb=${most[1]},${most[2]},${most[3]}"
# On a tenth of the machines in use, two at least, three times in the day.
[ $hosts -ge 2 ] && exit 1
exit 0
