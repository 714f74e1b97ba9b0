# Sourced: starts and stops a small installation on this machine. The caller sets
# BIN (folder of the programs) and RUN (folder for logs and ports). Signals only
# processes that it has started.

declare -A PIDS=()
declare -A HTTP=()

uptime_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }

wait_until() { # SECONDS COMMAND...
	local end=$(($(uptime_ms) + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(uptime_ms)" -lt $end ] || return 1
		sleep 0.1
	done
}

start_platform() { # [FLAGS...]
	"$BIN/standin-platform" --port-file="$RUN/platform.port" "$@" \
		2>"$RUN/platform.log" &
	PIDS[platform]=$!
	wait_until 10 test -s "$RUN/platform.port" || return 1
	PLATFORM=http://127.0.0.1:$(cat "$RUN/platform.port")
	export BASILSHIFT_PLATFORM=$PLATFORM
}

start_daemon() { # KIND NAME ZONE [FLAGS...]
	local kind=$1 name=$2 zone=$3 ports role=0
	shift 3
	[ "$kind" = schedd ] && role=1
	rm -f "$RUN/$name.ports"
	"$BIN/basilshift-$kind" --name="$name" --zone="$zone" \
		--port-file="$RUN/$name.ports" "$@" 2>>"$RUN/$name.log" &
	PIDS[$name]=$!
	wait_until 10 test -s "$RUN/$name.ports" || return 1
	read -r -a ports <"$RUN/$name.ports"
	HTTP[$name]=127.0.0.1:${ports[1]}
	curl -s -X PUT "$PLATFORM/v1/hosts" -d "{\"name\":\"$name\",
		\"zone\":\"$zone\",\"role\":$role,
		\"addr\":\"127.0.0.1:${ports[0]}\",
		\"http\":\"127.0.0.1:${ports[1]}\"}" >/dev/null
}

start_worker() { # NAME ZONE RACK [FLAGS...]
	local name=$1 zone=$2 rack=$3
	shift 3
	"$BIN/standin-worker" --name="$name" --zone="$zone" --rack="$rack" \
		--run-log="$RUN/$name.runs" "$@" 2>>"$RUN/$name.log" &
	PIDS[$name]=$!
}

signal_process() { # NAME SIGNAL: after KILL or TERM, returns the exit code
	kill -"$2" "${PIDS[$1]}"
	if [ "$2" = KILL ] || [ "$2" = TERM ]; then
		wait "${PIDS[$1]}" 2>/dev/null
		local code=$?
		unset "PIDS[$1]"
		return $code
	fi
}

kill_worker() { # NAME: notes in its run log that its tasks ended
	signal_process "$1" KILL
	echo "killed $(uptime_ms)" >>"$RUN/$1.runs"
}

stop_all() {
	local name
	for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null; done
	for name in "${!PIDS[@]}"; do
		[ "$name" = platform ] || kill -TERM "${PIDS[$name]}" 2>/dev/null
	done
	for name in "${!PIDS[@]}"; do
		[ "$name" = platform ] || wait "${PIDS[$name]}" 2>/dev/null
	done
	if [ -n "${PIDS[platform]:-}" ]; then
		kill -TERM "${PIDS[platform]}" 2>/dev/null
		wait "${PIDS[platform]}" 2>/dev/null
	fi
	PIDS=()
}

is_ready() { # NAME
	curl -sf "http://${HTTP[$1]}/readyz"
}

count_owned_shards() {
	local name sum=0 n
	for name in "${!HTTP[@]}"; do
		case $name in schedd*) ;; *) continue ;; esac
		n=$(curl -s -m 2 "http://${HTTP[$name]}/status" |
			grep -o '"state":"owned"' | wc -l)
		sum=$((sum + n))
	done
	echo "$sum"
}

all_shards_owned() { # COUNT: number of shards
	[ "$(count_owned_shards)" -ge "$1" ]
}

entry_addresses() { # prints the addresses of all entry hosts, separated by commas
	local name list=
	for name in "${!HTTP[@]}"; do
		case $name in entry*) list=$list,${HTTP[$name]} ;; esac
	done
	echo "${list#,}"
}

counter_sum() { # COUNTER
	local name sum=0 n
	for name in "${!HTTP[@]}"; do
		n=$(curl -s -m 2 "http://${HTTP[$name]}/counters" |
			grep -o "\"$1\":[0-9]*" | cut -d: -f2)
		sum=$((sum + ${n:-0}))
	done
	echo "$sum"
}
