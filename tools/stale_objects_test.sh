#!/usr/bin/env bash
# Test of cmake/stale_objects.cmake: a build folder from other sources, which are newer
# than those it is used with, gives the program of the present ones.
set -u
cd "$(dirname "$0")/.."
SCRIPT=$PWD/cmake/stale_objects.cmake
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
FAILED=0

# objects: prints the objects that are left once the script has run
objects()
{
	cmake -DSOURCE_DIR="$WORK" -DBINARY_DIR="$WORK/build" -P "$SCRIPT" >/dev/null &&
		find "$WORK/build" -name '*.o' -printf '%f\n' | sort | paste -sd' '
}

# at MINUTE FILE...: sets the time of the files
at()
{
	touch -d "2020-01-01 00:$1" "${@:2}"
}

# source_is TEXT MINUTE
source_is()
{
	echo "$1" >"$WORK/src/f.c"
	at "$2" "$WORK/src/f.c"
}

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

# built: as after a build at minute 20, when g.c had not changed since minute 5
built()
{
	touch "$WORK/build/f.o" "$WORK/build/g.o"
	at 20 "$WORK/build/f.o"
	at 5 "$WORK/build/g.o"
}

mkdir -p "$WORK/src" "$WORK/build"
echo 'project(x)' >"$WORK/CMakeLists.txt"
echo 'int g;' >"$WORK/src/g.c"
at 01 "$WORK/CMakeLists.txt" "$WORK/src/g.c"
source_is 'int f;' 10
expect "a new folder has no objects" "$(objects)" ""
built
expect "objects of unchanged sources stay" "$(objects)" "f.o g.o"
source_is 'int f = 1;' 30
expect "make handles a source that is newer than the objects" "$(objects)" "f.o g.o"
built
source_is 'int f = 2;' 15
expect "an object from before the change, but newer, is removed" "$(objects)" g.o
built
expect "once" "$(objects)" "f.o g.o"
rm "$WORK/build/sources.txt"
expect "of objects from unknown sources, none is kept" "$(objects)" ""
exit $((FAILED != 0))
