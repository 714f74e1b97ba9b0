#ifndef HOST_RELAY_WIRE_H
#define HOST_RELAY_WIRE_H

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

enum relay_op {
	RELAY_START,
	RELAY_STOP,
	RELAY_PACE,
	RELAY_HOLD,
};

/**
 * struct relay_call - one call to a worker, made by another host
 * @seq: chosen by the sender, comes back with the answer
 * @op: enum relay_op
 */
struct relay_call {
	uint64_t seq;
	uint32_t op;
	char worker[NAME_SIZE];
	char address[NAME_SIZE];
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
	uint64_t fence;
	int64_t deadline;
	struct str spec;
	struct str checkpoint;
	uint32_t percent;
	uint64_t ack;
	uint32_t wait_ms;
};

/**
 * struct relay_run - struct run_row or struct ended_run on the wire
 * @number: of an end; 0 for a run
 * @how: enum run_end
 */
struct relay_run {
	uint64_t number;
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
	uint32_t how;
	struct str checkpoint;
	uint32_t percent;
	uint32_t measure;
};

/**
 * struct relay_answer - what the worker said
 * @status: enum order_status
 */
struct relay_answer {
	uint64_t seq;
	uint32_t status;
	int64_t clock;
	uint64_t born;
	struct list running; /* struct relay_run */
	struct list ended;   /* struct relay_run */
};

/**
 * struct relay_batch - calls, or answers, that travel together; a batch of
 * none asks whether the other host is there, or says so
 */
struct relay_batch {
	struct list calls;   /* struct relay_call */
	struct list answers; /* struct relay_answer */
};

extern const struct shape relay_batch_shape;

void relay_call_ref(const struct relay_call *c, struct task_ref *out);

/**
 * relay_answer_fill() - keep the lists of a worker for the wire
 * @a: holds the copies
 */
void relay_answer_fill(struct relay_answer *out, const struct poll_reply *r,
		       struct arena *a);

/**
 * relay_answer_hold() - the lists of a worker as they were
 * @a: holds them
 */
void relay_answer_hold(const struct relay_answer *w, struct poll_reply *out,
		       struct arena *a);

#ifdef __cplusplus
}
#endif

#endif
