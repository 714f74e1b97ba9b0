#!/usr/bin/env bash
# Builds the stand-ins and helpers that the scripts of cases 6 to 10 start, into
# target/review-2/bin. Run in the root of the repository, after the build of the
# deploy file.
set -e
cmake -S . -B target/review-2 -DCMAKE_BUILD_TYPE=Release -DTESTS=OFF
cmake --build target/review-2 -j8 --target standin-gridstore standin-gridworker
cc -std=gnu11 -O2 -Wall -Wextra -pthread -o target/review-2/bin/rv review/src-2/rv.c
