# Breaks down the time of settled jobs by cause. Input: logs of all hosts, of which
# the lines "job settled" are read. Prints the mean of each value in ms, by queue
# and state. A completed job is late if it took longer than its objective by more
# than a fifth, else in time. The objective is derived from the estimates of the
# caller.
/event="job settled"/ {
	delete field
	for (i = 1; i <= NF; i++) {
		split($i, pair, "=")
		field[pair[1]] = pair[2]
	}
	group = field["queue"] " " field["state"]
	if (field["state"] == "completed")
		group = field["queue"] (field["age_ms"] > field["objective_ms"] * 1.2 ? " late" : " in-time")
	jobs[group]++
	lost[group] += field["runs_lost"]
	failed[group] += field["runs_failed"]
	for (name in field)
		if (name ~ /_ms$/) {
			sum[group, name] += field[name]
			kinds[name] = 1
		}
}
END {
	for (group in jobs) {
		printf "%s jobs=%d runs_lost=%.1f runs_failed=%.1f", group, jobs[group],
			lost[group] / jobs[group], failed[group] / jobs[group]
		for (name in kinds)
			printf " %s=%d", name, sum[group, name] / jobs[group]
		print ""
	}
}
