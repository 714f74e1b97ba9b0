#ifndef HOST_OWNER_H
#define HOST_OWNER_H

#include "cell/cell.h"
#include "cell/queue_table.h"
#include "host/follower.h"
#include "host/member.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TOPIC_JOBS "keyed.jobs"

enum owner_phase {
	OWNER_IDLE,
	OWNER_FENCING,     /* an empty append shuts the owner before out */
	OWNER_CATCHING_UP, /* reads what that owner wrote last */
	OWNER_ACTIVE,
};

/**
 * struct owner - ownership of one cell: fence, catch up, schedule, store
 * @part: the cell, and its partition of the jobs' topic
 * @epoch: generation at which the cell was taken
 * @handover_ms: since when it is another host's, or 0; leases are renewed until
 *	that one has reached the workers
 * @ended_epoch: epochs up to this one have been given up
 * @job_follower: follower of the cell's partition
 * @zone_open, @queue_service: answered by the host
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
	struct follower workers;
	struct index listed_workers;
	const struct cell_ops *cell_ops;
	int (*parse_worker)(struct str id, struct str text,
			    struct worker_entry *out);
	void *ctx;
	enum owner_phase phase;
	uint64_t epoch;
	uint64_t ended_epoch;
	int64_t handover_ms;
	uint64_t fence_offset;
	uint64_t seq;
	uint32_t attempt;
	bool append_in_flight;
	bool fenced_by_worker;
	int64_t append_due_ms;
	int64_t takeover_began_ms;
	int64_t now_ms;
	struct buf batch;
	struct cell *cell;
	uint64_t appends;
	uint64_t append_failures;
};

void owner_init(struct owner *o);
void owner_finish(struct owner *o);

/**
 * owner_tick() - follow the membership, and schedule while the cell is ours
 *
 * Return: milliseconds until it wants to be called again.
 */
int64_t owner_tick(struct owner *o, const struct member *m, int64_t now_ms,
		   int64_t wall_ms);

/**
 * owner_hand_over() - start nothing more, but keep what runs alive
 */
void owner_hand_over(struct owner *o, const char *reason);

/**
 * owner_step_down() - give the cell up at once
 */
void owner_step_down(struct owner *o, const char *reason);

#ifdef __cplusplus
}
#endif

#endif
