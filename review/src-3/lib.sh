# Sourced by the scripts of the cases 11 to 15: a small deployment of hosts (the
# deploy file's command) on loopback addresses, with the stand-ins of the store and
# of the workers that review/build-3.sh builds. Ends all processes that it started,
# by their ids. Each run has addresses 127.A.B.x of its own, so that the ports are
# free.
#
# record.txt holds lines "ms what ...": what the script did and what was answered,
# and, at the end, the lines of the workers: "ms worker task run event how".

set -u
TROUBLE=${TROUBLE:-1}
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.."
BIN=build/review-3/bin
RUN=$(mktemp -d)
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
RECORD=$CASE/record.txt
MEMORY_MB=260
WORKER=${WORKER:-gridworker-clock}
declare -A HOST_PID WORKER_PID
STORE_PID= STORE=$NET.1:8169
BASE=00000000000000

now_ms() { date +%s%3N; }
record() { echo "$(now_ms) $*" >>"$RECORD"; }
say() { echo "$*"; record "$*"; }
: >"$RECORD"

finish()
{
	exec 2>/dev/null # the shell's notes on killed processes
	kill -9 "${HOST_PID[@]}" "${WORKER_PID[@]}" $STORE_PID
	wait
	sort -s -n "$RUN"/runs.* >>"$RECORD"
	[ -n "${KEEP:-}" ] && echo "$RUN" || rm -rf "$RUN"
}
trap finish EXIT
cannot_run() { say "cannot run: $*"; exit 2; }

for program in "$BIN/standin-gridworker" "$BIN/gridstore-generation" \
	"$BIN/$WORKER" target/bin/basilshift-hostd; do
	[ -x "$program" ] || cannot_run "$program is not built"
done

# wait_for SECONDS COMMAND...
wait_for()
{
	local end=$(($(now_ms) + $1 * 1000))

	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -lt $end ] || return 1
		sleep 0.05
	done
}

# publish KEY VALUE: a record of the operator
publish()
{
	local len=$((1 + ${#1} + ${#2}))

	{
		printf "\\x$(printf %02x $((len >> 24 & 255)))"
		printf "\\x$(printf %02x $((len >> 16 & 255)))"
		printf "\\x$(printf %02x $((len >> 8 & 255)))"
		printf "\\x$(printf %02x $((len & 255)))"
		printf "\\x$(printf %02x ${#1})%s%s" "$1" "$2"
	} | curl -sf --data-binary @- \
		"http://$STORE/api/log-append?topic=keyed.op&part=0" >/dev/null
}

# start_store [GENERATION]
start_store()
{
	GENERATION=${1:-0} "$BIN/gridstore-generation" --listen="$NET.1" --port=8169 \
		--page=500 2>"$RUN/store.log" &
	STORE_PID=$!
	wait_for 5 curl -s "http://$STORE/" || cannot_run "the store does not start"
	publish config '{"version":3,"routes":[{"name":"tally","host":"desk.example",
"pathPrefix":"/tally/","timeoutMs":3000,"targetLatencyMs":250,"priority":0,
"service":"desk","maxAttempts":3,"stretch":1.5},{"name":"watch","host":"desk.example",
"pathPrefix":"/watch/","timeoutMs":3000,"targetLatencyMs":2500,"priority":0,
"service":"desk","maxAttempts":3,"stretch":2.2}],"services":[],"limits":{}}' ||
		cannot_run "the store takes no configuration"
}

# start_worker ID [CLOCK_OFF_MS]: a worker of 16 processors in a rack of its own; one
# that is started again has its id and address
start_worker()
{
	CLOCK_OFF_MS=${2:-0} WORKER_PORT=8180 "$BIN/$WORKER" --id="$1" \
		--zone="z$((${1#w} % 3))" --rack="rack-$1" --listen="$NET.$((100 + ${1#w}))" \
		--store="$STORE" --run-log="$RUN/runs.$1" 2>>"$RUN/$1.log" &
	WORKER_PID[$1]=$!
	record "start $1 clock_off_ms=${2:-0}"
}

# kill_worker ID: with SIGKILL
kill_worker()
{
	kill -9 "${WORKER_PID[$1]}"
	wait "${WORKER_PID[$1]}" 2>/dev/null
	record "kill $1"
}

# start_host N
start_host()
{
	local ip=$NET.$((10 + $1))

	cat >"$RUN/h$1.json" <<-EOF
	{"nodeName":"h$1","role":"host","zone":"z$(($1 % 3))","ip":"$ip","heartbeatMs":1000,
	"internalPorts":[7720,7735],
	"listen":{"front":"$ip:8161","readiness":"$ip:8167"},
	"limits":{"cpuShare":0.25,"cores":1,"memoryMb":$MEMORY_MB,"maxFds":4100},
	"bounds":{"maxHoldMs":6000,"configApplyMs":2000,"visible_ms":3000,
	"status_s":120,"graceS":6,"early_ms":250,"violationMs":4000},
	"platform":{"address":"$STORE","writesPerS":600,"readsPerS":2000,
	"parts":24,"recordBytes":262144,"requestBytes":2097152,"minTtlMs":1000}}
	EOF
	BASILSHIFT_BOOT="$RUN/h$1.json" target/bin/basilshift-hostd --metrics-port=9464 \
		>>"$RUN/h$1.log" 2>&1 &
	HOST_PID[$1]=$!
	record "start h$1"
}

is_ready() { curl -sf -m 1 "http://$NET.$((10 + $1)):8167/api/ready"; }

# start_hosts COUNT: starts them, and waits until all are ready and one owns the cell
start_hosts()
{
	local h

	for h in $(seq "$1"); do start_host "$h"; done
	for h in $(seq "$1"); do
		wait_for 15 is_ready "$h" || cannot_run "h$h is not ready"
	done
	wait_for 15 owner || cannot_run "no host owns the cell"
}

# owner: prints the number of the host that owns the cell; fails if there is none
owner()
{
	local h

	for h in "${!HOST_PID[@]}"; do
		curl -s -m 1 "http://$NET.$((10 + h)):9464/metrics" |
			grep -q '^basilshift_owner_phase 3$' && echo "$h" && return 0
	done
	return 1
}

# call HOST METHOD PATH [BODY]: sets ANSWER to "status body"; 000 for no answer
call()
{
	ANSWER=$(curl -s -m 3 -X "$2" -H 'Host: desk.example' -H 'X-Deadline-Ms: 3000' \
		-w ' %{http_code}' ${4:+--data "$4"} "http://$NET.$((10 + $1)):8161$3")
	ANSWER="${ANSWER##* } ${ANSWER% *}"
	record "h$1 $2 $3 ${4:-} -> $ANSWER"
}

# submit HOST PATH BODY: as a client does, until it is accepted; at most 20 tries
submit()
{
	local i

	for i in $(seq 20); do
		call "$1" POST "$2" "$3"
		[ "${ANSWER%% *}" = 200 ] && return 0
		sleep 0.5
	done
	cannot_run "$2 was not accepted"
}

# runs TASK_PREFIX: lines of the workers on these tasks, in order of time
runs() { cat "$RUN"/runs.* 2>/dev/null | grep " $1" | sort -s -n; }
