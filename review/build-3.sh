#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start, into build/review-3/bin:
# the project's own, and two of them with small changes (review/src-3).
set -eu
cd "$(dirname "$0")/.."
OUT=build/review-3
cmake -S . -B "$OUT" -DCMAKE_BUILD_TYPE=Release -DTESTS=OFF >/dev/null
cmake --build "$OUT" -j4 --target standin-gridstore standin-gridworker >/dev/null
PACKAGES="msgpack jansson libxxhash argtable2 libmicrohttpd libcurl"
ARGS="-std=c11 -O2 -D_GNU_SOURCE -Wall -Wextra -Wno-missing-field-initializers -I. -Isrc
	$(pkg-config --cflags $PACKAGES)"
LIBS="$OUT/libstandin.a $OUT/libhost.a $OUT/libadapters.a $OUT/libcore.a $OUT/libcell.a
	$OUT/libbase.a $(pkg-config --libs $PACKAGES) -lck -lb64 -lm -lpthread"
cc $ARGS -Wl,--wrap=grid_store_init -o "$OUT/bin/gridstore-generation" \
	standins/gridstore.c standins/grid_store.c review/src-3/store_generation.c $LIBS
cc $ARGS -Wl,--wrap=clock_wall_ms,--wrap=http_server_start -o "$OUT/bin/gridworker-clock" \
	standins/gridworker.c standins/grid_worker.c review/src-3/worker_clock.c $LIBS
cc $ARGS -Wl,--wrap=http_reply -o "$OUT/bin/gridworker-checkpoint" \
	standins/gridworker.c standins/grid_worker.c review/src-3/worker_checkpoint.c $LIBS
