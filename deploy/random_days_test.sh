#!/usr/bin/env bash
# Test of random_days.sh: a seed writes the same day each time, the days keep their
# limits, and `play` tells clean, broken and unplayed days apart.
set -u
cd "$(dirname "$0")/.." || exit
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
days="bash deploy/random_days.sh"
PASSED=0
FAILED=0

# expect WHAT GOT WANTED
expect()
{
	if [ "$2" = "$3" ]; then
		PASSED=$((PASSED + 1))
	else
		echo "FAIL random_days.sh $1: got '$2', expected '$3'"
		FAILED=$((FAILED + 1))
	fi
}

# A day that depends on anything but its seed cannot be played again.
$days write $(seq 200) >"$tmp/all"
$days write $(seq 200) >"$tmp/again"
expect "same seeds, same days" "$(cmp "$tmp/all" "$tmp/again" 2>&1)" ""
expect "seed 7 alone" "$($days write 7)" \
	"$(awk '/^name/ { on = $3 == "\"random-7\"" } on' "$tmp/all")"
expect "200 different days" "$(awk '/^name/ { day = "" } { day = day $0 }
	/^]/ && ++ends % 2 == 0 { sub(/^[^\n]*plan/, "", day); days[day] }
	END { for (d in days) n++; print n }' "$tmp/all")" 200

# Days outside of the limits: seed, what, value.
expect "limits of days" "$(awk '
	function check(what, value, low, high) {
		if (value < low - 1e-9 || value > high + 1e-9)
			print name, what, value
	}
	/^name/ { name = $3; n = 0; days++ }
	/^plan/ { part = "plan" }
	/^faults/ { check("planned", n, 1, 3); part = "faults"; n = 0 }
	/^  / {
		at = $4 + 0
		if (part == "faults" && n > 0)
			check("gap", at - before, .3, 4)
		if (part == "faults" && n == 0)
			check("start", at, 2, 6)
		before = at
		n++
	}
	/^]/ && part == "faults" { check("disruptions", n, 4, 7); part = "" }
	END { check("days", days, 200, 200) }' "$tmp/all")" ""

expect "kinds over 200 seeds" \
	"$(grep -o 'kind = "[a-z_]*"' "$tmp/all" | cut -d'"' -f2 | sort -u)" \
	"$($days kinds)"
for how in same 'dark same' 'one_way reborn' deadly; do
	expect "variant $how" "$(grep -c "how = \"$how\"" "$tmp/all" |
		sed 's/^[1-9][0-9]*$/some/')" some
done
expect "kinds left out" "$(SKIP=srv_cut,release $days write $(seq 200) |
	grep -cE 'kind = "(srv_cut|release)"')" 0

# A bench that offers neither srv_cut nor one_way, breaks a rule on seed 3, has a
# fault on seed 4 and cannot play seed 5.
cat >"$tmp/bench" <<'EOF'
#!/bin/sh
row='d 7/66 0.84 0.839'
grep -q 'kind = "srv_cut"' "$3" &&
	echo 'fleetbench: srv_cut: contract drain is not open' && exit 1
grep -q 'kind = "one_way"' "$3" &&
	echo "fleetbench: the day can't be read: unknown variant \`one_way\`" && exit 1
case $6 in
3) row='d 7/66 0.00 0.5 BROKEN: LOST 1' end='rules broken: LOST 1' ;;
4) row='d 7/66 0.00 0.5' ;;
5) echo 'fleetbench: the day was given up' && exit 1 ;;
esac
printf 'day                  own/srv  score  worth\n%s\n%s\n' "$row" "${end:-}"
EOF
chmod +x "$tmp/bench"
export BENCH=$tmp/bench SITE=some/site.toml OUT=$tmp/out
$days play 40 >"$tmp/played"
expect "status of broken days" $? 1
expect "results" "$(sed -e 's/; left out.*//' -e "s:$tmp/::" "$tmp/played")" \
"seed 3: LOST 1 ; out/site-3.toml
seed 4: score 0; out/site-4.toml
seed 5: not played: fleetbench: the day was given up; out/site-5.toml
site: 37 clean, 2 broken, 1 not played"
expect "kinds refused" "$(tail -n 1 "$tmp/played" | grep -o 'left out.*' |
	tr ':,' '\n\n' | tr -d ' ' | tail -n +2 | sort | paste -sd,)" one_way,srv_cut
expect "kept files" "$(ls "$OUT" | paste -sd' ')" \
	"site-3.out site-3.toml site-4.out site-4.toml site-5.out site-5.toml"
$days play 1 5 >/dev/null
expect "status of a day not played" $? 2
$days play 2 >/dev/null
expect "status of clean days" $? 0

echo "random days: $PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
