#ifndef STANDINS_GRID_WORKER_H
#define STANDINS_GRID_WORKER_H

#include "ports/cluster.h"

/**
 * struct grid_run - a run that is held, or has ended
 * @end_seq: of the end, 0 while it runs
 */
struct grid_run {
	struct task_ref ref;
	int64_t started_ms;
	int64_t ends_ms;
	bool should_fail;
	uint64_t end_seq;
	enum run_end outcome;
	struct grid_run *next;
};

/**
 * struct grid_worker - a worker: fence, lease, ends kept until acknowledged
 *
 * What a task does stands in its text: run_ms=N, and fail=1 for one that fails.
 */
struct grid_worker {
	uint64_t fence;
	int64_t lease_ms;
	bool lease_expired;
	uint64_t end_count;
	struct grid_run *running;
	struct grid_run *ended;
	struct grid_run
		*tombstones; /* acknowledged ends: their runs stay refused */
	void (*on_event)(void *ctx, const struct grid_run *r, const char *what);
	void *ctx;
};

void grid_worker_finish(struct grid_worker *w);

/**
 * grid_worker_tick() - end what has come to its end, or to that of its lease
 */
void grid_worker_tick(struct grid_worker *w, int64_t now_ms);

/**
 * grid_worker_start() - start a run, as an order says
 */
enum order_status grid_worker_start(struct grid_worker *w, int64_t now_ms,
				    const struct order *o);
enum order_status grid_worker_stop(struct grid_worker *w, int64_t now_ms,
				   const struct order *o);
enum order_status grid_worker_poll(struct grid_worker *w, int64_t now_ms,
				   const struct poll_request *h);

#endif
