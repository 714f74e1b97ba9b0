#!/usr/bin/env bash
# Sourced by the run.sh of each case: plays a case of build/world with hosts of the
# system, started as the deploy file says, and writes the record beside run.sh.
#
# play CASE HOSTS FOLDER
set -u
REVIEW=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
ROOT=$(cd "$REVIEW/.." && pwd)
WORK=$(mktemp -d)
PIDS=()
WORLD=

finish()
{
	local p

	exec 2>/dev/null # the shell reports the processes that it ends
	for p in "${PIDS[@]}" $WORLD; do kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap finish EXIT

# settings NUMBER NET CPU: the fields of DEPLOY.md, as a small deployment has them
settings()
{
	cat <<-EOF
	{"nodeName":"front-zone-$(($1 % 3 + 1))-$1","role":"host","machineClass":"front",
	"serves":["front"],"ip":"$2.$((10 + $1))","zone":"zone-$(($1 % 3 + 1))","region":"region",
	"internalPorts":[7720,7735],"seeds":[],"bootstrap":true,"countsTowardLoss":false,
	"discovery":"platform","entry":"vip","heartbeatMs":1100,
	"contracts":["base","drain","config","cost","recover","sched","places","platform"],
	"orders":"call","zones":{"zone-1":"region","zone-2":"region","zone-3":"region"},
	"listen":{"front":"$2.$((10 + $1)):8161","readiness":"$2.$((10 + $1)):8167"},
	"limits":{"cpuShare":$3,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
	"faultTolerance":{"machines":2,"zones":1,"regions":0},
	"bounds":{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
	"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"downgradeSlackMs":250,
	"maxStretchMs":5000,"coldOverage":1.5,"coldSlack":5,"evacuateMs":5000,"recoveryS":12,
	"maxHoldMs":6000,"stopGraceMs":900,"gangWaitMs":3000,"cancel_ms":3000,"visible_ms":3000,
	"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":3,"checkpointS":0.5,
	"restoreMs":600,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,"requireFencing":true,
	"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"violationMs":4000},
	"platform":{"address":"$STORE","form":"log","writesPerS":600,"readsPerS":2000,"parts":24,
	"appendMs":1.0,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"requestBytes":2097152,
	"keep_s":300,"partitionMb":200,"minTtlMs":1000}}
	EOF
}

play()
{
	local code net=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20)) n

	[ -x "$REVIEW/build/world" ] && [ -x "$ROOT/target/bin/basilshift-hostd" ] || {
		echo "run the build of the deploy file and review/build.sh first"
		exit 2
	}
	"$REVIEW/build/world" "$1" "$TROUBLE" "$net" "$2" "$WORK" &
	WORLD=$!
	for _ in $(seq 100); do [ -s "$WORK/store" ] && break; sleep 0.05; done
	[ -s "$WORK/store" ] || { echo "the stand-ins do not start"; exit 2; }
	STORE=$(cat "$WORK/store")
	cd "$ROOT" || exit 2
	for n in $(seq 0 $(($2 - 1))); do
		settings "$n" "$net" "0.25" >"$WORK/host$n.json"
		env -i PATH="$PATH" HOME="$HOME" LANG="${LANG:-C}" \
			BASILSHIFT_BOOT="$WORK/host$n.json" \
			target/bin/basilshift-hostd --metrics-port=9464 \
			>"$WORK/host$n.log" 2>&1 &
		PIDS+=($!)
	done
	wait $WORLD
	code=$?
	WORLD=
	{
		cat "$WORK/record"
		echo
		echo "log lines of the hosts:"
		grep -h 'level=\(warn\|error\)\|event="\(cell \|job settled\|standby\)' "$WORK"/host*.log |
			sort | cut -c1-240 | head -n "${LOG_LINES:-300}"
	} >"$3/record.txt"
	grep 'BROKEN\|result:' "$3/record.txt" | head -5
	return $code
}
