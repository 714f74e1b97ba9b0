#ifndef CORE_WORKER_TABLE_H
#define CORE_WORKER_TABLE_H

#include <ck_queue.h>

#include "base/index.h"
#include "core/msg.h"
#include "core/response.h"

#ifdef __cplusplus
extern "C" {
#endif

enum commit_state {
	COMMIT_RESERVED, /* capacity reserved; no start requested */
	COMMIT_STARTING, /* start requested; not reported as running */
	COMMIT_RUNNING,  /* reported as running by the worker */
	COMMIT_OVER,     /* ended; kept until its job owner has recorded it */
};

/**
 * struct commitment - capacity of a worker that is committed to one attempt
 * @start: start order; it owns its copy of the payload
 * @service: service_id() of its service
 * @movable: the task may be ended and run on another worker
 * @keep: its lease is renewed also while the log cannot be read
 * @stop_requested: the attempt is to be ended
 * @displaced: it was preempted by a more urgent task
 * @due_ms: time of the next order or report, 0 for at once
 * @since_ms: time of the reservation, or of the start that followed
 */
struct commitment {
	uint64_t id; /* attempt_id() */
	uint64_t job;
	uint64_t shard;
	uint32_t attempt;
	enum commit_state state;
	uint32_t task_state; /* enum task_state */
	struct worker *worker;
	struct resources res;
	struct msg start;
	struct str result;
	uint64_t service;
	uint64_t progress;
	uint64_t cpu_ms;
	uint32_t urgency;
	bool movable;
	bool keep;
	bool stop_requested;
	bool displaced;
	bool throttled;
	int64_t lease_ms;
	int64_t due_ms;
	int64_t since_ms;
	CK_LIST_ENTRY(commitment) link;
};

CK_LIST_HEAD(commitment_list, commitment);

/**
 * struct worker - one worker of a rack
 * @used: sum of the commitments that are not over
 * @boot: incarnation that the worker reported last, 0 before the first report
 * @fenced: it has accepted this owner's epoch and its inventory was read
 * @leaving_listed: the platform's host list marks it as leaving
 * @leaving_reported: the worker itself has reported that it is leaving
 * @clock_ms: the worker's clock in its newest reply
 * @clock_recv_ms: local time when that reply arrived
 * @last_reply_ms: local time of the last reply, or of the shard's takeover
 * @renewed_ms: time of the last order that extends leases, 0 for none
 * @due_ms: time of the next renewal or fence
 * @full_inventory_ms: time when its complete inventory was last requested
 * @changed_ms: time when a task was last placed or ended on it
 * @renew_ms: time between renewals, a third of its shortest lease
 * @failures: failed attempts in a row, each of another job than the one before
 * @failed_job: job of the last failed attempt that was counted
 * @hold_urgency: least urgency of a task that may be placed on it until
 *                @hold_until_ms; keeps the capacity freed by preemption for the
 *                task that needs it
 * @tasks: number of commitments that are not over
 * @tasks_changed: a task was placed or ended since @changed_ms was set
 */
struct worker {
	uint64_t id;
	uint64_t rack;
	char name[NAME_SIZE];
	struct resources capacity;
	struct resources used;
	uint64_t boot;
	bool fenced;
	bool leaving_listed;
	bool leaving_reported;
	uint64_t clock_ms;
	int64_t clock_recv_ms;
	int64_t last_reply_ms;
	int64_t renewed_ms;
	int64_t due_ms;
	int64_t full_inventory_ms;
	int64_t changed_ms;
	struct response response;
	int64_t renew_ms;
	uint32_t failures;
	uint64_t failed_job;
	int64_t quarantine_until_ms;
	uint32_t hold_urgency;
	int64_t hold_until_ms;
	uint32_t tasks;
	bool tasks_changed;
	struct commitment_list commitments;
	CK_LIST_ENTRY(worker) link;
	CK_LIST_ENTRY(worker) rack_link;
};

CK_LIST_HEAD(worker_list, worker);

/**
 * struct worker_table - the workers of a zone and their commitments
 */
struct worker_table {
	struct index by_id;
	struct index commitments;
	struct index racks; /* rack to struct worker_list */
	struct worker_list workers;
};

void worker_table_init(struct worker_table *t);
void worker_table_finish(struct worker_table *t);

/**
 * worker_table_rack() - get the workers of one rack
 */
const struct worker_list *worker_table_rack(const struct worker_table *t,
					    uint64_t rack);

struct worker *worker_table_get(const struct worker_table *t, uint64_t id);

/**
 * worker_table_add() - get the worker with an id, adding it if it is unknown
 */
struct worker *worker_table_add(struct worker_table *t, uint64_t id,
				const char *name, uint64_t rack);

/**
 * worker_reset() - drop all commitments and the fence when the owner changes
 */
void worker_reset(struct worker_table *t, struct worker *w);

/**
 * worker_has_capacity() - test whether every needed amount is free
 */
bool worker_has_capacity(const struct worker *w, const struct resources *r);

/**
 * worker_free_capacity() - get the capacity that is not committed
 */
struct resources worker_free_capacity(const struct worker *w);

struct commitment *worker_table_commitment(const struct worker_table *t,
					   uint64_t job, uint32_t attempt);

/**
 * worker_commit() - commit capacity to an attempt
 *
 * Return: the commitment, or NULL when the capacity is not free or the attempt
 * already has a commitment.
 */
struct commitment *worker_commit(struct worker_table *t, struct worker *w,
				 uint64_t job, uint32_t attempt,
				 const struct resources *r);

/**
 * worker_adopt() - add a commitment for a task that the worker reports
 */
struct commitment *worker_adopt(struct worker_table *t, struct worker *w,
				const struct task_status *s);

/**
 * commitment_end() - release the capacity and keep the state of the attempt
 */
void commitment_end(struct commitment *c, uint32_t task_state);
void commitment_drop(struct worker_table *t, struct commitment *c);
void commitment_set_result(struct commitment *c, struct str result);
void commitment_set_start(struct commitment *c, const struct msg *m);

#ifdef __cplusplus
}
#endif

#endif
