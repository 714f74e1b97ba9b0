#ifndef STANDINS_GRID_WORKER_H
#define STANDINS_GRID_WORKER_H

#include "ports/cluster.h"

/**
 * struct grid_run - a run of a task, active or ended
 * @started_ms: start time, worker's monotonic clock
 * @ends_ms: time at which the run ends by itself, same clock
 * @should_fail: the run ends as failed, not as done
 * @end_seq: sequence number of the end, 0 while the run is active
 * @outcome: how the run ended; valid if @end_seq is not 0
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
 * struct grid_worker - in-memory model of a worker
 * @fence: highest fencing token seen; orders with a lower one are refused
 * @lease_until_ms: end of the lease, worker's monotonic clock; 0 before
 *	the first lease
 * @lease_expired: the end of the lease was reported to @on_event
 * @end_count: number of runs that have ended, the last end_seq assigned
 * @running: active runs
 * @ended: ended runs that the owner has not acknowledged, by end_seq
 * @tombstones: runs whose end was acknowledged, and runs that were stopped
 *	before their start order arrived; a start of the same run or of an
 *	earlier run of the task is refused
 * @on_event: called on each "start", "end" and "ack" of a run, and with @r NULL
 *	on a "lease", a later end of the lease, and on a "lapse", its expiry
 * @ctx: first argument of @on_event
 *
 * The specification text of a task controls its run: run_ms=N is its duration
 * (0 for a run without end), and fail=1 makes it fail.
 */
struct grid_worker {
	uint64_t fence;
	int64_t lease_until_ms;
	bool lease_expired;
	uint64_t end_count;
	struct grid_run *running;
	struct grid_run *ended;
	struct grid_run *tombstones;
	void (*on_event)(void *ctx, const struct grid_run *r,
			 const char *event);
	void *ctx;
};

void grid_worker_finish(struct grid_worker *w);

/**
 * grid_worker_tick() - end the runs whose time is over or whose lease expired
 */
void grid_worker_tick(struct grid_worker *w, int64_t now_ms);

/**
 * grid_worker_start() - start a run, and extend the lease
 *
 * Return: ORDER_OK also if the same run is active already; ORDER_EXPIRED if the
 * lease deadline of the order has passed; ORDER_STALE_RUN if another run of the
 * task is active, or this run or a later one has ended; ORDER_FENCED.
 */
enum order_status grid_worker_start(struct grid_worker *w, int64_t now_ms,
				    const struct order *o);

/**
 * grid_worker_stop() - stop a run
 *
 * A run that has not started is refused from then on, so that a start order
 * that arrives after its stop order has no effect.
 *
 * Return: ORDER_OK, or ORDER_FENCED.
 */
enum order_status grid_worker_stop(struct grid_worker *w, int64_t now_ms,
				   const struct order *o);

/**
 * grid_worker_poll() - extend the lease, and drop acknowledged ends
 *
 * Return: ORDER_OK, or ORDER_FENCED.
 */
enum order_status grid_worker_poll(struct grid_worker *w, int64_t now_ms,
				   const struct poll_request *poll);

#endif
