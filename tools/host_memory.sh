#!/usr/bin/env bash
# Memory of hosts that do not own the cell, with real processes on stand-ins:
# JOBS jobs (3000) of 0.5 to 2.4 KB are submitted to them and complete. Prints for
# each host at start, after the jobs, and after a pause: resident memory, its peak
# (VmHWM), the heap and other anonymous memory, in kB, and the threads.
# HOSTD names another build of basilshift-hostd to compare with.
set -u
. tools/grid.sh
JOBS=${JOBS:-3000}
PARALLEL=${PARALLEL:-8}
PAUSE=${PAUSE:-8}

if [ -n "${HOSTD:-}" ]; then
	mkdir "$GRID/bin"
	for p in "$BIN"/*; do ln -s "$(realpath "$p")" "$GRID/bin/"; done
	ln -sf "$(realpath "$HOSTD")" "$GRID/bin/basilshift-hostd"
	BIN=$GRID/bin
fi

# host_memory HOST MOMENT
host_memory()
{
	local pid=${HOST_PID[$1]} role=other

	[ "$1" = "$OWNER" ] && role=owner
	awk -v host="$1" -v role=$role -v moment="$2" '
	FILENAME ~ /status$/ {
		if ($1 == "VmRSS:") rss = $2
		if ($1 == "VmHWM:") peak = $2
		if ($1 == "Threads:") threads = $2
		next
	}
	/^[0-9a-f]+-[0-9a-f]+ / { name = $6 }
	/^Rss:/ {
		if (name == "[heap]") heap += $2
		else if (name == "") anon += $2
		else files += $2
	}
	END {
		printf "%-7s %-6s %-6s rss=%d peak=%d heap=%d anon=%d " \
			"files=%d threads=%d\n", moment, host, role, rss,
			peak, heap, anon, files, threads
	}' "/proc/$pid/status" "/proc/$pid/smaps"
}

# report MOMENT
report()
{
	local h

	for h in host-a host-b host-c; do host_memory $h "$1"; done
}

# job_requests FIRST LAST: writes a curl configuration with one submission each
job_requests()
{
	awk -v first="$1" -v last="$2" -v ports="${OTHER_PORTS[*]}" 'BEGIN {
		srand(1)
		n = split(ports, port, " ")
		for (i = first; i <= last; i++) {
			pad = ""
			len = 300 + int(rand() * 1900)
			for (k = 0; k < len; k += 10)
				pad = pad sprintf("%010d", rand() * 1e9)
			step = "{\\\"count\\\":3,\\\"cpu\\\":100,\\\"memMb\\\":10," \
				"\\\"estimatedMs\\\":20"
			printf "%surl = \"http://127.0.0.1:%d/check-in/%016x\"\n" \
				"header = \"Host: desk.example\"\n" \
				"data = \"{\\\"spec\\\":\\\"run_ms=20 %s\\\"," \
				"\\\"steps\\\":[%s},%s,\\\"after\\\":[0]}]}\"\n" \
				"output = \"/dev/null\"\n" \
				"write-out = \"%%{http_code}\\n\"\n",
				(i > first ? "next\n" : ""),
				port[i % n + 1], 1000000 + i, pad, step, step
		}
	}'
}

# pending_at HOST: prints how many accepted jobs have not started, as HOST knows
pending_at()
{
	local out=$(grid_call "$1" GET /check-in/)

	out=${out#*:}
	echo "${out%%\}*}"
}

none_pending()
{
	[ "$(pending_at "${OTHERS[0]}")" = 0 ]
}

grid_start_store
grid_config 3
for w in 1 2 3 4 5 6; do grid_start_worker "w$w" "zone-$((w % 2))"; done
for h in a b c; do grid_start_host "host-$h" zone-1; done
for h in a b c; do grid_wait 10 grid_ready host-$h; done
grid_wait 10 grid_owned_by_other none || exit 1
OWNER=$(grid_owner)
OTHERS=()
OTHER_PORTS=()
for h in "${!HOST_PORT[@]}"; do
	[ "$h" = "$OWNER" ] && continue
	OTHERS+=("$h")
	OTHER_PORTS+=("${HOST_PORT[$h]}")
done
report start
job_requests 1 "$JOBS" >"$GRID/requests"
began=$(date +%s%3N)
curl -s -Z --parallel-max "$PARALLEL" -K "$GRID/requests" 2>/dev/null |
	sort | uniq -c | sed 's/^/answers/'
report sent
grid_wait 60 none_pending || echo "jobs are pending"
sleep 2
echo "all jobs ended after $(($(date +%s%3N) - began)) ms"
report ended
sleep "$PAUSE"
report later
[ -z "${HOLD:-}" ] || sleep "$HOLD"
