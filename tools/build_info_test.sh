#!/usr/bin/env bash
# Test of cmake/build_info.cmake: what a program tells of its build names the sources
# that it was built from.
set -u
cd "$(dirname "$0")/.."
SCRIPT=$PWD/cmake/build_info.cmake
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
FAILED=0

# info FOLDER BUILD: prints commit and digest of the sources in FOLDER
info()
{
	cmake -DSOURCE_DIR="$1" -DBINARY_DIR="$2" -P "$SCRIPT" &&
		sed 's/.* "\(.*\)"/\1/' "$2/generated/build_info_text.h" | paste -sd' '
}

commit()
{
	git -C "$WORK/a" add . && git -C "$WORK/a" -c user.name=t \
		-c user.email=t@localhost commit -qm "$1"
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
exit $((FAILED != 0))
