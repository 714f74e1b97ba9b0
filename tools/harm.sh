# Sourced after grid.sh: hosts and workers behind loopback proxies that can harm
# their connections. Hosts h0, h1, ... reach the store through their proxy, workers
# w0, w1, ... are reached through theirs.

declare -A PROXY_PID LIFE
now_ms() { date +%s%3N; }

# start_proxy NAME TARGET_FILE: port in $GRID/NAME.proxy
start_proxy()
{
	echo pass >"$GRID/$1.mode"
	"$BIN/standin-proxy" --port-file="$GRID/$1.proxy" --target-file="$2" \
		--control="$GRID/$1.mode" &
	PROXY_PID[$1]=$!
	grid_wait 5 test -s "$GRID/$1.proxy"
}

# A worker that was killed comes back under another id, at the same proxy.
start_worker()
{
	LIFE[$1]=$((${LIFE[$1]:-0} + 1))
	"$BIN/standin-gridworker" --id="$1-${LIFE[$1]}" --zone=z1 --rack=r1 \
		--store="$REAL_STORE" --run-log="$GRID/runs.$1" \
		--port-file="$GRID/$1.port" \
		--announce="127.0.0.1:$(cat "$GRID/$1.proxy")" &
	WORKER_PID[$1]=$!
}

start_host()
{
	# The lines of its life before would be taken for this one's.
	[ -e "$GRID/$1.log" ] && cat "$GRID/$1.log" >>"$GRID/$1.log.before"
	rm -f "$GRID/$1.log"
	STORE=127.0.0.1:$(cat "$GRID/$1.proxy")
	grid_start_host "$1" z1
}

# harm_start HOSTS WORKERS
harm_start()
{
	local i

	grid_start_store
	REAL_STORE=$STORE
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

harm_finish()
{
	kill "${PROXY_PID[@]}" 2>/dev/null
}
