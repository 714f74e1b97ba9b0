#!/usr/bin/env bash
# Random days with overlapping disruptions for the users' bench.
#
#   random_days.sh write SEED...      prints the days of these seeds
#   random_days.sh play N [FIRST]     plays N days, from seed FIRST (1) on
#   random_days.sh kinds              prints the kinds of disruptions
#
# FOCUS draws other days: `newer` has kinds that older sites don't list in each day,
# `calls` loses, repeats and delays calls while owners change and workers come and
# go, `deal` deals the group anew while its owner is cut off, `series` cuts the owner
# off twice in a row around a deal, with lengths of the site files, `closing` ends such
# days with a strike on all hosts, `strong` draws disruptions of calls, workers and
# owner at one moment, long and on many, also before the traffic and before a strike.
# SKIP lists kinds to leave out, with commas. `play` needs BENCH (the bench's
# program) and SITE (a site file); a day that broke or could not be played is kept
# in OUT (build/days) with its output and printed: seed, result, file, kinds left
# out. A kind that the site does not offer is left out from there on.
# Exit status: 0 all clean, 1 one broke, 2 none broke and one was not played.
set -eu
cd "$(dirname "$0")/.."

# Part (plan, faults, or one that FOCUS adds), kind, range of for_s in seconds, of x,
# of share, of gap_s in seconds, other fields, variants of how. Ranges are LOW-HIGH;
# `-` is none.
table()
{
	cat <<'EOF'
faults|burst|1-6|1.3-3|-|-||
faults|give_up|1-6|-|.1-.5|-||;once;prompt
faults|srv_crash|.3-4|-|.1-.5|-||;gone;domain;joined;rack;across;all;dark;dark rack
faults|srv_crash|.3-3|-|.1-.5|-||same;dark same
faults|srv_slow|1-6|2-8|.1-.4|-||;across
faults|srv_grey|1-6|.3-1|.05-.3|-||errors;shed;busy;hang;reset;mute;errors one_zone
faults|srv_grey|1-6|4-8|.05-.3|-||slow
faults|srv_cut|.5-5|.2-.6|.1-.5|-||;fronts;some;some lossy;one_way;reset
faults|srv_cut|.5-5|.2-.6|.1-.5|-||reborn;one_way reborn;some reborn
faults|answer_lost|1-6|.02-.3|.2-.6|-||
faults|node_kill|.5-4|-|.1-.5|-||;power;turn;power turn meet
faults|node_kill|.5-4|-|-|-|on = "core", count = 1|leader;power leader;giver;reader;renewed
faults|node_kill|.5-4|-|-|-|on = "core", count = 1|seed;leader race drain;meet drain;hard
faults|node_freeze|.5-4|-|.1-.4|-||;leader;giver;leader renewed
faults|node_slow|1-6|2-6|.1-.4|-||;leader;giver
faults|herd_kill|.5-5|-|.3-1|-||;power;taken;taken all
faults|herd_kill|.5-5|-|1-1|-|on = "core"|;power;off;taken
faults|after_ack_kill|.5-4|-|-|-||;kill;timed;taken;taken gone
faults|replace_core|-|.5-4|-|-||;leader;seed;oldest
faults|clock_step|1-6|500-3000|.1-.5|-||;back;ahead;leader
faults|zone_cut|1-6|-|-|-||;drop;reset;refuse;drop meet
faults|zone_loss|1-2|-|-|-||
faults|one_way|1-6|-|-|-||;all;all in
faults|core_cut|1-6|-|-|-|count = 1|;leader;leader race;reset;refuse;behind;all;near;oldest
faults|core_cut|1-6|-|-|-|count = 1|split;one_way;both;lure;relieve;seeds;revoke
faults|node_cut|1-6|-|.1-.4|-||;all;leader;giver;turn;meet;reset;refuse;one_way
faults|node_cut|1-6|-|.1-.4|-||servers;servers one_way;servers reborn
faults|platform_down|.5-6|-|-|-||silent;busy;reset;silent lapse;busy lapse;reset lapse
faults|platform_down|.5-8|-|.2-.5|-||silent;busy lapse;nodes busy;nodes many;nodes reset
faults|platform_down|1-8|-|.2-.5|-||nodes silent;nodes busy revoke meet;nodes reset revoke
faults|platform_down|1-8|-|-|-|count = 1|nodes leader busy;nodes leader silent revoke
faults|platform_slow|1-6|10-90|-|-||
faults|platform_lost|1-6|.1-.5|-|-||;late
faults|platform_compact|.5-5|1-6|-|-||;keyed;drain;drain keyed;rebalance;rewind
faults|applied_late|1-6|.03-.3|-|-||;orders;cloud;grants;all
faults|poison|1-6|2-6|.02-.1|-||;long;deadly
faults|reset_conns|-|.3-.8|.1-.5|-||
faults|cloud_down|.5-6|-|-|-||silent;busy;reset
faults|cloud_slow|1-6|10-60|-|-||
plan|roll_term|-|1-2|.3-1|.5-2||;busy;leader;starter
plan|roll_term|-|1-1|.1-.3|.5-2||remove
plan|release|-|1-1|.3-1|.3-2||
plan|config_change|-|-|-|-||route;weights;timeout;tenant;quota;quota down;topup;idle
plan|big_config|-|-|-|-|count = 200|
plan|evacuate|2-8|-|-|-||;warm
plan|hup|-|-|.3-1|.5-2||
plan|add_nodes|-|-|.3-1|-||
plan|replace_core|-|.5-4|-|-||planned
plan|scale_in|2-6|1-3|.05-.2|-||;spot;reclaim;reclaim dry
newer|srv_flap|4-8|-|.03-.15|1-2||
newer|cold_return|3-6|-|-|-||;dark
newer|srv_lying_health|4-8|-|.05-.15|-||errors;hang;reset;bad
newer|hot_key|4-7|-|.4-.7|-||
newer|shift|5-8|-|.3-.6|-||
newer_plan|config_storm|3-5|-|-|.3-.4||
newer_plan|scale_in|2-6|1-3|.03-.2|-||;spot;reclaim;reclaim dry
newer_plan|roll_term|-|1-2|.3-1|.5-2||;busy;leader;starter
newer_plan|release|-|1-1|.3-1|.3-2||
calls|answer_lost|2-8|.05-.5|.3-.8|-||
calls|reset_conns|-|.3-.8|.1-.5|-||
calls|srv_grey|2-8|.3-1|.05-.3|-||reset;mute;hang;errors
calls|srv_cut|1-6|.2-.6|.1-.5|-||;fronts;some;some lossy;one_way;reset
calls|srv_cut|1-6|.2-.6|.1-.5|-||reborn;one_way reborn;some reborn
calls|platform_lost|2-6|.1-.5|-|-||;late
calls|applied_late|2-8|.05-.4|-|-||orders;grants;all
owner|platform_compact|.5-3|1-6|-|-||rebalance;rewind;rebalance rewind
owner|platform_down|.5-6|-|.2-.5|-||silent lapse;busy lapse;reset lapse
owner|node_kill|.5-4|-|-|-|on = "core", count = 1|leader;power leader;leader race drain
owner|node_freeze|.5-4|-|.1-.4|-||leader;leader renewed
owner|core_cut|1-8|-|-|-|count = 1|leader;leader race
owner|zone_cut|1-8|-|-|-||;drop;reset
workers|srv_flap|4-8|-|.03-.15|.5-2||
workers|cold_return|1-6|-|-|-||;dark
workers|srv_crash|.3-4|-|.1-.4|-||;dark;gone;domain;rack;same;dark same
calls_plan|scale_in|2-6|1-3|.05-.2|-||spot;reclaim
calls_plan|roll_term|-|1-2|.3-1|.5-2||;leader;starter
calls_plan|release|-|1-1|.3-1|.3-2||
deal|zone_cut|11-14|-|-|-|zone = "@z0"|drop
deal|zone_cut|11-14|-|-|-|zone = "@z1"|drop
deal|zone_cut|11-14|-|-|-|zone = "@z2"|drop
deal_owner|core_cut|11-14|-|-|-|count = 1|leader
deal_owner|node_cut|11-14|-|-|-|count = 1|leader
deal_workers|srv_cut|11-14|.5-.9|.3-.8|-||some;fronts
deal_group|platform_compact|.5-1|1-6|-|-||rebalance
series_zone|zone_cut|5.2-6.4|-|-|-|zone = "@z"|drop;reset;refuse;drop meet
series|core_cut|4-6|-|-|-|count = 1|leader;leader race
series|node_cut|5.5-6|-|-|-|count = 1|leader;leader meet
series|node_cut|11-12|-|.35-.4|-||;meet
series|platform_down|8-9|-|.33-.36|-||nodes reset revoke meet;nodes busy revoke meet
series|platform_down|7-9|-|-|-|count = 1|nodes leader reset;nodes leader silent revoke
series|node_freeze|3-4|-|-|-|count = 1|leader;leader renewed
series|herd_kill|8.5-9.5|-|1-1|-|on = "core"|power;off
series_next|node_cut|5-6|-|.17-.4|-||servers
series_next|core_cut|5-6|-|-|-|count = 1|leader;turn
series_next|node_cut|5-6|-|.17-.4|-||;turn;leader all
series_next|srv_grey|5-6|1-1|.1-.3|-||hang;mute
series_workers|srv_cut|4-6|.2-.8|.2-.6|-||some;fronts;some lossy
series_workers|srv_cut|4-6|.2-.8|.2-.6|-||reborn;some reborn
series_workers|node_cut|5-6|-|.17-.4|-||servers reborn;servers one_way
series_workers|srv_crash|.3-4.5|-|.14-.4|-||same;dark same;rack
series_calls|platform_lost|4-6|.3-.5|-|-||;late
series_calls|answer_lost|5-6|.02-.3|.4-.6|-||
series_calls|applied_late|4-6|.04-.2|-|-||;orders;grants;all
series_plan|roll_term|-|1-2|.4-1|1-2||;busy;leader;starter
series_plan|add_nodes|-|-|.5-1|-||
series_plan|release|-|1-1|.3-1|.3-2||
series_plan|replace_core|-|.5-4|-|-||planned;leader
closing_traffic|burst|8-12|1.3-2.6|-|-||
strong_calls|applied_late|5-12|.3-.9|-|-||;orders;grants;all
strong_calls|applied_late|5-12|.3-.9|-|-||grants;all
strong_calls|answer_lost|5-12|.3-1|.6-1|-||
strong_calls|platform_lost|4-9|.4-.9|-|-||;late
strong_calls|srv_grey|4-9|.6-1|.2-.5|-||reset;mute;hang;errors
strong_calls|reset_conns|-|.6-1|.5-1|-||
strong_workers|node_cut|4.5-9|-|.3-.8|-||servers;servers reborn;servers one_way;servers reset
strong_workers|srv_cut|4.5-9|.5-1|.4-.9|-||;some;fronts;some lossy;reset
strong_workers|srv_cut|4.5-9|.5-1|.4-.9|-||reborn;one_way reborn;some reborn
strong_workers|srv_crash|.3-1.5|-|.3-.9|-||same;dark same
strong_workers|srv_crash|.3-4.5|-|.3-.9|-||rack;domain;across;dark
strong_workers|srv_flap|6-12|-|.2-.6|.3-1.2||
strong_workers|cold_return|.5-5|-|-|-||;dark
strong_owner|platform_compact|1-12|3-8|-|-||rebalance;rewind;rebalance rewind
strong_owner|platform_compact|1-12|3-8|-|-||;keyed;drain keyed;keyed rebalance
strong_owner|platform_down|4-9|-|.2-.8|-||silent lapse;busy lapse;reset lapse
strong_owner|platform_down|7-10|-|-|-|count = 1|nodes leader reset;nodes leader silent revoke
strong_owner|node_freeze|4-10|-|-|-|count = 1|leader;leader renewed
strong_owner|node_freeze|4-10|-|.4-1|-||;giver
strong_owner|node_kill|.5-4|-|-|-|on = "core", count = 2|leader;power leader;leader race hard
strong_owner|core_cut|4-9|-|-|-|count = 2|leader;leader all;leader near;leader revoke
strong_owner|core_cut|4-9|-|-|-|count = 2|both;lure;relieve;one_way
strong_owner|node_cut|4-9|-|.3-.8|-||leader all;leader;giver;one_way;turn
strong_owner|zone_cut|4-9|-|-|-||drop;reset;refuse;drop meet
strong_owner|zone_loss|1-2|-|-|-||
strong_owner|clock_step|3-12|3000-9000|.5-1|-||back;ahead;leader
strong_owner|herd_kill|.5-3|-|.5-1|-||;power;taken;taken all
strong_owner|after_ack_kill|.5-4|-|-|-|count = 2|;timed;taken
strong_owner|replace_core|-|.5-4|-|-||leader;oldest
strong_owner|node_slow|4-9|6-12|.4-1|-||;leader
strong_owner|platform_slow|4-9|60-150|-|-||
strong_plan|scale_in|2-6|.5-3|.1-.4|-||spot;reclaim;reclaim dry
strong_plan|roll_term|-|1-3|.6-1|.3-1||;busy;leader;starter
strong_plan|evacuate|2-8|-|-|-||;warm
strong_plan|release|-|1-2|.5-1|.3-1||
strong_plan|hup|-|-|.6-1|.3-1||
EOF
}

