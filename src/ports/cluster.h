#ifndef PORTS_CLUSTER_H
#define PORTS_CLUSTER_H

#include <stdbool.h>

#include "base/field.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum store_status - result of a call to the platform's store
 */
enum store_status {
	STORE_OK,
	STORE_REFUSED, /* refused without effect; may be retried */
	STORE_UNKNOWN, /* no reply: the call may have taken effect */
	STORE_FENCED,  /* a writer with a higher epoch exists */
	STORE_BAD_SEQ, /* out of sequence; see store_reply.seq */
	STORE_TRIMMED, /* the records asked for have been removed */
};

/**
 * struct store_record - one record of a keyed topic
 * @value: empty when the key was deleted
 */
struct store_record {
	struct str key;
	struct str value;
	uint64_t offset;
};

/**
 * struct store_reply - reply to a call
 * @first: of an append, the offset of its first record; of a read, the oldest
 *	offset still kept
 * @end: offset of the next record of the partition
 * @seq: sequence number that the store expects, with STORE_BAD_SEQ
 * @records: records read, @count of them; valid during the callback
 * @has_more: the listing continues after @last_key
 * @last_key: last key of a page of a listing, also if its record cannot be used
 *	and is not in @records; empty if no item of the page has a key
 * @generation: generation of the group, after a join
 * @assigned: bit set of the partitions assigned to the member, after a join
 * @sent_ms: boot time at which the call was sent, in milliseconds
 * @received_ms: boot time at which the reply arrived, or the call failed
 * @bytes: length of the reply's body
 * @not_sent: no connection was made; with STORE_REFUSED
 */
struct store_reply {
	enum store_status status;
	uint64_t first;
	uint64_t end;
	uint64_t seq;
	const struct store_record *records;
	size_t count;
	bool has_more;
	struct str last_key;
	uint64_t generation;
	uint64_t assigned;
	int64_t sent_ms;
	int64_t received_ms;
	size_t bytes;
	bool not_sent;
};

typedef void (*store_done)(void *ctx, const struct store_reply *r);

/**
 * struct store_append - one atomic append
 * @part: number of the partition
 * @records: records framed by store_record_add()
 * @producer: name of a fenced writer; empty for an append without fencing
 * @epoch: fencing token of the writer
 * @seq: sequence number, one above that of the writer's last append
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
 * struct store_ops - operations of the platform's store
 * @append: append records to a partition
 * @read: read from offset @from; the store waits up to @wait_ms for a record
 * @read_newest: list the newest record of each key after the key @after
 * @join: join the group, or renew the membership
 * @leave: leave the group
 *
 * No call blocks. @done is called once, from the event loop.
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
 * @value: empty to delete the key
 */
void store_record_add(struct buf *out, struct str key, struct str value);

/* Bytes that store_record_add() adds before the key: two lengths. */
#define STORE_RECORD_HEADER 5

/**
 * store_record_fits() - whether the store accepts a record
 * @framed_bytes: length as store_record_add() frames it
 * @record_max: largest record, without the length before it; 0 for no limit
 * @append_max: largest append, with the framing; 0 for no limit
 */
bool store_record_fits(size_t framed_bytes, size_t record_max,
		       size_t append_max);

/**
 * store_records_fitting() - length of the whole records at the start of
 * @records that take at most @max bytes together
 */
size_t store_records_fitting(struct str records, size_t max);

/**
 * store_record_take() - take the first record off a sequence of framed records
 * @rest: the sequence; receives what follows the record
 * @out: its key and value point into the sequence
 *
 * Return: 0; -ENOENT at the end; -EBADMSG when the record is not whole; -EPROTO
 * for a record whose key does not fit in it, which is taken off, with an empty
 * key.
 */
int store_record_take(struct str *rest, struct store_record *out);

/**
 * store_records_valid() - whether a text is a sequence of whole records as
 * store_record_add() frames them, with at least one record
 */
bool store_records_valid(struct str records);

/**
 * enum order_status - result of an order to a worker
 */
enum order_status {
	ORDER_OK,
	ORDER_UNKNOWN,       /* no reply: may take effect, now or later */
	ORDER_NOT_SENT,      /* no connection; no effect */
	ORDER_FENCED,        /* the worker has seen a higher fencing token */
	ORDER_STALE_RUN,     /* a run with this number or a higher one ended */
	ORDER_EXPIRED,       /* the lease in the order has expired */
	ORDER_NO_ROOM,       /* the free capacity is too small */
	ORDER_NOT_PERMITTED, /* the queue's policy excludes the worker */
	ORDER_RESTARTED,     /* the worker process has been replaced */
	ORDER_UNHEALTHY,     /* the worker refuses orders for now; no effect */
	ORDER_INVALID,       /* the worker could not decode the order */
};

/* Greatest clock of a worker, ms: adding times to it does not overflow. */
#define WORKER_CLOCK_MAX_MS (INT64_MAX / 4)

/* Size of the name of a checkpoint, in bytes, with the NUL byte. */
#define CHECKPOINT_SIZE 40

