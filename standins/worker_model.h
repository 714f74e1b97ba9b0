#ifndef STANDINS_WORKER_MODEL_H
#define STANDINS_WORKER_MODEL_H

#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MODEL_TASKS_MAX 4096

/**
 * struct model_task - one attempt, as the worker knows it
 * @state: enum task_state; TASK_NOT_STARTED is a tombstone
 * @ran_ms: time it has run, worker clock
 * @lease_expired: it was ended by its lease, not by an order
 * @start_logged: its start was written to the run log
 * @end_logged: its end was written to the run log
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
	int64_t base_ms; /* since when it runs at its speed */
	uint64_t base_progress;
	uint32_t speed; /* percent */
	uint64_t progress;
	char result[NAME_SIZE * 2];
	bool forgotten;
	bool lease_expired;
	bool start_logged;
	bool end_logged;
};

/**
 * struct worker_model - what a worker does with the orders it gets
 * @fail_all: every task fails soon after its start
 * @checkpoint_ms: progress is kept in steps of this length
 * @over_capacity_orders: orders that would have passed its size; refused
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
 * struct model_out - where the worker's messages go
 */
struct model_out {
	void (*send)(void *ctx, uint64_t to, const struct msg *m);
	void *ctx;
};

void worker_model_init(struct worker_model *w, const char *name,
		       const struct resources *size, uint64_t boot);
void worker_model_finish(struct worker_model *w);

/**
 * worker_model_crash() - the host fails: its tasks end at their checkpoints
 */
void worker_model_crash(struct worker_model *w, int64_t now_ms);

/**
 * worker_model_on_msg() - carry out one order
 * @now_ms: the worker's own clock
 */
void worker_model_on_msg(struct worker_model *w, int64_t now_ms,
			 const struct msg *m, const struct model_out *out);

/**
 * worker_model_tick() - end leases and tasks that are due
 */
void worker_model_tick(struct worker_model *w, int64_t now_ms,
		       const struct model_out *out);

#ifdef __cplusplus
}
#endif

#endif
