#!/usr/bin/env bash
# Measures processor, memory and network use of the daemons at 1, 2, 4 and 8 times
# the present size, at rest and under load.
# Usage: tools/scale.sh [FACTOR...]; prints one table row per role, phase and factor.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$PWD/build/bin
LOAD_SECONDS=20
zones=(Ardenne-hall ardenne-depot ardenne-tower)
TICKS=$(getconf CLK_TCK)

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
counter() { # NAME COUNTER
	curl -s -m 2 "http://${HTTP[$1]}/counters" |
		grep -o "\"$2\":[0-9]*" | cut -d: -f2
}
net_bytes() {
	echo $(($(counter "$1" net_bytes_in) + $(counter "$1" net_bytes_out)))
}
log_bytes() {
	echo $(($(counter "$1" log_append_bytes) + $(counter "$1" log_read_bytes)))
}

measure() { # FACTOR
	local factor=$1 z n r racks= name names
	RUN=$(mktemp -d)
	PIDS=() HTTP=()
	cp examples/regie/*.json "$RUN"
	for r in $(seq $((2 * factor))); do racks="$racks\"r$r\","; done
	for z in "$RUN"/zone-*.json; do
		tr -d '\n' <"$z" | sed "s/\"racks\": \[[^]]*\]/\"racks\": [${racks%,}]/" \
			>"$z.new" && mv "$z.new" "$z"
	done
	sed -i 's/"open_max": [0-9]*/"open_max": 100000/' "$RUN"/team-*.json
	start_platform || return 1
	"$BIN/basilshift-ctl" publish "$RUN" >/dev/null || return 1
	for z in 0 1 2; do
		for n in 1 2; do
			start_daemon schedd "schedd-$z$n" "${zones[$z]}" --log-level=warn
		done
		start_daemon entryd "entry-$z" "${zones[$z]}" --log-level=warn
		for r in $(seq $((2 * factor))); do
			for n in 1 2 3 4 5 6 7 8; do
				start_worker "w-$z-$r-$n" "${zones[$z]}" "r$r"
			done
		done
	done
	wait_until 60 all_shards_owned $((6 + 6 * factor)) || echo "not all shards owned"
	sleep 5
	names="schedd-01 schedd-02 schedd-11 schedd-12 schedd-21 schedd-22 entry-0 entry-1 entry-2"
	for phase in rest load; do
		declare -A cpu_before=() net_before=() log_before=()
		for name in $names; do
			cpu_before[$name]=$(cpu_ticks "${PIDS[$name]}")
			net_before[$name]=$(net_bytes "$name")
			log_before[$name]=$(log_bytes "$name")
		done
		t0=$(uptime_ms)
		if [ $phase = load ]; then
			"$BIN/basilshift-load" --entries="$(entry_addresses)" \
				--rate=$((10 * factor)) --seconds=$LOAD_SECONDS \
				--threads=250 --services=check-in,heat-settlement \
				>"$RUN/load.txt"
		else
			sleep 10
		fi
		t1=$(uptime_ms)
		for name in $names; do
			echo "$name $(cpu_ticks "${PIDS[$name]}") ${cpu_before[$name]}" \
				"$(rss_kb "${PIDS[$name]}")" \
				"$(net_bytes "$name") ${net_before[$name]}" \
				"$(log_bytes "$name") ${log_before[$name]}"
		done | awk -v factor="$factor" -v p=$phase -v ms=$((t1 - t0)) -v hz="$TICKS" '
			{ role = $1 ~ /^schedd/ ? "schedd" : "entryd"
			  cpu = ($2 - $3) / hz * 100000 / ms
			  net = ($5 - $6) / ms; lg = ($7 - $8) / ms
			  n[role]++; c[role] += cpu; b[role] += net; l[role] += lg
			  if (cpu > cm[role]) cm[role] = cpu
			  if ($4 > m[role]) m[role] = $4 }
			END { for (role in n)
				printf "%sx %-6s %-5s cpu %5.2f %% (most %5.2f)  memory %5.1f MB  peers %6.2f KB/s  log %6.2f KB/s\n",
				factor, role, p, c[role] / n[role], cm[role], m[role] / 1024,
				b[role] / n[role], l[role] / n[role] }' | sort
	done
	sed "s/^/${factor}x /" "$RUN/load.txt"
	stop_all
	rm -rf "$RUN"
}

. tools/cluster.sh
trap 'stop_all' EXIT
for factors in "${@:-1 2 4 8}"; do
	for factor in $factors; do measure "$factor"; done
done