/**
 * struct task_ref - identifies one run of one task
 * @job: id of the job, chosen by the caller
 * @occurrence: execution of a repeating job, from 0
 * @step: index of the step in the job
 * @index: index of the task in the step
 * @run: number of the run, from 1; rises with every start of the task
 */
struct task_ref {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
};

/**
 * struct run_row - one run in progress on a worker
 * @checkpoint: name of the last checkpoint, or empty
 * @progress_percent: progress; a long-running task is ready for requests at 100
 * @measure: tail latency in ms of a latency-critical task; CPU use in
 *	thousandths of a core of any other task
 */
struct run_row {
	struct task_ref ref;
	char checkpoint[CHECKPOINT_SIZE];
	uint32_t progress_percent;
	uint32_t measure;
};

/**
 * enum run_end - how a run ended
 */
enum run_end {
	RUN_DONE,
	RUN_FAILED,
	RUN_STOPPED,
	RUN_EXPIRED,     /* the worker's lease expired, or the run was lost */
	RUN_GANG_BROKEN, /* another member of the gang ended */
	RUN_GANG_INCOMPLETE, /* other members did not start */
};

/**
 * struct ended_run - one ended run that a worker reports until acknowledged
 * @number: position in the worker's list of ends, rising
 * @checkpoint: name of the last checkpoint, or empty
 */
struct ended_run {
	uint64_t number;
	struct task_ref ref;
	enum run_end how;
	char checkpoint[CHECKPOINT_SIZE];
};

/**
 * struct worker_addr - address of one process of a worker
 * @born: when the process started that the caller knows of, which the answer to
 *	a call returns; another process may listen at @address by then
 * @raises: how often the fence of calls to the worker had been raised, which
 *	the answer to a call returns as well
 */
struct worker_addr {
	char id[NAME_SIZE];
	char address[NAME_SIZE];
	uint64_t born;
	uint32_t raises;
};

/**
 * struct order - order to start, stop or throttle one run
 * @fence: fencing token of the owner
 * @lease_deadline_ms: new end of the worker's lease, which covers all of its
 *	runs, on the worker's clock; with a start
 * @spec: the job's payload, as the caller submitted it; with a start
 * @checkpoint: checkpoint to resume from, or NULL; with a start
 * @speed_percent: share of full speed; with a throttle order
 */
struct order {
	struct task_ref ref;
	uint64_t fence;
	int64_t lease_deadline_ms;
	struct str spec;
	const char *checkpoint;
	uint32_t speed_percent;
};

/**
 * struct poll_request - poll that renews a worker's lease and asks for its runs
 * @fence: fencing token of the owner
 * @lease_deadline_ms: new end of the lease, on the worker's clock; 0 leaves
 *	the lease as it is
 * @ack: acknowledges the ends up to this number, which are stored
 * @wait_ms: how long the worker may wait for a run to end before it replies
 */
struct poll_request {
	uint64_t fence;
	int64_t lease_deadline_ms;
	uint64_t ack;
	uint32_t wait_ms;
};

/**
 * struct poll_reply - reply to a poll: the runs of a worker
 * @refused: with ORDER_NOT_SENT: the worker's host refused the connection, so
 *no process listens at the address
 * @born: start time of the worker process, ms since 1970
 * @clock: the worker's own clock, in milliseconds
 * @sent_ms: boot time at which the request was sent, in milliseconds
 * @begun_ms: boot time at which a connection was chosen for it, if it had to
 *wait for other calls; 0 if that is not known
 * @running: runs in progress; valid during the callback
 * @ended: ends that have not been acknowledged, by number; valid during the
 *	callback
 */
struct poll_reply {
	enum order_status status;
	bool refused;
	uint64_t born;
	int64_t clock;
	int64_t sent_ms;
	int64_t begun_ms;
	const struct run_row *running;
	size_t running_count;
	const struct ended_run *ended;
	size_t ended_count;
};

typedef void (*poll_done)(void *ctx, const struct worker_addr *w,
			  const struct poll_reply *r);

/**
 * struct order_reply - reply to an order
 * @clock: the worker's clock in milliseconds, or 0 when the reply has none
 */
struct order_reply {
	enum order_status status;
	int64_t clock;
};

typedef void (*order_done)(void *ctx, const struct worker_addr *w,
			   const struct task_ref *ref,
			   const struct order_reply *r);

/**
 * struct worker_ops - operations of a worker
 * @start: start a run
 * @stop: stop a run; a start of it that arrives later is refused
 * @throttle: limit a run to order.speed_percent of full speed
 * @poll: renew the lease and list the runs
 *
 * No call blocks. The callback is called once, from the event loop, and never
 * from within the call.
 */
struct worker_ops {
	void (*start)(void *port, const struct worker_addr *w,
		      const struct order *o, order_done done, void *ctx);
	void (*stop)(void *port, const struct worker_addr *w,
		     const struct order *o, order_done done, void *ctx);
	void (*throttle)(void *port, const struct worker_addr *w,
			 const struct order *o, order_done done, void *ctx);
	void (*poll)(void *port, const struct worker_addr *w,
		     const struct poll_request *q, poll_done done, void *ctx);
};

#ifdef __cplusplus
}
#endif

#endif