# write_days SEED...
write_days()
{
	table | awk -F '|' -v seeds="$*" -v skip="${SKIP:-}" -v focus="${FOCUS:-}" \
		-f deploy/random_days.awk
}

# kinds: those of the parts that FOCUS draws from.
kinds()
{
	local parts

	case ${FOCUS:-} in
	'') parts='plan|faults' ;;
	newer) parts='plan|faults|newer|newer_plan' ;;
	calls) parts='calls|owner|workers|calls_plan' ;;
	deal) parts='deal|deal_owner|deal_workers|deal_group' ;;
	series | closing) parts='deal_group|series|series_[a-z]*' ;;
	esac
	[ "${FOCUS:-}" != strong ] || parts='strong_[a-z]*'
	[ "${FOCUS:-}" != closing ] || parts="$parts|closing_traffic"
	table | grep -E "^($parts)\|" | cut -d'|' -f2 | sort -u
}

# result OUTPUT: `clean`, the broken rules, or nothing if the day was not played. The
# bench gives a day with a fault the score 0.
result()
{
	awk '/^rules broken: / { broken = broken substr($0, 15) " " }
	/^[Ff]aults?:? / { broken = broken $0 " " }
	row { row = 0; played = 1; zero = $3 == "0.00" }
	/^day +own\/srv +score/ { row = 1 }
	END {
		if (broken == "" && zero)
			broken = "score 0"
		if (broken != "" || played)
			print broken != "" ? broken : "clean"
	}' "$1"
}

