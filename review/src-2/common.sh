# Sourced by the scripts of the cases, which go on in the root of the repository: starts
# hosts with the command of the deploy file, and the stand-ins, as separate
# processes on loopback addresses. All of them are ended on exit, by their ids.
TOOLS=target/review-2/bin
HOSTD=target/bin/basilshift-hostd
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
NET=127.$((1 + RANDOM % 200)).$((RANDOM % 250))
declare -A HOST_PID HOST_IP HOST_PORT HOST_PROBE WORKER_PID
PIDS=()
STORE=
: >"$RECORD"

now_ms()
{
	date +%s%3N
}

BEGAN=$(now_ms)

# note TEXT...: a line of the record, with the time since the start in seconds
note()
{
	local t=$(($(now_ms) - BEGAN))

	printf '%4d.%03d %s\n' $((t / 1000)) $((t % 1000)) "$*" >>"$RECORD"
}

# cannot_run TEXT...: ends the script as one that could not run
cannot_run()
{
	note "cannot run: $*"
	exit 2
}

stop_all()
{
	local p

	for p in "${HOST_PID[@]}" "${WORKER_PID[@]}" "${PIDS[@]}"; do
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && echo "$WORK" || rm -rf "$WORK"
}
trap stop_all EXIT

for f in "$HOSTD" "$TOOLS/rv" "$TOOLS/standin-gridstore" "$TOOLS/standin-gridworker"; do
	[ -x "$f" ] || cannot_run "$f is missing"
done

# wait_for SECONDS COMMAND...: until the command succeeds
wait_for()
{
	local end=$(($(now_ms) + $1 * 1000))

	shift
	until "$@"; do
		[ "$(now_ms)" -lt $end ] || return 1
		sleep 0.05
	done
}

start_store()
{
	"$TOOLS/standin-gridstore" --port-file="$WORK/store.port" 2>"$WORK/store.log" &
	PIDS+=($!)
	wait_for 10 test -s "$WORK/store.port" || cannot_run "the store does not start"
	STORE=127.0.0.1:$(cat "$WORK/store.port")
}

# start_proxy NAME TARGET: sets PROXY to its address; $WORK/NAME.mode controls it
start_proxy()
{
	echo pass >"$WORK/$1.mode"
	"$TOOLS/rv" proxy "$WORK/$1.port" "$2" "$WORK/$1.mode" "${SEED:-$RANDOM}" \
		"$WORK/$1.calls" &
	PIDS+=($!)
	wait_for 10 test -s "$WORK/$1.port" || cannot_run "proxy $1 does not start"
	PROXY=127.0.0.1:$(cat "$WORK/$1.port")
}

