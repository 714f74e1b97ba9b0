#!/usr/bin/env bash
# End-to-end test of a host with callers outside the limits: each crowd opens 400
# connections with unfinished requests and keeps them open. Checks that the process
# lives, that its memory and descriptors stay under their bounds, and that an
# ordinary request is answered meanwhile. It guards against buffers and connections
# that grow with the number of callers.
set -u
HOST_MEMORY_MB=48
HOST_MAX_FDS=400
CONFIG_LIMITS='"maxBodyBytes":131072'
. tools/grid.sh
# Descriptors of a process without those that the platform keeps for files.
FDS_BOUND=$((HOST_MAX_FDS - 200))
CLIENTS=400
LIMIT=131072
GIGABYTE=1073741824
PASSED=0
FAILED=0
CROWD_PID=
fds_most=0

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

# status_is STATUS METHOD PATH [BODY]
status_is()
{
	local out

	out=$(grid_call host-a "${@:2}")
	[ "${out##* }" = "$1" ]
}

# is_answered: the host answers a request, whatever it says
is_answered()
{
	! status_is 000 GET /check-in/
}

submit()
{
	status_is 200 POST "/check-in/$(printf '%016x' $((0xabc000 + RANDOM)))" \
		"$(grid_job 100)"
}

# status_kb FIELD: prints a field of /proc/PID/status of the host
status_kb()
{
	awk -v f="$1:" '$1 == f { print $2 }' "/proc/${HOST_PID[host-a]}/status"
}

note_fds()
{
	local n

	n=$(ls "/proc/${HOST_PID[host-a]}/fd" | wc -l)
	[ "$n" -le $fds_most ] || fds_most=$n
}

has_sent()
{
	note_fds
	[ -s "$GRID/sent" ] || ! kill -0 "$CROWD_PID" 2>/dev/null
}

# crowd LOAD BODY_BYTES SENT_BYTES WHEN REQUEST...: plays one crowd; REQUEST is the
# check of an ordinary request while the crowd holds its connections
crowd()
{
	local load=$1 when=$4 peak

	rm -f "$GRID/sent"
	fds_most=0
	# Resets the peak of the resident memory, VmHWM.
	echo 5 >"/proc/${HOST_PID[host-a]}/clear_refs"
	"$BIN/standin-crowd" --port="${HOST_PORT[host-a]}" --load="$load" \
		--path=/check-in/00000000000000aa --clients=$CLIENTS \
		--body-bytes="$2" --sent-bytes="$3" --seconds=60 \
		--sent-file="$GRID/sent" >>"$GRID/crowds" &
	CROWD_PID=$!
	check "$load, $when: the crowd has sent its requests" \
		grid_wait 30 has_sent
	note_fds
	shift 4
	check "$load, $when: an ordinary request is answered" grid_wait 10 "$@"
	note_fds
	check "$load, $when: the crowd was there meanwhile" \
		kill -0 "$CROWD_PID"
	kill "$CROWD_PID" 2>/dev/null
	wait "$CROWD_PID" 2>/dev/null
	CROWD_PID=
	check "$load, $when: the host lives" kill -0 "${HOST_PID[host-a]}"
	peak=$(status_kb VmHWM)
	check "$load, $when: $((peak / 1024)) MB of $HOST_MEMORY_MB" \
		[ "$peak" -lt $((HOST_MEMORY_MB * 1024)) ]
	check "$load, $when: $fds_most descriptors of $FDS_BOUND" \
		[ "$fds_most" -lt $FDS_BOUND ]
}

finish()
{
	[ -z "$CROWD_PID" ] || kill "$CROWD_PID" 2>/dev/null
	grid_finish
}
trap finish EXIT

grid_start_store
grid_start_worker w1 zone-1
grid_start_host host-a zone-1
crowd whole $LIMIT $LIMIT "without a configuration" is_answered
grid_config 3
check "the host becomes ready" grid_wait 10 grid_ready host-a
check "the host owns the cell" grid_wait 10 grid_owned_by_other none
check "a job is accepted" grid_wait 10 submit

crowd whole $LIMIT $LIMIT "owner" submit
crowd pieces $LIMIT $LIMIT "owner" submit
crowd chunks $LIMIT $LIMIT "owner" submit
crowd bytes 4096 4096 "owner" submit
crowd announced $GIGABYTE 2097152 "owner" submit
crowd unannounced $GIGABYTE 2097152 "owner" submit

kill -USR1 $STORE_PID
crowd chunks $LIMIT $LIMIT "without the store" is_answered
kill -USR2 $STORE_PID
check "the host becomes ready again" grid_wait 20 grid_ready host-a
check "a job is accepted again" grid_wait 10 submit

cat "$GRID/crowds"
kill -TERM "${HOST_PID[host-a]}"
wait "${HOST_PID[host-a]}"
check "a stop ends with 0" [ $? = 0 ]
unset "HOST_PID[host-a]"
echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
