# Sourced after grid.sh: runs hosts and workers behind loopback proxies that can
# delay, silence or reset their connections, and lose or delay single calls.
# $GRID/NAME.clock sets the wall clock of a host off by that many milliseconds. Each
# host h0, h1, ... reaches the store through a proxy of its own; each worker w0, w1,
# ... is reached through one.

declare -A PROXY_PID INCARNATION
PROXIES=0
now_ms() { date +%s%3N; }

# start_proxy NAME TARGET_FILE: writes its port to $GRID/NAME.proxy and reads its
# mode from $GRID/NAME.mode, the fault of single calls from $GRID/NAME.call-mode
start_proxy()
{
	echo pass >"$GRID/$1.mode"
	echo pass >"$GRID/$1.call-mode"
	"$BIN/standin-proxy" --port-file="$GRID/$1.proxy" --target-file="$2" \
		--control="$GRID/$1.mode" --call-control="$GRID/$1.call-mode" \
		--call-log="$GRID/$1.call-log" \
		--seed=$((${SEED:-1} * 100 + ++PROXIES)) &
	PROXY_PID[$1]=$!
	grid_wait 5 test -s "$GRID/$1.proxy"
}

# start_worker NAME [SAME_ID]: a restarted worker has a new id behind the same proxy,
# unless SAME_ID is given
start_worker()
{
	[ -n "${2:-}" ] || INCARNATION[$1]=$((${INCARNATION[$1]:-0} + 1))
	"$BIN/standin-gridworker" --id="$1-${INCARNATION[$1]}" --zone=z1 --rack=r1 \
		--store="$DIRECT_STORE" --run-log="$GRID/runs.$1" \
		--port-file="$GRID/$1.port" \
		--announce="127.0.0.1:$(cat "$GRID/$1.proxy")" &
	WORKER_PID[$1]=$!
}

# start_host NAME
start_host()
{
	# grid_start_host reads ports from the log, so the lines of an earlier process
	# are moved away.
	[ -e "$GRID/$1.log" ] && cat "$GRID/$1.log" >>"$GRID/$1.log.before"
	rm -f "$GRID/$1.log"
	STORE=127.0.0.1:$(cat "$GRID/$1.proxy")
	LD_PRELOAD=$(realpath "$BIN/libclock_jump.so") \
		CLOCK_JUMP_FILE="$GRID/$1.clock" grid_start_host "$1" z1
}

# proxied_start HOSTS WORKERS: numbers of hosts and workers
proxied_start()
{
	local i

	grid_start_store
	DIRECT_STORE=$STORE
	echo "${STORE##*:}" >"$GRID/store.target"
	grid_config 1
	for i in $(seq 0 $(($2 - 1))); do
		start_proxy "w$i" "$GRID/w$i.port"
		start_worker "w$i"
	done
	for i in $(seq 0 $(($1 - 1))); do
		start_proxy "h$i" "$GRID/store.target"
		start_host "h$i"
	done
}

proxied_finish()
{
	kill "${PROXY_PID[@]}" 2>/dev/null
}
