#ifndef CELL_CELL_QUOTA_H
#define CELL_CELL_QUOTA_H

#include "cell/cell_types.h"

/*
 * Limits and shares of client accounts. A task counts against the limits of its
 * account from its placement until its run is known to have ended, and while it
 * is in doubt after a takeover. A run that no task stands for counts while its
 * worker lists it.
 */

/**
 * cell_quota_add_job() - look up the account of a job
 */
void cell_quota_add_job(struct cell *c, struct cell_job *j);

/**
 * cell_quota_remove_job() - release what tasks in doubt of the job hold
 */
void cell_quota_remove_job(struct cell *c, struct cell_job *j);

/**
 * cell_quota_hold() - count a task against the limits of its account, once
 */
void cell_quota_hold(struct cell_task *t);

/**
 * cell_quota_release() - count a task no longer
 */
void cell_quota_release(struct cell *c, struct cell_task *t);

/**
 * cell_quota_hold_orphan() - count a run on @w that no task stands for
 */
void cell_quota_hold_orphan(struct cell *c, struct cell_worker *w,
			    const struct task_ref *ref);

/**
 * cell_quota_release_orphans() - count those runs of @w no longer
 */
void cell_quota_release_orphans(struct cell *c, struct cell_worker *w);

/**
 * cell_quota_refresh() - read the limits from the present configuration
 */
void cell_quota_refresh(struct cell *c);

/**
 * cell_quota_begin_pass() - refresh limits and shares for a placement pass
 * @queued: number of steps in @c->queue
 */
void cell_quota_begin_pass(struct cell *c, size_t queued);

/**
 * cell_quota_end_pass() - log the accounts that have reached a limit
 */
void cell_quota_end_pass(struct cell *c);

/**
 * cell_quota_fits() - whether the account of a step may start @count of its
 * tasks; notes for cell_quota_end_pass() if it may not
 */
bool cell_quota_fits(struct cell *c, const struct cell_step *st,
		     uint32_t count);

/**
 * cell_quota_is_over_share() - whether @count tasks of the step bring its
 * account above its share of workers that cannot run all tasks
 */
bool cell_quota_is_over_share(const struct cell_step *st, uint32_t count);

/**
 * cell_quota_share_percent() - what the account of a step takes, in percent of
 * its share of the resource of which it takes most
 */
uint32_t cell_quota_share_percent(const struct cell_step *st);

/**
 * cell_quota_may_start() - whether a stored start of a task is still within the
 * limits, which may have been lowered since
 */
bool cell_quota_may_start(const struct cell_task *t);

#endif
