#ifndef STANDINS_WORKER_MODEL_H
#define STANDINS_WORKER_MODEL_H

#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MODEL_TASKS_MAX 4096

/**
 * struct model_task - one attempt of a task, as recorded by the worker
 * @state: enum task_state; TASK_NOT_STARTED marks a tombstone, an attempt that
 *	was stopped before its start order arrived
 * @lease_ms: length of the lease
 * @lease_until_ms: end of the lease, worker clock
 * @run_ms: progress at which the attempt finishes
 * @start_ms: start time, worker clock
 * @end_ms: end time, worker clock; valid if @state is not TASK_RUNNING
 * @start_progress: progress at the start, from the checkpoint resumed from
 * @base_ms: time of the start or of the last change of speed, worker clock
 * @base_progress: progress at @base_ms
 * @speed: speed in percent of full speed
 * @progress: progress at the start while the attempt runs; then that of its
 *	last checkpoint, or all of it if the attempt has finished
 * @forgotten: the owner no longer needs the attempt; it is left out of
 *	inventories
 * @lease_expired: the attempt ended because its lease expired
 * @start_logged: the start was written to the run log
 * @end_logged: the end was written to the run log
 *
 * Progress is the time, in milliseconds, that the attempt would have run at
 * full speed.
 */
struct model_task {
	uint64_t job;
	uint32_t attempt;
	uint32_t state;
	uint64_t shard;
	struct resources res;
	char service[NAME_SIZE];
	char key[NAME_SIZE];
	uint64_t payload_hash;
	bool movable;
	bool keep;
	uint32_t urgency;
	int64_t lease_ms;
	int64_t lease_until_ms;
	int64_t run_ms;
	int64_t start_ms;
	int64_t end_ms;
	uint64_t start_progress;
	int64_t base_ms;
	uint64_t base_progress;
	uint32_t speed;
	uint64_t progress;
	char result[NAME_SIZE * 2];
	bool forgotten;
	bool lease_expired;
	bool start_logged;
	bool end_logged;
};

/**
 * struct worker_model - deterministic model of a worker
 * @boot: identifies the start of the worker process
 * @epoch: fencing epoch in force
 * @owner: node that set the epoch, 0 before the first
 * @size: capacity
 * @leaving: start orders are refused
 * @fail_all: every task fails soon after its start
 * @checkpoint_ms: progress between two checkpoints
 * @tasks: active and past attempts, oldest first
 * @over_capacity_orders: number of start orders that were refused because they
 *	exceeded the free capacity
 */
struct worker_model {
	char name[NAME_SIZE];
	uint64_t id;
	uint64_t boot;
	uint64_t epoch;
	uint64_t owner;
	struct resources size;
	bool leaving;
	bool fail_all;
	int64_t checkpoint_ms;
	struct model_task *tasks;
	size_t count;
	uint32_t over_capacity_orders;
};

/**
 * struct model_out - output for the worker's messages
 * @send: sends @m to the node @to
 * @ctx: first argument of @send
 */
struct model_out {
	void (*send)(void *ctx, uint64_t to, const struct msg *m);
	void *ctx;
};

void worker_model_init(struct worker_model *w, const char *name,
		       const struct resources *size, uint64_t boot);
void worker_model_finish(struct worker_model *w);

/**
 * worker_model_crash() - end all active tasks at their last checkpoints
 * @now_ms: time of the crash, worker clock
 */
void worker_model_crash(struct worker_model *w, int64_t now_ms);

/**
 * worker_model_on_msg() - process one message and send the replies
 * @now_ms: worker clock
 */
void worker_model_on_msg(struct worker_model *w, int64_t now_ms,
			 const struct msg *m, const struct model_out *out);

/**
 * worker_model_tick() - end tasks that are due or whose lease has expired
 * @now_ms: worker clock
 */
void worker_model_tick(struct worker_model *w, int64_t now_ms,
		       const struct model_out *out);

#ifdef __cplusplus
}
#endif

#endif
