# Sourced: runs hosts (basilshift-hostd) on this machine with stand-ins of the
# store and of the workers. Stops every process by its id on exit.

BIN=${BIN:-build/bin}
GRID=$(mktemp -d)
declare -A HOST_PID HOST_PORT HOST_PROBE HOST_METRICS WORKER_PID
STORE_PID=
STORE=

grid_start_store()
{
	"$BIN/standin-gridstore" --port-file="$GRID/store.port" \
		--page="${STORE_PAGE:-500}" --keep="${STORE_KEEP_MS:-0}" \
		--append-log="$GRID/appends" &
	STORE_PID=$!
	until [ -s "$GRID/store.port" ]; do sleep 0.05; done
	STORE=127.0.0.1:$(cat "$GRID/store.port")
}

# grid_publish TOPIC KEY VALUE: appends one record in the format of the operators:
# length of the rest (4 bytes, big-endian), length of the key (1 byte), key, value.
# KEY may hold the escapes of printf.
grid_publish()
{
	local key=$(printf %b "$2" | wc -c)
	local len=$((1 + key + ${#3}))

	{
		printf "\\x$(printf %02x $((len >> 24 & 255)))"
		printf "\\x$(printf %02x $((len >> 16 & 255)))"
		printf "\\x$(printf %02x $((len >> 8 & 255)))"
		printf "\\x$(printf %02x $((len & 255)))"
		printf "\\x$(printf %02x "$key")%b%s" "$2" "$3"
	} | curl -sf --data-binary @- \
		"http://$STORE/api/log-append?topic=$1&part=0" >/dev/null
}

# grid_publish_odd_workers: entries of another writer among those of the workers,
# the last of them more than a page of a listing before the workers and another, of keys
# that are no UTF-8, behind them; one deletes a key that begins with a worker's name
grid_publish_odd_workers()
{
	local entry='"service":"desk","zone":"zone-1","state":"ready","born":5,
		"capacity":{"cpu":1000,"memMb":100}}' deep

	deep=$(printf '[%.0s' $(seq 5000))
	grid_publish keyed.servers 'odd\x01' "{\"address\":\"127.0.0.1:9\",$entry"
	grid_publish keyed.servers 'odd\0000' "{\"address\":\"127.0.0.1:9\",$entry"
	grid_publish keyed.servers 'odd\xff\xfe' "{\"address\":\"127.0.0.1:9\",$entry"
	grid_publish keyed.servers odd-port "{\"address\":\"127.0.0.1:99999\",$entry"
	grid_publish keyed.servers odd-name "{\"address\":\"no.such.host:80\",$entry"
	grid_publish keyed.servers odd-deep "$deep"
	grid_publish keyed.servers odd-number "{\"born\":1e999,$entry"
	grid_publish keyed.servers odd-integer "{\"born\":99999999999999999999,$entry"
	printf '\0\0\0\0' | curl -sf --data-binary @- \
		"http://$STORE/api/log-append?topic=keyed.servers&part=0" >/dev/null
	grid_publish keyed.servers 'w1\0000' ''
	{
		printf '\0\0\0\014\011odd-%04d\n{}' $(seq 0 599)
		printf '\0\0\0\011\006x\377%04d{}' $(seq 0 599)
	} | curl -sf --data-binary @- \
		"http://$STORE/api/log-append?topic=keyed.servers&part=0" >/dev/null
}

# grid_config VERSION [TENANTS]: publishes a configuration with the queues check-in
# and watch, the second of them public, and with client accounts if TENANTS is given
grid_config()
{
	grid_publish keyed.op config "{\"version\":$1,\"routes\":[
{\"name\":\"check-in\",\"host\":\"desk.example\",\"pathPrefix\":\"/check-in/\",
\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"desk\",
\"maxAttempts\":3,\"stretch\":1.5},
{\"name\":\"watch\",\"host\":\"desk.example\",\"pathPrefix\":\"/watch/\",
\"timeoutMs\":3000,\"targetLatencyMs\":2500,\"priority\":0,\"service\":\"desk\",
\"maxAttempts\":3,\"stretch\":2.0,\"public\":true}],\"services\":[],
${2:+\"tenants\":[$2],}\"limits\":{${CONFIG_LIMITS:-}}}"
}

# grid_start_worker ID ZONE
grid_start_worker()
{
	"$BIN/standin-gridworker" --id="$1" --zone="$2" --rack="r-$2" \
		--store="$STORE" --run-log="$GRID/runs.$1" &
	WORKER_PID[$1]=$!
}

# grid_free_port: prints a port on which nothing listens, below those that the system
# gives to connections
grid_free_port()
{
	local port

	while port=$((20000 + RANDOM % 10000)); do
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
	done
	echo "$port"
}

# grid_start_host NAME ZONE
grid_start_host()
{
	cat >"$GRID/$1.json" <<-EOF
	{"nodeName":"$1","zone":"$2","ip":"127.0.0.1","heartbeatMs":1000,
	"internalPorts":[0,0],
	"listen":{"front":"127.0.0.1:0","readiness":"127.0.0.1:0"},
	"limits":{"cpuShare":0.25,"memoryMb":${HOST_MEMORY_MB:-260},
	"maxFds":${HOST_MAX_FDS:-4100}},
	"bounds":{"maxHoldMs":6000,"configApplyMs":2000,"visible_ms":3000,
	"status_s":${HOST_STATUS_S:-120},"graceS":6,"early_ms":250,"strictRevocation":true,
	"revokeMs":3000},
	"platform":{"address":"$STORE","writesPerS":600,"readsPerS":2000,
	"parts":24,"recordBytes":262144,"requestBytes":2097152,
	"minTtlMs":1000}}
	EOF
	HOST_METRICS[$1]=$(grid_free_port)
	BASILSHIFT_BOOT="$GRID/$1.json" "$BIN/basilshift-hostd" \
		--metrics-port="${HOST_METRICS[$1]}" \
		>>"${HOST_LOG:-$GRID/$1.log}" 2>&1 &
	HOST_PID[$1]=$!
	grid_wait 10 grep -q 'event="started"' "$GRID/$1.log" ||
		{ echo "$1 does not start:"; tail -3 "$GRID/$1.log"; exit 1; }
	HOST_PORT[$1]=$(grep -o ' port=[0-9]*' "$GRID/$1.log" | tail -1 | cut -d= -f2)
	HOST_PROBE[$1]=$(grep -o 'probe_port=[0-9]*' "$GRID/$1.log" | tail -1 | cut -d= -f2)
}

# grid_wait SECONDS COMMAND...: runs COMMAND until it succeeds; fails after SECONDS
grid_wait()
{
	local end=$((SECONDS + $1))

	shift
	until "$@"; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.1
	done
}

# grid_ready HOST
grid_ready()
{
	curl -sf "http://127.0.0.1:${HOST_PROBE[$1]}/api/ready" >/dev/null
}

# grid_owner: prints the name of the host that owns the cell; fails if there is none
grid_owner()
{
	local h

	for h in "${!HOST_PROBE[@]}"; do
		if curl -s -m 1 "http://127.0.0.1:${HOST_PROBE[$h]}/metrics" |
			grep -q '^basilshift_owner_phase 3$'; then
			echo "$h"
			return 0
		fi
	done
	return 1
}

# grid_owned_by_other HOST: the cell has an owner, and it is not HOST
grid_owned_by_other()
{
	local o

	o=$(grid_owner) && [ "$o" != "$1" ]
}

# grid_call HOST METHOD PATH [BODY]: prints the response body and the status code;
# sends the key of a client account if KEY is set
grid_call()
{
	curl -s -m 5 -X "$2" -H 'Host: desk.example' -w ' %{http_code}' \
		${KEY:+-H "X-Api-Key: $KEY"} ${4:+--data "$4"} \
		"http://127.0.0.1:${HOST_PORT[$1]}$3"
}

# grid_job RUN_MS: prints a job of two steps, whose tasks run for RUN_MS
grid_job()
{
	echo "{\"spec\":\"run_ms=$1\",\"steps\":[
{\"count\":3,\"cpu\":1000,\"memMb\":100,\"estimatedMs\":$1},
{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estimatedMs\":$1,\"after\":[0]}]}"
}

grid_finish()
{
	kill "${HOST_PID[@]}" "${WORKER_PID[@]}" $STORE_PID 2>/dev/null
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] || rm -rf "$GRID"
}
trap grid_finish EXIT
