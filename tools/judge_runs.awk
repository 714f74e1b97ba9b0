# Input: "ms worker task run start|end how" of all workers, sorted by time;
# -v dead="WORKER MS ..." closes the runs of workers that were killed.
BEGIN {
	n = split(dead, d, " ")
	for (i = 1; i < n; i += 2)
		killed[d[i]] = d[i + 1]
}
{
	for (w in killed)
		if ($1 >= killed[w]) {
			for (t in on)
				if (on[t] == w)
					delete on[t]
			delete killed[w]
		}
}
$5 == "start" {
	starts++
	if ($3 in on || ($3 in done)) {
		print "overlap: " $0
		bad++
	}
	on[$3] = $2
}
$5 == "end" {
	delete on[$3]
	if ($6 == "done")
		done[$3]++
}
END {
	n = 0
	for (t in done)
		n++
	printf "%d starts, %d tasks done, %d violations\n", starts, n, bad
	exit bad > 0
}
