#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One row per counter: symbol, JSON key, unit, help text. */
#define COUNTER_ROWS(X)                                                       \
	X(REQUESTS, "requests", "requests", "requests received from callers") \
	X(ANSWERS, "answers", "requests", "requests answered with a result")  \
	X(REFUSALS, "refusals", "requests",                                   \
	  "requests refused without running")                                 \
	X(MAY_HAVE_RUN, "may_have_run", "requests",                           \
	  "requests answered without proof that they did or did not run")     \
	X(ACCEPTED, "jobs_accepted", "jobs", "accept records confirmed")      \
	X(STARTS, "task_starts", "tasks", "start orders sent to workers")     \
	X(FINISHES, "task_finishes", "tasks", "finish records confirmed")     \
	X(EVICTIONS, "evictions", "tasks",                                    \
	  "tasks stopped to free capacity or end interference")               \
	X(ZONE_MOVES, "zone_moves", "tasks",                                  \
	  "tasks stopped because their zone was taken out of service")        \
	X(ATTEMPTS_OVER, "attempts_over", "attempts",                         \
	  "attempts that ended without a result")                             \
	X(CLAIMS, "claims_won", "claims", "shard claims won")                 \
	X(CLAIMS_LOST, "claims_lost", "claims", "shard claims lost")          \
	X(RELEASES, "releases", "shards", "shards released")                  \
	X(APPENDS, "log_appends", "appends", "appends sent to the log")       \
	X(APPEND_BYTES, "log_append_bytes", "bytes", "bytes appended")        \
	X(READS, "log_reads", "reads", "reads of the log")                    \
	X(READ_BYTES, "log_read_bytes", "bytes", "bytes read from the log")   \
	X(SNAPSHOTS, "snapshots", "snapshots", "snapshots written")           \
	X(FRAMES_IN, "frames_in", "frames", "frames received from peers")     \
	X(FRAMES_OUT, "frames_out", "frames", "frames sent to peers")         \
	X(BYTES_IN, "net_bytes_in", "bytes", "bytes received from peers")     \
	X(BYTES_OUT, "net_bytes_out", "bytes", "bytes sent to peers")         \
	X(STALE_ORDERS, "stale_orders", "orders",                             \
	  "orders that workers refused as fenced off or too old")             \
	X(HTTP_BAD, "http_bad", "requests", "malformed requests")

enum counter_id {
#define COUNTER_ENUM(sym, name, unit, help) COUNTER_##sym,
	COUNTER_ROWS(COUNTER_ENUM)
#undef COUNTER_ENUM
		COUNTER_MAX,
};

struct counter_row {
	const char *name;
	const char *unit;
	const char *help;
};

extern const struct counter_row counter_table[COUNTER_MAX];

/**
 * counter_add() - add @n to a counter; safe from any thread
 */
void counter_add(enum counter_id id, uint64_t n);
uint64_t counter_get(enum counter_id id);

/**
 * counter_write() - append all counters as one JSON object, name to value
 *
 * The counters are read one by one, not as one consistent snapshot.
 */
void counter_write(struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
