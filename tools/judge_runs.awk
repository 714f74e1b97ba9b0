# Checks the run logs of the workers: a task never runs in two places, and does
# not start again after an acknowledged end. An end does not count if its worker
# lost it before the acknowledgement, because it was killed or its lease lapsed. The
# runs of a worker that is paused end with its lease, also if it is killed before it
# goes on and so never logs that.
#
# Input: lines "ms worker task run start|end|ack|lapse how" and "ms worker - 0 lease
# MS", the end of the lease from then on, of all workers, sorted by time, those of one
# worker and millisecond in the order written (sort -s).
# A line "ms worker - 0 born -" begins a process: the runs and the lease of a former
# one under the same id have ended.
# -v killed_workers="WORKER MS ..." lists killed workers and the time of each kill.
# -v cancelled_jobs="ID ..." lists jobs whose cancels were acknowledged: none of their
# tasks runs in the end.
# Exits 1 if there was a violation.
BEGIN {
	n = split(killed_workers, pair, " ")
	for (i = 1; i < n; i += 2) {
		killed_worker[i] = pair[i]
		killed_ms[i] = pair[i + 1]
	}
	n = split(cancelled_jobs, jobs, " ")
	for (i = 1; i <= n; i++)
		is_cancelled[jobs[i]] = 1
}
function drop_unacknowledged(w, t) {
	for (t in ended)
		if (ended[t] == w) {
			delete ended[t]
			delete restarted[t]
		}
}
function end_runs(w, t) {
	for (t in running_on)
		if (running_on[t] == w)
			delete running_on[t]
	drop_unacknowledged(w)
}
{
	for (i in killed_ms)
		if ($1 >= killed_ms[i]) {
			end_runs(killed_worker[i])
			delete killed_ms[i]
		}
	for (w in lease_ms)
		if ($1 > lease_ms[w]) {
			end_runs(w)
			delete lease_ms[w]
		}
}
$5 == "born" {
	end_runs($2)
	delete lease_ms[$2]
	next
}
$5 == "lease" {
	lease_ms[$2] = $6
	next
}
$5 == "start" {
	starts++
	if ($3 in running_on || $3 in acknowledged) {
		print "overlap: " $0
		violations++
	} else if ($3 in ended) {
		restarted[$3] = $0
	}
	running_on[$3] = $2
}
$5 == "end" {
	if ($3 in running_on && running_on[$3] == $2)
		delete running_on[$3]
	if ($6 == "done") {
		ended[$3] = $2
		finished[$3] = 1
	}
}
$5 == "ack" && $6 == "done" && $3 in ended && ended[$3] == $2 {
	acknowledged[$3] = 1
	if ($3 in restarted) {
		print "started after an end that counts: " restarted[$3]
		violations++
	}
	delete ended[$3]
}
$5 == "lapse" { drop_unacknowledged($2) }
END {
	for (t in running_on)
		if (substr(t, 1, 16) in is_cancelled) {
			print "runs on after its cancel: " t " " running_on[t]
			violations++
		}
	n = 0
	for (t in finished)
		n++
	printf "%d starts, %d tasks done, %d violations\n", starts, n, violations
	exit violations > 0
}
