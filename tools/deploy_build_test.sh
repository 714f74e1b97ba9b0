#!/usr/bin/env bash
# Test of the build command of deploy/system.toml in a folder target/ that was made with
# other sources, at another path or by a build that failed: the program is that of the
# present sources, or there is none.
set -u
cd "$(dirname "$0")/.."
BUILD=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
FAILED=0

# expect WHAT TEXT TEXT
expect()
{
	if [ "$2" = "$3" ]; then
		[ -n "${QUIET:-}" ] || echo "ok   $1"
	else
		FAILED=$((FAILED + 1))
		echo "FAIL $1: got '$2', expected '$3'"
	fi
}

# build FOLDER: prints the digest of the sources that its program was built from
build()
{
	(cd "$1" && bash -c "$BUILD" >"$WORK/log" 2>&1)
	sources "$1"
}

sources()
{
	"$1/target/bin/basilshift-hostd" --version 2>/dev/null | sed 's/.*sources \(.*\))/\1/'
}

mkdir "$WORK/a"
git ls-files -co --exclude-standard CMakeLists.txt cmake src platform standins bench |
	xargs cp --parents -pt "$WORK/a"
former=$(build "$WORK/a")
expect "it builds" "${#former}" 12
echo '/* another source */' >>"$WORK/a/src/base/str.c"
touch -d '1 day ago' "$WORK/a/src/base/str.c"
present=$(build "$WORK/a")
expect "a source that is older than the former build counts" \
	"$([ "$present" != "$former" ] && echo differs)" differs
cp -a "$WORK/a" "$WORK/b"
sed -i '$d' "$WORK/b/src/base/str.c"
expect "a folder that was configured at another path" "$(build "$WORK/b")" "$former"
echo 'no source' >>"$WORK/b/src/base/str.c"
expect "a build that fails leaves no former program" "$(build "$WORK/b")" ""
exit $((FAILED != 0))
