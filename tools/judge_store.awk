# Checks the append log of the store: an accepted job is stored, a refused one is
# not, and no records are stored twice by a repeated call, neither by an owner, which
# sends a batch again under its number, nor by another host, which waits for longer
# than REPEAT_MS before it appends a record again. An owner stores equal progress of a
# job again only after other progress of it.
#
# Input: the file "accepted" and the file "refused" with job IDs, then lines
# "ms partition new|again epoch number hash key ..." of the store. Exits 1 if there
# was a violation.
BEGIN { REPEAT_MS = 40 }
FILENAME ~ /accepted$/ { accepted[$1] = 1; next }
FILENAME ~ /refused$/ { refused[$1] = 1; next }
$2 !~ /^keyed\.jobs\// { next }
function report(what) {
	print what
	violations++
}
$4 != "-" && ($2, $4, $5) in hash && hash[$2, $4, $5] != $6 && NF > 6 {
	report("another batch under a number in use: " $0)
}
$4 != "-" { hash[$2, $4, $5] = $6 }
$3 == "new" && NF > 6 {
	if ($4 == "-" && ($2, $6) in appended_ms && $1 - appended_ms[$2, $6] < REPEAT_MS)
		report("stored twice by a host: " $0)
	if ($4 == "-")
		appended_ms[$2, $6] = $1
	of_jobs = is_newest = 0
	for (i = 7; i <= NF; i++) {
		if ($i ~ /^[0-9a-f]+(\/[cp])?$/ && length($i) >= 16) {
			of_jobs++
			is_newest += newest[$2, $i] == $4 " " $6
			newest[$2, $i] = $4 " " $6
		}
		if (length($i) != 16)
			continue
		copies += ($i in stored)
		stored[$i] = 1
	}
	if ($4 != "-" && of_jobs && is_newest == of_jobs)
		report("stored twice by an owner: " $0)
}
END {
	for (id in accepted)
		if (!(id in stored))
			report("accepted, but not stored: " id)
	for (id in refused)
		if (id in stored)
			report("refused, but stored: " id)
	printf "%d stored again, %d faults of records\n", copies, violations
	exit violations > 0
}
