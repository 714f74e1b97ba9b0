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
	COMMIT_RESERVED, /* room held; no order sent */
	COMMIT_STARTING, /* order sent; no word yet */
	COMMIT_RUNNING,  /* the worker says it runs */
	COMMIT_OVER,     /* over; kept until its job owner has recorded it */
};

/**
 * struct commitment - room that one attempt takes on a worker
 * @start: the order, with its own copy of the payload
 * @stop_requested: the attempt is to be ended
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
 * @fenced: it has taken our epoch and we have read its inventory
 * @clock_ms: its clock in the newest answer
 * @clock_recv_ms: when that answer came, local clock
 * @changed_ms: when a task was placed on it, or ended on it, last
 * @full_inventory_ms: when it was last asked for all that it runs
 * @renew_ms: time between renewals, a third of its shortest lease
 * @renewed_ms: when an order that extends leases was sent last
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
	bool tasks_changed; /* since changed_ms was set */
	struct commitment_list commitments;
	CK_LIST_ENTRY(worker) link;
	CK_LIST_ENTRY(worker) rack_link;
};

CK_LIST_HEAD(worker_list, worker);

/**
 * struct worker_table - the workers of a zone and what is committed on them
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
 * worker_table_rack() - the workers of one rack
 */
const struct worker_list *worker_table_rack(const struct worker_table *t,
					    uint64_t rack);

struct worker *worker_table_get(const struct worker_table *t, uint64_t id);

/**
 * worker_table_add() - the worker of an id, made when it is not there
 */
struct worker *worker_table_add(struct worker_table *t, uint64_t id,
				const char *name, uint64_t rack);

/**
 * worker_reset() - forget commitments and fence, as after a change of owner
 */
void worker_reset(struct worker_table *t, struct worker *w);

/**
 * worker_has_capacity() - true when the room is free, in every unit
 */
bool worker_has_capacity(const struct worker *w, const struct resources *r);

/**
 * worker_free_capacity() - what is not committed
 */
struct resources worker_free_capacity(const struct worker *w);

struct commitment *worker_table_commitment(const struct worker_table *t,
					   uint64_t job, uint32_t attempt);

/**
 * worker_commit() - take room for an attempt
 *
 * Return: the commitment, or NULL when it does not fit or is there already.
 */
struct commitment *worker_commit(struct worker_table *t, struct worker *w,
				 uint64_t job, uint32_t attempt,
				 const struct resources *r);

/**
 * worker_adopt() - take over a task that the worker reports
 */
struct commitment *worker_adopt(struct worker_table *t, struct worker *w,
				const struct task_status *s);

/**
 * commitment_end() - give the room back, keep the state
 */
void commitment_end(struct commitment *c, uint32_t task_state);
void commitment_drop(struct worker_table *t, struct commitment *c);
void commitment_set_result(struct commitment *c, struct str result);
void commitment_set_start(struct commitment *c, const struct msg *m);

#ifdef __cplusplus
}
#endif

#endif
