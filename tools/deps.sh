#!/usr/bin/env bash
# Installs missing Debian packages and prints their names.
set -eu
packages="gcc g++ make cmake pkg-config curl clang-format clang-tidy cppcheck
libck-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev
libargtable2-dev libjansson-dev libxxhash-dev libb64-dev libgtest-dev libbenchmark-dev"
missing=
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
		missing="$missing $p"
done
[ -n "$missing" ] || exit 0
echo "deps: installing$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
