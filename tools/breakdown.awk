# Input: logs of all hosts. What the time of jobs went to, by queue, for those in
# time and those late by more than a fifth: mean ms of each kind, from the lines
# "job settled". The objective there rests on estimates of the caller.
/event="job settled"/ {
	delete v
	for (i = 1; i <= NF; i++) {
		split($i, a, "=")
		v[a[1]] = a[2]
	}
	k = v["queue"] " " v["state"]
	if (v["state"] == "completed")
		k = v["queue"] (v["age_ms"] > v["objective_ms"] * 1.2 ? " late" : " in-time")
	jobs[k]++
	lost[k] += v["runs_lost"]
	failed[k] += v["runs_failed"]
	for (x in v)
		if (x ~ /_ms$/) {
			sum[k, x] += v[x]
			kinds[x] = 1
		}
}
END {
	for (k in jobs) {
		printf "%s jobs=%d runs_lost=%.1f runs_failed=%.1f", k, jobs[k],
			lost[k] / jobs[k], failed[k] / jobs[k]
		for (x in kinds)
			printf " %s=%d", x, sum[k, x] / jobs[k]
		print ""
	}
}
