# Input: "ms worker task run start|end|ack|lapse how" of all workers, sorted by
# time; -v dead="WORKER MS ..." names workers that were killed, and when.
# A task may not run in two places, nor start after an end that was acknowledged.
# An end that its worker lost, with its life or its lease, before anybody
# acknowledged it does not count.
BEGIN {
	n = split(dead, d, " ")
	for (i = 1; i < n; i += 2)
		killed[d[i]] = d[i + 1]
}
function forget(w, t) {
	for (t in ended)
		if (ended[t] == w) {
			delete ended[t]
			delete again[t]
		}
}
{
	for (w in killed)
		if ($1 >= killed[w]) {
			for (t in on)
				if (on[t] == w)
					delete on[t]
			forget(w)
			delete killed[w]
		}
}
$5 == "start" {
	starts++
	if ($3 in on || $3 in done) {
		print "overlap: " $0
		bad++
	} else if ($3 in ended) {
		again[$3] = $0
	}
	on[$3] = $2
}
$5 == "end" {
	delete on[$3]
	if ($6 == "done") {
		ended[$3] = $2
		finished[$3] = 1
	}
}
$5 == "ack" && $6 == "done" && ended[$3] == $2 {
	done[$3] = 1
	if ($3 in again) {
		print "started after an end that counts: " again[$3]
		bad++
	}
	delete ended[$3]
}
$5 == "lapse" { forget($2) }
END {
	n = 0
	for (t in finished)
		n++
	printf "%d starts, %d tasks done, %d violations\n", starts, n, bad
	exit bad > 0
}
