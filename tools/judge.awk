# Checks a run by comparing the results that callers received with the run logs
# of the workers. Services listed in at_most_once must not run a request twice.
# Usage: awk -v at_most_once="SERVICE,..." -f judge.awk calls.txt *.runs
# Prints: sent answered refused lost doubled false_refusals overlaps in_doubt

BEGIN {
	n = split(at_most_once, services, ",")
	for (i = 1; i <= n; i++)
		is_at_most_once[services[i]] = 1
}
FILENAME ~ /calls/ {
	sent++
	id = $1 " " $2
	if ($3 == "ran")
		answered++
	else if ($3 == "may_have_run" && $4 == "worker_lost" && is_at_most_once[$1]) {
		# The correct verdict if the worker was killed while it ran the task.
		answered++
		in_doubt++
	} else if ($3 == "not_run") {
		refused++
		refused_key[id] = 1
	} else
		lost++
	next
}
FNR == 1 { split("", open_run) }
$1 == "start" {
	id = $2 " " $3
	k = ++runs[id]
	from[id, k] = $6
	to[id, k] = 1e15
	open_run[id] = k
	next
}
$1 == "end" {
	id = $2 " " $3
	to[id, open_run[id]] = $6
	delete open_run[id]
	next
}
$1 == "killed" {
	for (id in open_run)
		to[id, open_run[id]] = $2
	split("", open_run)
}
END {
	for (id in runs) {
		split(id, part, " ")
		if (is_at_most_once[part[1]] && runs[id] > 1)
			doubled++
		for (a = 1; a <= runs[id]; a++)
			for (b = a + 1; b <= runs[id]; b++)
				if (from[id, a] < to[id, b] &&
				    from[id, b] < to[id, a])
					overlaps++
		if (id in refused_key)
			false_refusals++
	}
	printf "%d %d %d %d %d %d %d %d\n", sent, answered, refused, lost,
	       doubled, false_refusals, overlaps, in_doubt
}
