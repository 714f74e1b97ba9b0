#ifndef HOST_OWNER_H
#define HOST_OWNER_H

#include "cell/cell.h"
#include "cell/queue_table.h"
#include "host/follower.h"
#include "host/member.h"
#include "host/record_queue.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TOPIC_JOBS "keyed.jobs"

/* The metric basilshift_owner_phase shows these values. */
enum owner_phase {
	OWNER_IDLE,
	OWNER_FENCING,     /* an empty append fences off the former owner */
	OWNER_CATCHING_UP, /* reads the log up to that append */
	OWNER_ACTIVE,
};

/**
 * struct owner - ownership of one cell: fence, catch up, schedule, store
 * @part: number of the cell, and of its partition of the jobs' topic
 * @options: passed to the cell; options.renew_after_ms also bounds a handover
 * @job_view: state of the cell's jobs, kept up to date by @job_follower
 * @job_follower: follower of the cell's partition, ticked by the host
 * @worker_follower: follower of the worker registry; runs while @cell is set
 * @listed_workers: workers found by the listing that is being applied
 * @cell_ops: callbacks of the cell, called with @ctx
 * @parse_worker: decodes an entry of the registry; returns 0, or a negative
 *	error number
 * @epoch: fencing epoch: the group's generation at the start of the takeover
 * @ended_epoch: epoch of the last ownership that ended; only a later generation
 *	starts a takeover
 * @handover_began_ms: boot time at which the handover to another host began; 0
 *	without one
 * @member_until_ms: boot time until which the membership was certain when the
 *	cell was last assigned to this host
 * @stored_ms: sending time of the last append that the store took
 * @held_ms: sending time of the last call whose answer shows that no other host
 *	had taken the cell before: an append, or a join that lists the cell in
 *	the generation that is the epoch
 * @fence_offset: end of the partition after the fencing append; the job log has
 *	to be read up to it
 * @seq: sequence number of the current batch; 0 for the fencing append, unless
 *	the store expects another
 * @attempt: number of failed appends of the current batch or fence
 * @append_epoch: epoch of the append in flight, which may be that of an earlier
 *	takeover
 * @append_began_ms: boot time at which that append was handed on
 * @unanswered_ms: @append_began_ms of the first append of the current batch or
 *	fence, under its number, that got no answer; 0 if there is none
 * @fenced_by_worker: a worker has seen a higher epoch; the next tick steps down
 * @raises_fences: no host of a build that does not raise fences is announced
 * @append_due_ms: earliest boot time of the next append
 * @takeover_began_ms: boot time at which the takeover began
 * @batch: framed records of the current batch; empty if there is none
 * @self: this host, named in the first batch of each ownership
 * @batch_peer_bytes: bytes of @batch, from its start, with records of other
 *	hosts
 * @batch_may_be_stored: an append of @batch got no answer
 * @batch_began_ms: boot time at which @batch was filled
 * @peer_records: records of other hosts, stored with the batches
 * @peer_records_done: called with @ctx and the outcome of such records; set
 *	before owner_init()
 * @cell: NULL unless this host is the active owner
 */
struct owner {
	const struct store_ops *store;
	void *port;
	const struct worker_ops *worker_ops;
	void *worker_port;
	const char *worker_topic;
	uint32_t part;
	struct cell_options options;
	struct job_view *job_view;
	struct follower *job_follower;
	struct follower worker_follower;
	struct index listed_workers;
	const struct cell_ops *cell_ops;
	int (*parse_worker)(struct str id, struct str text,
			    struct worker_entry *out);
	void *ctx;
	enum owner_phase phase;
	uint64_t epoch;
	uint64_t ended_epoch;
	int64_t handover_began_ms;
	int64_t member_until_ms;
	int64_t stored_ms;
	int64_t held_ms;
	uint64_t fence_offset;
	uint64_t seq;
	uint32_t attempt;
	bool append_in_flight;
	uint64_t append_epoch;
	int64_t append_began_ms;
	int64_t unanswered_ms;
	bool fenced_by_worker;
	bool raises_fences;
	int64_t append_due_ms;
	int64_t takeover_began_ms;
	int64_t now_ms;
	struct buf batch;
	struct cell_owner self;
	size_t batch_peer_bytes;
	bool batch_may_be_stored;
	int64_t batch_began_ms;
	struct record_queue peer_records;
	record_outcome peer_records_done;
	struct cell *cell;
	uint64_t appends;
	uint64_t append_failures;
};

void owner_init(struct owner *o);
void owner_finish(struct owner *o);

/**
 * owner_tick() - follow the group membership, and run the cell while owning it
 *
 * Return: milliseconds until the next call is due.
 */
int64_t owner_tick(struct owner *o, const struct member *m, int64_t now_ms,
		   int64_t wall_ms);

/**
 * owner_may_retain() - whether this host serves its cell well enough to keep it
 * when the group assigns it to another one
 *
 * The store has taken its appends until a short time ago, so that it would have
 * heard of another owner.
 */
bool owner_may_retain(const struct owner *o);

/**
 * owner_hand_over() - stop starting tasks, but renew the leases of running ones
 * @reason: for the log
 *
 * The renewals give the next owner time to reach the workers. They end with the
 * ownership: after options.renew_after_ms, when a worker has seen the next
 * owner's epoch, or when the cell is assigned to this host again. An owner that
 * is not active yet steps down at once.
 */
void owner_hand_over(struct owner *o, const char *reason);

/**
 * owner_step_down() - release the cell at once; leases are not renewed any more
 * @reason: for the log
 */
void owner_step_down(struct owner *o, const char *reason);

/**
 * owner_add_records() - store records of another host with the next batch
 * @from: id of the host, and @seq its number of them, for peer_records_done()
 *
 * Return: false if this host is not the active owner, or an append cannot hold
 * the records; nothing is done then.
 */
bool owner_add_records(struct owner *o, uint64_t from, uint64_t seq,
		       struct str records);

/**
 * owner_withdraw_records() - drop records of another host that are in no batch
 *
 * Return: true if they are dropped: they are never stored, and
 * peer_records_done() is not called. False if they are in a batch, so that they
 * may be stored, or are not known; nothing is done then.
 */
bool owner_withdraw_records(struct owner *o, uint64_t from, uint64_t seq);

#ifdef __cplusplus
}
#endif

#endif
