#!/usr/bin/env bash
# Tests failures of real processes under load. Waits for conditions, within the
# users' bounds where there is one: 5 s until the shards of a dead schedd have an
# owner, 11 s until a document is in force everywhere.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=${BIN:-$PWD/build/bin}
RUN=$(mktemp -d)
. tools/cluster.sh
trap 'stop_all; rm -rf "$RUN"' EXIT

passed=0 failed=0
check() { # NAME COMMAND...
	local name=$1
	shift
	if "$@"; then
		passed=$((passed + 1))
		echo "ok      $name"
	else
		failed=$((failed + 1))
		echo "FAILED  $name"
	fi
}
zones=(Ardenne-hall ardenne-depot ardenne-tower)
fault() { # QUERY: sets a fault of the stand-in platform
	curl -s -X POST "$PLATFORM/fault?$1" >/dev/null
}
config_in_force() { "$BIN/basilshift-ctl" status | grep -q ' 0 behind'; }
# The bill records in the log agree with the records that they sum up.
bill_agrees() {
	"$BIN/basilshift-ctl" --verify=1 bill | tail -n 2
	[ "${PIPESTATUS[0]}" -eq 0 ]
}
# Two operators publish version 2 of a document at the same time: one succeeds,
# the other exits 1.
one_publisher_wins() {
	local out
	mkdir -p "$RUN/a" "$RUN/b"
	cp examples/regie/*.json "$RUN/a"
	cp examples/regie/*.json "$RUN/b"
	sed -i 's/"version": 1/"version": 2/; s/"weight": 2/"weight": 5/' \
		"$RUN/a/team-jury.json"
	sed -i 's/"version": 1/"version": 2/; s/"weight": 2/"weight": 7/' \
		"$RUN/b/team-jury.json"
	"$BIN/basilshift-ctl" publish "$RUN/a" >"$RUN/a.txt" &
	out=$("$BIN/basilshift-ctl" publish "$RUN/b")
	local b=$?
	wait $!
	local a=$?
	echo "$out" >"$RUN/b.txt"
	[ $((a + b)) -eq 1 ]
}

start_platform || exit 1
"$BIN/basilshift-ctl" publish examples/regie >/dev/null || exit 1
for z in 0 1 2; do
	start_daemon schedd "schedd-${z}1" "${zones[$z]}" --refresh=30 || exit 1
	start_daemon schedd "schedd-${z}2" "${zones[$z]}" --refresh=30 || exit 1
	start_daemon entryd "entry-$z" "${zones[$z]}" || exit 1
	for n in 1 2 3; do
		start_worker "worker-$z-r1-$n" "${zones[$z]}" r1
		start_worker "worker-$z-r2-$n" "${zones[$z]}" r2
	done
done
check "all shards get an owner" wait_until 20 all_shards_owned 12
for z in 0 1 2; do check "entry-$z is ready" wait_until 11 is_ready "entry-$z"; done

# The interface for callers: malformed requests are refused and leave it working.
check_reports_all() {
	local out
	mkdir -p "$RUN/c"
	cp examples/regie/*.json "$RUN/c"
	sed -i 's/"urgency": 9/"urgency": 19/; s/"ardenne-depot"/"ardenne-depo"/' \
		"$RUN/c/service-check-in.json"
	out=$("$BIN/basilshift-ctl" check "$RUN/c") && return 1
	[[ $out == *"check-in.json: urgency: "* ]] &&
		[[ $out == *"check-in.json: zones[1]: names zone"* ]] &&
		[[ $out == *"2 mistakes"* ]]
}
check "every mistake in the documents is reported" check_reports_all
E0=${HTTP[entry-0]} E1=${HTTP[entry-1]}
expect() { # STATUS TEXT CURL-ARGUMENTS...: TEXT is part of the response
	local status=$1 text=$2 out
	shift 2
	out=$(curl -s -m 15 -w ' %{http_code}' "$@")
	case $out in *"$text"*" $status") return 0 ;; esac
	echo "        got: $out"
	return 1
}
expect_post() { # STATUS TEXT ENTRY BODY
	expect "$1" "$2" -X POST "http://$3/v1/requests" -d "$4"
}
head -c 200000 /dev/zero | tr '\0' x >"$RUN/big"
check "malformed JSON is refused" expect_post 400 bad_request "$E0" '{"service":'
check "a wrong type is refused" \
	expect_post 400 bad_request "$E0" '{"service":"check-in","key":7}'
check "a double key is refused" expect_post 400 bad_request "$E0" \
	'{"service":"check-in","service":"x","key":"a"}'
check "an unknown service is refused" \
	expect_post 404 unknown_service "$E0" '{"service":"nosuch","key":"a"}'
check "an oversized payload is refused" \
	expect 413 too_large -X POST "http://$E0/v1/requests" -d "@$RUN/big"
check "an unknown path is refused" expect 404 "no such path" "http://$E0/v1/x"
check "a settlement runs" expect_post 200 '"verdict":"ran"' "$E0" \
	'{"service":"heat-settlement","key":"heat-1","payload":"p"}'
check "the same key gets the same answer elsewhere" \
	expect_post 200 '"attempt":1' "$E1" \
	'{"service":"heat-settlement","key":"heat-1","payload":"p"}'
check "the same key with another payload is refused" \
	expect_post 409 key_conflict "$E1" \
	'{"service":"heat-settlement","key":"heat-1","payload":"q"}'
check "a request can be polled" \
	expect 200 '"verdict":"ran"' "http://$E1/v1/requests/heat-settlement/heat-1"
check "an accepted request need not wait" expect_post 202 '"verdict":"none"' "$E0" \
	'{"service":"barrier-watch","key":"w-1","wait":false}'
check "it can be cancelled" expect 409 cancelled -X DELETE \
	"http://$E1/v1/requests/barrier-watch/w-1"
printf 'POST /v1/requests HTTP/1.1\r\nContent-Length: 50\r\n\r\n{"ser' |
	timeout 1 bash -c "cat >/dev/tcp/${E0/:/\/}"
check "a half-closed connection does no harm" is_ready entry-0

"$BIN/basilshift-load" --entries="$(entry_addresses)" --rate=15 --seconds=45 \
	--threads=200 --deadline=8000 --patience=90000 --out="$RUN/calls.txt" \
	--services=check-in,heat-settlement,check-in,barrier-watch \
	>"$RUN/load.txt" &
load=$!
sleep 2

signal_process schedd-01 KILL
unset "HTTP[schedd-01]"
check "a killed schedd's shards have an owner within 5 s" \
	wait_until 5 all_shards_owned 12
start_daemon schedd schedd-01 Ardenne-hall
check "it is ready again" wait_until 11 is_ready schedd-01

signal_process schedd-11 STOP
sleep 6
signal_process schedd-11 CONT
check "a paused schedd finds its place again" wait_until 20 all_shards_owned 12

kill_worker worker-2-r1-1
signal_process entry-0 KILL
unset "HTTP[entry-0]"
sleep 1
start_daemon entryd entry-0 Ardenne-hall

fault mode=silent
sleep 5
fault mode=ok
fault mode=down
sleep 4
fault mode=ok
fault mode=lose
sleep 3
fault mode=ok
check "owners hold after the log's outages" wait_until 20 all_shards_owned 12
check "of two racing operators one wins and one is told" one_publisher_wins
check "its version is in force everywhere within 11 s" wait_until 11 config_in_force

fault block=ardenne-tower
sleep 8
fault block=
check "a zone cut off from the platform comes back" wait_until 20 all_shards_owned 12

signal_process schedd-21 TERM
check "a schedd that is stopped exits 0" test $? -eq 0
unset "HTTP[schedd-21]"
check "its shards have an owner within 5 s" wait_until 5 all_shards_owned 12
signal_process entry-1 TERM
check "an entry host that is stopped exits 0" test $? -eq 0
unset "HTTP[entry-1]"

wait "$load"
cat "$RUN/load.txt"
awk '$3 != "ran" { n[$3 " " $4]++ } END { for (k in n) print "  " k ": " n[k] }' \
	"$RUN/calls.txt"
check "the bill agrees with the records" bill_agrees
"$BIN/basilshift-timeline" >"$RUN/timeline.txt" 2>/dev/null
[ -n "${KEEP:-}" ] && cp -r "$RUN" "$KEEP"
stop_all
read -r sent answered refused lost doubled false_refusals overlaps in_doubt < <(
	awk -v at_most_once=heat-settlement -f tools/judge.awk "$RUN/calls.txt" \
		"$RUN"/*.runs)
echo "judged: $sent sent, $answered answered, $refused refused not run," \
	"$lost open, $doubled doubled, $false_refusals false refusals, $overlaps" \
	"overlaps, $in_doubt settlements in doubt"
check "nothing is lost" test "$lost" -eq 0
check "nothing is doubled" test "$doubled" -eq 0
check "no refusal is false" test "$false_refusals" -eq 0
check "nothing runs in two places" test "$overlaps" -eq 0
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
