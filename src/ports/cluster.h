#ifndef PORTS_CLUSTER_H
#define PORTS_CLUSTER_H

#include <stdbool.h>

#include "base/field.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum store_status - how the platform's store answered a call
 */
enum store_status {
	STORE_OK,
	STORE_REFUSED, /* it said no: nothing was done; may be tried again */
	STORE_UNKNOWN, /* no answer: the call may have taken effect */
	STORE_FENCED,  /* a writer with a higher epoch exists */
	STORE_BAD_SEQ, /* the number does not follow the last; see @seq */
	STORE_TRIMMED, /* the records asked for are gone */
};

/**
 * struct store_record - one record of a keyed topic
 * @value: empty when the key was dropped
 */
struct store_record {
	struct str key;
	struct str value;
	uint64_t offset;
};

/**
 * struct store_reply - the answer to a call
 * @first: offset of the first record of an append; oldest kept of a read
 * @end: offset that the next record of the partition gets
 * @seq: number that the store expects, with STORE_BAD_SEQ
 * @records: what was read
 * @has_more: a listing goes on after the last key
 * @generation: of the group, after a join
 * @held: partitions held after a join, as a bit set
 * @sent_ms: when the call was handed to the network, boot time
 */
struct store_reply {
	enum store_status status;
	uint64_t first;
	uint64_t end;
	uint64_t seq;
	const struct store_record *records;
	size_t count;
	bool has_more;
	uint64_t generation;
	uint64_t held;
	int64_t sent_ms;
};

typedef void (*store_done)(void *ctx, const struct store_reply *r);

/**
 * struct store_append - one append, all or nothing
 * @records: framed by store_record_add()
 * @producer: name of a fenced writer, or empty for none
 */
struct store_append {
	const char *topic;
	uint32_t part;
	struct str records;
	const char *producer;
	uint64_t epoch;
	uint64_t seq;
};

/**
 * struct store_ops - what the product asks of the platform's store
 *
 * No call blocks; @done is called once, from the event loop.
 */
struct store_ops {
	void (*append)(void *port, const struct store_append *a,
		       store_done done, void *ctx);
	void (*read)(void *port, const char *topic, uint32_t part,
		     uint64_t from, uint32_t wait_ms, store_done done,
		     void *ctx);
	void (*read_newest)(void *port, const char *topic, uint32_t part,
			    struct str after, store_done done, void *ctx);
	void (*join)(void *port, const char *member, uint64_t generation,
		     store_done done, void *ctx);
	void (*leave)(void *port, const char *member, store_done done,
		      void *ctx);
};

/**
 * store_record_add() - add one keyed record to the body of an append
 * @value: empty to drop the key
 */
void store_record_add(struct buf *out, struct str key, struct str value);

/**
 * enum order_status - how a worker answered an order
 */
enum order_status {
	ORDER_OK,
	ORDER_UNKNOWN,       /* no answer: it may be carried out, also later */
	ORDER_NOT_SENT,      /* no connection: it was not carried out */
	ORDER_FENCED,        /* the worker has seen a higher fence */
	ORDER_STALE_RUN,     /* a run as high has ended there */
	ORDER_EXPIRED,       /* the deadline has passed */
	ORDER_NO_ROOM,       /* it does not fit */
	ORDER_NOT_PERMITTED, /* the queue's policy does not allow the worker */
	ORDER_RESTARTED,     /* another life of the worker answered */
	ORDER_UNHEALTHY,     /* the worker refused; nothing was done */
	ORDER_INVALID,       /* the worker could not read the order */
};

#define CHECKPOINT_SIZE 40

/**
 * struct task_ref - names one run of one task
 * @job: id that the caller chose
 * @occurrence: from 0, for jobs that repeat
 * @run: number of the start, from 1
 */
struct task_ref {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
};

/**
 * struct run_row - one run that a worker holds
 * @percent: progress; of a task that lasts, 100 is at work
 * @measure: of a serving task its tail latency in ms, of any other the
 *           processor in use, thousandths of a core
 */
struct run_row {
	struct task_ref ref;
	char checkpoint[CHECKPOINT_SIZE];
	uint32_t percent;
	uint32_t measure;
};

enum run_end {
	RUN_DONE,
	RUN_FAILED,
	RUN_STOPPED,
	RUN_EXPIRED,
	RUN_GANG_BROKEN,     /* another member of the gang ended */
	RUN_GANG_INCOMPLETE, /* the other members of the gang did not come */
};

struct ended_run {
	uint64_t number;
	struct task_ref ref;
	enum run_end how;
	char checkpoint[CHECKPOINT_SIZE];
};

/**
 * struct worker_addr - where to reach one life of a worker
 */
struct worker_addr {
	char id[NAME_SIZE];
	char address[NAME_SIZE];
};

/**
 * struct order - a start, a stop or a change of pace
 * @lease_deadline_ms: lease of all that runs there, on the worker's clock, ms
 * @spec: text that the caller handed in
 */
struct order {
	struct task_ref ref;
	uint64_t fence;
	int64_t lease_deadline_ms;
	struct str spec;
	const char *checkpoint;
	uint32_t percent;
};

/**
 * struct poll_request - renew the lease and ask what runs
 * @ack: ends up to this number are stored and may be forgotten
 * @wait_ms: how long the worker may wait for an end
 */
struct poll_request {
	uint64_t fence;
	int64_t lease_deadline_ms; /* 0 leaves the lease as it is */
	uint64_t ack;
	uint32_t wait_ms;
};

/**
 * struct poll_reply - what a worker holds
 * @born: start of this life of the worker, ms since 1970
 * @clock: the worker's own clock, ms
 * @sent_ms: when the request was handed to the network, boot time
 */
struct poll_reply {
	enum order_status status;
	uint64_t born;
	int64_t clock;
	int64_t sent_ms;
	const struct run_row *running;
	size_t running_count;
	const struct ended_run *ended;
	size_t ended_count;
};

typedef void (*poll_done)(void *ctx, const struct worker_addr *w,
			  const struct poll_reply *r);

/**
 * struct order_reply - answer to an order
 * @clock: the worker's clock, or 0 when it did not tell
 */
struct order_reply {
	enum order_status status;
	int64_t clock;
};

typedef void (*order_done)(void *ctx, const struct worker_addr *w,
			   const struct task_ref *ref,
			   const struct order_reply *r);

/**
 * struct worker_ops - what the product asks of a worker
 *
 * No call blocks; the callback comes once, from the event loop, never from
 * within the call.
 */
struct worker_ops {
	void (*start)(void *port, const struct worker_addr *w,
		      const struct order *o, order_done done, void *ctx);
	void (*stop)(void *port, const struct worker_addr *w,
		     const struct order *o, order_done done, void *ctx);
	void (*pace)(void *port, const struct worker_addr *w,
		     const struct order *o, order_done done, void *ctx);
	void (*poll)(void *port, const struct worker_addr *w,
		     const struct poll_request *h, poll_done done, void *ctx);
};

#ifdef __cplusplus
}
#endif

#endif