# publish TOPIC KEY VALUE: one record, as the operator writes it
publish()
{
	local len=$((1 + ${#2} + ${#3})) code

	{
		printf "\\x$(printf %02x $((len >> 24 & 255)))"
		printf "\\x$(printf %02x $((len >> 16 & 255)))"
		printf "\\x$(printf %02x $((len >> 8 & 255)))"
		printf "\\x$(printf %02x $((len & 255)))"
		printf "\\x$(printf %02x ${#2})%s%s" "$2" "$3"
	} >"$WORK/record"
	code=$("$TOOLS/rv" call 2000 POST "$STORE" "/api/log-append?topic=$1&part=0" \
		"@$WORK/record")
	[ "${code%% *}" = 200 ] || cannot_run "publishing $2: $code"
}

publish_config()
{
	publish keyed.op config "{\"version\":3,\"routes\":[
{\"name\":\"desk\",\"host\":\"desk.example\",\"pathPrefix\":\"/desk/\",\"timeoutMs\":3000,
\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":3,\"stretch\":2.0}],
\"services\":[{\"name\":\"desk\",\"rejectsOverload\":true}],\"limits\":{\"maxBodyBytes\":262144}}"
}

# start_worker ID [FLAG...]: $WORK/runs.ID receives a line for each event of a run
start_worker()
{
	local id=$1

	shift
	"$TOOLS/standin-gridworker" --id="$id" --zone=zone-1 --store="$STORE" \
		--service=desk --run-log="$WORK/runs.$id" "$@" 2>>"$WORK/$id.log" &
	WORKER_PID[$id]=$!
}

# start_host NAME NUMBER STORE [LOG]: the settings are those of a small deployment
start_host()
{
	local name=$1 ip=$NET.$2 store=$3 log=${4:-$WORK/$1.log}

	cat >"$WORK/$name.json" <<-EOF
	{"nodeName":"$name","role":"host","machineClass":"front","serves":["front"],
	"ip":"$ip","zone":"zone-1","region":"region-1","internalPorts":[0,0],"seeds":[],
	"bootstrap":true,"countsTowardLoss":false,"discovery":"platform","entry":"vip",
	"heartbeatMs":1100,"contracts":["base","drain","config","cost","recover","sched",
	"places","platform","advice","upkeep","sharing"],"orders":"call",
	"zones":{"zone-1":"region-1"},
	"listen":{"front":"$ip:0","readiness":"$ip:0"},
	"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,
	"linkMbps":1000.0,"diskMb":0},
	"faultTolerance":{"machines":2,"zones":1,"regions":0},
	"bounds":{"contactMs":3000,"ackMs":4000,"drainMs":2000,"graceS":6,"lossSlackMs":200,
	"configApplyMs":2000,"maxHoldMs":6000,"stopGraceMs":900,"gangWaitMs":3000,
	"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,
	"status_s":${STATUS_S:-120},"requireFencing":true,"leaseMs":3000,"violationMs":4000},
	"platform":{"address":"$store","form":"log","writesPerS":600,"readsPerS":2000,
	"parts":24,"appendMs":1.0,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,
	"requestBytes":2097152,"keep_s":${KEEP_S:-300},"partitionMb":200,"minTtlMs":1000}}
	EOF
	BASILSHIFT_BOOT="$WORK/$name.json" "$HOSTD" --metrics-port=9464 >"$log" 2>&1 &
	HOST_PID[$name]=$!
	HOST_IP[$name]=$ip
}

# find_ports NAME [LOG]: reads the ports that the system chose from the log
find_ports()
{
	local log=${2:-$WORK/$1.log}

	wait_for 10 grep -q 'event="started"' "$log" || cannot_run "$1 does not start"
	HOST_PORT[$1]=$(grep -o ' port=[0-9]*' "$log" | tail -1 | cut -d= -f2)
	HOST_PROBE[$1]=$(grep -o 'probe_port=[0-9]*' "$log" | tail -1 | cut -d= -f2)
}

# is_ready NAME
is_ready()
{
	[ "$("$TOOLS/rv" call 1000 GET "${HOST_IP[$1]}:${HOST_PROBE[$1]}" /api/ready |
		cut -d' ' -f1)" = 200 ]
}

# is_owner NAME
is_owner()
{
	"$TOOLS/rv" call 1000 GET "${HOST_IP[$1]}:9464" /metrics |
		grep -q '^basilshift_owner_phase 3$'
}

# find_owner: sets OWNER; fails if there is none
find_owner()
{
	for OWNER in "${!HOST_PID[@]}"; do
		is_owner "$OWNER" && return 0
	done
	return 1
}

# call TIMEOUT_MS NAME METHOD PATH [BODY]: prints the status and the body
call()
{
	"$TOOLS/rv" call "$1" "$3" "${HOST_IP[$2]}:${HOST_PORT[$2]}" "$4" ${5:+"$5"}
}

# state_of NAME ID: prints the status and the state of a job
state_of()
{
	call 3000 "$1" GET "/desk/$2" | sed 's/{"state":"\(.*\)"}/\1/'
}

# note_runs: adds what the workers ran to the record
note_runs()
{
	{
		echo "runs at the workers (ms worker task run event end):"
		cat "$WORK"/runs.* 2>/dev/null | grep -v ' lease ' | sort -s -n -k1,1 |
			awk -v b="$BEGAN" '{ $1 = sprintf("%.3f", ($1 - b) / 1000); print }'
	} >>"$RECORD"
}