# refused_kind OUTPUT: the kind that the site does not offer, by the bench's message.
refused_kind()
{
	sed -n -e 's/^fleetbench: \([a-z_]*\): contract .* is not open.*/\1/p' \
		-e 's/^fleetbench: .*unknown variant `\([a-z_]*\)`.*/\1/p' "$1"
}

# play_seed SEED: draws the day again without a kind that the site refuses.
play_seed()
{
	local day=$OUT/$name-$1.toml out=$OUT/$name-$1.out kind

	while :; do
		write_days "$1" >"$day"
		"$BENCH" run "$SITE" "$day" --no-cpu --seed "$1" \
			--why "${WHY:-random day${FOCUS:+ of FOCUS=$FOCUS}, seed $1}" >"$out" 2>&1 || :
		got=$(result "$out")
		kind=$(refused_kind "$out")
		if [ -n "$got" ] || ! grep -q "kind = \"$kind\"" "$day"; then
			break
		fi
		SKIP=${SKIP:+$SKIP,}$kind
	done
	[ "$got" = clean ] && rm "$day" "$out" && return
	[ -n "$got" ] || got="not played: $(tail -n 1 "$out")"
	echo "seed $1: $got; $day; left out: ${SKIP:-none}"
}

play()
{
	local seed got clean=0 broken=0 unplayed=0

	: "${BENCH:?path of the bench}" "${SITE:?path of a site file}"
	OUT=${OUT:-build/days}
	name=$(basename "$SITE" .toml)${FOCUS:+-$FOCUS}
	mkdir -p "$OUT"
	for ((seed = ${2:-1}; seed < ${2:-1} + $1; seed++)); do
		play_seed "$seed"
		case $got in
		clean) clean=$((clean + 1)) ;;
		'not played'*) unplayed=$((unplayed + 1)) ;;
		*) broken=$((broken + 1)) ;;
		esac
	done
	echo "$name: $clean clean, $broken broken, $unplayed not played;" \
		"left out: ${SKIP:-none}"
	[ $broken = 0 ] || return 1
	[ $unplayed = 0 ] || return 2
}

case ${FOCUS:-} in
'' | newer | calls | deal | series | closing | strong) ;;
*)
	echo "random_days.sh: FOCUS is '$FOCUS'," \
		"expected newer, calls, deal, series, closing or strong" >&2
	exit 2
	;;
esac
case ${1:-} in
write) shift && write_days "$@" ;;
kinds) kinds ;;
play) play "${2:?number of days}" "${3:-1}" ;;
*) sed -n '2,19s/^# \{0,1\}//p' "$0" >&2 && exit 2 ;;
esac
