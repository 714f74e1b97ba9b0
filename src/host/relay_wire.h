#ifndef HOST_RELAY_WIRE_H
#define HOST_RELAY_WIRE_H

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

enum relay_op {
	RELAY_START,
	RELAY_STOP,
	RELAY_THROTTLE,
	RELAY_POLL,
};

/**
 * struct relay_call - one call to a worker, which another host makes
 *
 * The fields after @address are those of struct order and struct poll_request.
 * @seq: sequence number chosen by the sender, returned with the answer
 * @op: enum relay_op
 * @worker: id of the worker
 * @address: address of the worker
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
 * @number: number of an ended run; 0 for one that is running
 * @how: enum run_end; 0 for one that is running
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
 * struct relay_answer - answer to one call: struct order_reply or struct
 *	poll_reply on the wire
 * @seq: sequence number of the call
 * @status: enum order_status
 * @clock: the worker's clock in ms, or 0
 * @born: start of the worker process, ms since 1970; polls only
 * @running: runs on the worker; polls only
 * @ended: runs that have ended there; polls only
 * @refused: see struct poll_reply; polls only
 */
struct relay_answer {
	uint64_t seq;
	uint32_t status;
	int64_t clock;
	uint64_t born;
	struct list running; /* struct relay_run */
	struct list ended;   /* struct relay_run */
	uint32_t refused;
};

/**
 * struct relay_batch - calls or answers that are sent in one message
 *
 * An empty batch is a ping, or the reply to one.
 * @clock: boot time at the host that sends answers, or 0
 * @valid_until: boot time at the host that receives calls, after which it makes
 *	none of them; 0 for no limit
 */
struct relay_batch {
	struct list calls;   /* struct relay_call */
	struct list answers; /* struct relay_answer */
	int64_t clock;
	int64_t valid_until;
};

/* Greatest boot time in a batch. */
#define RELAY_CLOCK_MAX_MS (INT64_MAX / 4)

extern const struct shape relay_batch_shape;

/**
 * relay_call_ref() - copy the reference to the run that a call is for
 */
void relay_call_ref(const struct relay_call *c, struct task_ref *out);

/**
 * relay_answer_encode() - copy the reply to a poll into its wire form
 * @a: memory of the lists in @out
 */
void relay_answer_encode(struct relay_answer *out, const struct poll_reply *r,
			 struct arena *a);

/**
 * relay_answer_check() - check the status, the clock and the ends of runs of an
 * answer
 *
 * Return: 0, or -EBADMSG for a value that is out of range.
 */
int relay_answer_check(const struct relay_answer *a);

/**
 * relay_answer_decode() - copy the reply to a poll from its wire form
 * @w: relay_answer_check() has accepted it
 *
 * Checkpoints of CHECKPOINT_SIZE bytes and more are truncated. Does not set
 * poll_reply.sent_ms.
 * @a: memory of the lists in @out
 */
void relay_answer_decode(const struct relay_answer *w, struct poll_reply *out,
			 struct arena *a);

#ifdef __cplusplus
}
#endif

#endif
