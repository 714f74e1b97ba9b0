#!/usr/bin/env bash
# Tests of the build: what a program tells of its build names the sources that it was
# built from (cmake/build_info.cmake); a build folder from other sources gives the program
# of the present ones, or none (cmake/stale_objects.cmake, the build command of
# deploy/system.toml).
set -u
cd "$(dirname "$0")/.."
BUILD=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
SCRIPTS=$PWD/cmake
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

# info FOLDER BUILD: prints commit and digest of the sources in FOLDER
info()
{
	cmake -DSOURCE_DIR="$1" -DBINARY_DIR="$2" -P "$SCRIPTS/build_info.cmake" &&
		sed 's/.* "\(.*\)"/\1/' "$2/generated/build_info_text.h" | paste -sd' '
}

commit()
{
	git -C "$WORK/a" add . && git -C "$WORK/a" -c user.name=t \
		-c user.email=t@localhost commit -qm "$1"
}

# A program tells its build.
test_info()
{
	local short first digest before changed

	mkdir -p "$WORK/a/src/base" "$WORK/a/docs"
	echo 'int f(void);' >"$WORK/a/src/base/f.h"
	echo 'project(x)' >"$WORK/a/CMakeLists.txt"
	git -C "$WORK/a" init -q
	commit first
	short=$(git -C "$WORK/a" rev-parse --short=8 HEAD)
	first=$(info "$WORK/a" "$WORK/build")
	digest=${first#* }
	expect "the commit of clean sources" "${first% *}" "$short"
	echo page >"$WORK/a/docs/page.md"
	expect "a page is no change of the sources" "$(info "$WORK/a" "$WORK/build")" "$first"

	mkdir "$WORK/b"
	cp -R "$WORK/a/src" "$WORK/a/CMakeLists.txt" "$WORK/b"
	expect "without a repository, the same digest" "$(info "$WORK/b" "$WORK/build-b")" \
		"unknown $digest"
	mkdir "$WORK/a/nested"
	cp -R "$WORK/b/." "$WORK/a/nested"
	expect "not the commit of a repository around it" \
		"$(info "$WORK/a/nested" "$WORK/build-b")" "unknown $digest"
	rm -r "$WORK/a/nested"

	before=$(stat -c %Y.%y "$WORK/build/generated/build_info_text.h")
	sleep 0.01
	info "$WORK/a" "$WORK/build" >/dev/null
	expect "nothing is written where nothing has changed" \
		"$(stat -c %Y.%y "$WORK/build/generated/build_info_text.h")" "$before"

	echo 'int g(void);' >>"$WORK/a/src/base/f.h"
	changed=$(info "$WORK/a" "$WORK/build")
	expect "changed sources are not those of the commit" "${changed% *}" "$short-dirty"
	expect "and have another digest" "$([ "${changed#* }" != "$digest" ] && echo differs)" \
		differs
	git -C "$WORK/a" checkout -q src
	echo 'int h(void);' >"$WORK/a/src/base/h.h"
	changed=$(info "$WORK/a" "$WORK/build")
	expect "an added file is a change" "${changed% *}" "$short-dirty"
}

# objects: prints the objects that are left once the script has run
objects()
{
	cmake -DSOURCE_DIR="$OBJECTS" -DBINARY_DIR="$OBJECTS/build" \
		-P "$SCRIPTS/stale_objects.cmake" >/dev/null &&
		find "$OBJECTS/build" -name '*.o' -printf '%f\n' | sort | paste -sd' '
}

# at MINUTE FILE...: sets the time of the files
at()
{
	touch -d "2020-01-01 00:$1" "${@:2}"
}

# source_is TEXT MINUTE
source_is()
{
	echo "$1" >"$OBJECTS/src/f.c"
	at "$2" "$OBJECTS/src/f.c"
}

# built: as after a build at minute 20, when g.c had not changed since minute 5
built()
{
	touch "$OBJECTS/build/f.o" "$OBJECTS/build/g.o"
	at 20 "$OBJECTS/build/f.o"
	at 5 "$OBJECTS/build/g.o"
}

# make takes an object that is newer than its source for current.
test_objects()
{
	mkdir -p "$OBJECTS/src" "$OBJECTS/build"
	echo 'project(x)' >"$OBJECTS/CMakeLists.txt"
	echo 'int g;' >"$OBJECTS/src/g.c"
	at 01 "$OBJECTS/CMakeLists.txt" "$OBJECTS/src/g.c"
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
	rm "$OBJECTS/build/sources.txt"
	expect "of objects from unknown sources, none is kept" "$(objects)" ""
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

# The folder target/ may be that of other sources, or of another path.
test_deploy()
{
	local former present

	mkdir "$WORK/d"
	git ls-files -co --exclude-standard CMakeLists.txt cmake src platform standins bench |
		xargs cp --parents -pt "$WORK/d"
	former=$(build "$WORK/d")
	expect "it builds" "${#former}" 12
	echo '/* another source */' >>"$WORK/d/src/base/str.c"
	touch -d '1 day ago' "$WORK/d/src/base/str.c"
	present=$(build "$WORK/d")
	expect "a source that is older than the former build counts" \
		"$([ "$present" != "$former" ] && echo differs)" differs
	cp -a "$WORK/d" "$WORK/e"
	sed -i '$d' "$WORK/e/src/base/str.c"
	expect "a folder that was configured at another path" "$(build "$WORK/e")" "$former"
	echo 'no source' >>"$WORK/e/src/base/str.c"
	expect "a build that fails leaves no former program" "$(build "$WORK/e")" ""
}

OBJECTS=$WORK/objects
test_info
test_objects
test_deploy
exit $((FAILED != 0))
