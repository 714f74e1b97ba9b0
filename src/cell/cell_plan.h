#ifndef CELL_CELL_PLAN_H
#define CELL_CELL_PLAN_H

#include "cell/cell_types.h"

/*
 * Planned starts of short steps whose tasks are too large for what is free:
 * workers that will have room for them soonest take only tasks that do not
 * delay them.
 */

/**
 * cell_plans_begin_pass() - drop the plans that do not hold any more
 */
void cell_plans_begin_pass(struct cell *c);

/**
 * cell_plan_holds() - whether a plan keeps tasks of a step from a worker
 */
bool cell_plan_holds(const struct cell *c, const struct cell_worker *w,
		     const struct cell_step *st);

/**
 * cell_plan_choose() - find a worker with a plan that admits a task
 *
 * What is known not to fit does not tell of these: whether a plan admits a task
 * depends on more than what its step demands.
 *
 * Return: the worker, or NULL.
 */
struct cell_worker *cell_plan_choose(struct cell *c, const struct cell_task *t,
				     uint64_t service);

/**
 * cell_plan_make() - plan the start of a step that fits on no worker
 *
 * Does nothing for a step that is not short, cannot end in time, or is no
 * larger than most; nor when too many workers have plans.
 */
void cell_plan_make(struct cell *c, struct cell_step *st, uint64_t service);

/**
 * cell_plan_started() - note that a task is placed on a worker with a plan
 */
void cell_plan_started(struct cell *c, const struct cell_task *t,
		       struct cell_worker *w);

/**
 * cell_plan_drop() - drop the plan of a worker, if it has one
 */
void cell_plan_drop(struct cell *c, struct cell_worker *w, const char *reason);

/**
 * cell_plans_log() - log what plans were made of late, if any were
 */
void cell_plans_log(struct cell *c);

#endif
