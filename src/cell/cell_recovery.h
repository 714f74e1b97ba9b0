#ifndef CELL_CELL_RECOVERY_H
#define CELL_CELL_RECOVERY_H

#include "cell/cell_types.h"

/*
 * After a takeover: which tasks may still run because a former owner started
 * them, and for how long that is not known. A task is in doubt while the worker
 * that its stored intent names is unheard.
 */

/**
 * cell_worker_ref() - reference of a worker in progress records
 */
uint16_t cell_worker_ref(const struct cell_worker *w);

/**
 * cell_recovery_expect() - note that runs of a former owner may be active on
 * a worker
 * @leases_end_ms: boot time at which its leases have ended; 0 if not known
 */
void cell_recovery_expect(struct cell *c, struct cell_worker *w,
			  int64_t leases_end_ms);

/**
 * cell_recovery_resolve() - note that all runs on a worker are known
 *
 * The worker has seen the fencing token of this owner, so that it takes no late
 * order of a former one; or its process or all its leases have ended.
 */
void cell_recovery_resolve(struct cell *c, struct cell_worker *w);

/**
 * cell_recovery_expire() - resolve a worker whose leases have all expired
 */
void cell_recovery_expire(struct cell *c, struct cell_worker *w);

/**
 * cell_task_is_in_doubt() - whether a run that a former owner started may be
 * active on a worker that is not resolved
 */
bool cell_task_is_in_doubt(const struct cell *c, const struct cell_task *t);

/**
 * cell_recovery_tick() - have the doubts that have ended stored
 */
void cell_recovery_tick(struct cell *c);

/**
 * cell_recovery_count_tasks() - count the tasks that wait because of such a run
 */
uint32_t cell_recovery_count_tasks(const struct cell *c);

/**
 * cell_recovery_log() - log what the cell still waits for; nothing after that
 */
void cell_recovery_log(const struct cell *c);

#endif
