# Writes random days from the table of random_days.sh (-v seeds, -v skip, -v focus).
# A kind is drawn first, then one of its rows, so that the number of rows has no
# weight. Without a focus the draws stay as they are, as seeds are recorded.

# Products stay below 2^53, so that each awk draws the same.
function draw(n) {
	state = state * 16807 % 2147483647
	return int(state / 2147483647 * n)
}

function add_range(name, range,    ends, low, high) {
	if (range == "-")
		return 0
	split(range, ends, "-")
	low = int(ends[1] * 100 + .5)
	high = int(ends[2] * 100 + .5)
	low = (low + draw(high - low + 1)) / 100
	line = line sprintf(", %s = %.2f", name, low)
	return low
}

function draw_entry(part, tenths,    kind, f, hows, n) {
	kind = kinds[part, draw(kind_count[part])]
	split(rows[part, kind, draw(row_count[part, kind])], f, "|")
	line = sprintf("at = %.1f, kind = \"%s\"", tenths / 10, kind)
	for_s = add_range("for_s", f[3])
	add_range("x", f[4])
	add_range("share", f[5])
	add_range("gap_s", f[6])
	sub(/@z"/, "@z" zone "\"", f[7])
	if (f[7] != "")
		line = line ", " f[7]
	n = split(f[8], hows, ";")
	if (n > 0)
		line = line ", how = \"" hows[1 + draw(n)] "\""
	return "  { " line " },\n"
}

# Part of the table for disruption @i, and for planned work @i, of a day.
function fault_part(i) {
	if (focus == "newer")
		return i % 2 ? "newer" : "faults"
	if (focus == "calls")
		return i % 2 ? "calls" : draw(2) ? "owner" : "workers"
	return "faults"
}

function plan_part(i) {
	if (focus == "newer")
		return i % 2 ? "newer_plan" : "plan"
	return focus == "calls" ? "calls_plan" : "plan"
}

function draw_entries(    i, at, first, last) {
	first = at = 20 + draw(41)
	for (i = (focus == "calls" ? 7 : 4) + draw(4); i > 0; i--) {
		faults = faults draw_entry(fault_part(i), at)
		last = at
		at += 3 + draw(focus == "calls" ? 28 : 38)
	}
	for (i = 1 + draw(3); i > 0; i--)
		plan = plan draw_entry(plan_part(i),
				       first + draw(last - first + 1))
}

# The store deals the group anew 1.2 s after the start of platform_compact. Up to 1 s
# before that the owner is cut off, with its zone or alone beside cuts of workers, and
# stays so until its leases have ended.
function draw_deals(    i, at, cut) {
	at = 50 + draw(41)
	for (i = 0; i < 2; i++) {
		faults = faults draw_entry("deal_group", at)
		cut = at + 12 - draw(11)
		if (draw(2)) {
			faults = faults draw_entry("deal", cut)
		} else {
			faults = faults draw_entry("deal_owner", cut)
			faults = faults draw_entry("deal_workers", cut)
		}
		at += 150 + draw(21)
	}
}

# The group is dealt anew up to .6 s after the start of a cut of the owner, so that
# leases of the former owner may outlast 8.5 s from the takeover. Another cut follows
# the first one within 1.5 s, mostly within .3 s: workers that the next owner does not
# reach for 8.5 s are given up. Workers are cut off or restart beside the two, calls
# lose their answers, and planned work moves the cell once more.
function draw_series(at,    cut, next_cut, last, part) {
	zone = draw(3)
	cut = at + 12 - draw(7)
	faults = faults draw_entry("deal_group", at)
	part = draw(4) ? "series_zone" : "series"
	faults = faults draw_entry(part, cut)
	next_cut = cut + int(for_s * 10 + .5) + draw(draw(3) ? 4 : 16)
	part = draw(2) ? "series_zone" : "series_next"
	faults = faults draw_entry(part, next_cut)
	last = next_cut + int(for_s * 10 + .5)
	if (draw(2))
		faults = faults draw_entry("series_workers", cut - 5 + draw(61))
	if (draw(2))
		faults = faults draw_entry("series_calls", cut - 10 + draw(21))
	if (draw(2))
		plan = plan draw_entry("series_plan", cut - 10 + draw(41))
	return last
}

# The strike follows the last deal within 8 s.
function draw_closing(    end, hows, n) {
	end = 340 + 10 * draw(8)
	faults = faults draw_entry("closing_traffic", 10 + draw(200))
	draw_series(30 + draw(31))
	draw_series(end - 12 - draw(81))
	n = split(";taken;taken all;timed;all", hows, ";")
	closing = sprintf("length_s = %.1f\n", end / 10)
	closing = closing "closing = { kind = \"" \
		(draw(2) ? "power_off_all" : "kill_all") \
		sprintf("\", down_s = %.2f, how = \"%s\" }\n",
			.5 + draw(81) / 100, hows[1 + draw(n)])
}

# Three groups of disruptions that begin within .3 s: one from 6 s before the traffic
# to 14 s after its start, one up to 30 s, one in the last 6 s. Each takes calls,
# workers and the owner. Three days in four end with a strike on all hosts.
function draw_strong(    end, at, group, hows, n) {
	end = 340 + 10 * draw(8)
	for (group = 0; group < 3; group++) {
		at = group == 0 ? draw(201) - 60 : \
			group == 1 ? 160 + draw(141) : end - draw(61)
		faults = faults draw_entry("strong_calls", at)
		faults = faults draw_entry("strong_workers", at + draw(4))
		faults = faults draw_entry("strong_owner", at + draw(4))
		if (draw(2))
			faults = faults draw_entry("strong_workers", at + 5 + draw(56))
		if (draw(2))
			faults = faults draw_entry("strong_owner", at + 5 + draw(56))
		if (draw(2))
			plan = plan draw_entry("strong_plan", at - 10 + draw(41))
	}
	closing = sprintf("length_s = %.1f\n", end / 10)
	if (!draw(4))
		return
	n = split(";taken;taken all;timed;all;oldest", hows, ";")
	closing = closing "closing = { kind = \"" \
		(draw(2) ? "power_off_all" : "kill_all") \
		sprintf("\", down_s = %.2f, how = \"%s\" }\n",
			.5 + draw(81) / 100, hows[1 + draw(n)])
}

function write_day(seed,    i) {
	state = (seed * 69621 + 12345) % 2147483646 + 1
	for (i = 0; i < 8; i++)
		draw(1)
	plan = faults = closing = ""
	if (focus == "deal")
		draw_deals()
	else if (focus == "series")
		draw_series(draw_series(30 + draw(31)) + 10 + draw(31))
	else if (focus == "closing")
		draw_closing()
	else if (focus == "strong")
		draw_strong()
	else
		draw_entries()
	printf "name = \"%s-%d\"\n", focus == "" ? "random" : focus, seed
	printf "%s", closing
	printf "plan = [\n%s]\nfaults = [\n%s]\n", plan, faults
}

index("," skip ",", "," $2 ",") { next }
{
	if (!(($1, $2) in row_count))
		kinds[$1, kind_count[$1]++] = $2
	rows[$1, $2, row_count[$1, $2]++] = $0
}

END {
	n = split(seeds, seed, " ")
	for (k = 1; k <= n; k++)
		write_day(seed[k])
}
