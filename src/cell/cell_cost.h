#ifndef CELL_CELL_COST_H
#define CELL_CELL_COST_H

#include "cell/cell_types.h"

/**
 * cell_worker_rack() - rack of a worker: its last label, empty if it has none
 */
const char *cell_worker_rack(const struct cell_worker *w);

/**
 * cell_may_add_task() - whether the step's anti-affinity, its limit of tasks on
 * one worker, allows another task on @w
 */
bool cell_may_add_task(const struct cell_step *st, const struct cell_worker *w);

/**
 * cell_fits() - whether a worker has free capacity for a task of a step and
 * cell_may_add_task() allows it
 *
 * For best-effort tasks, processors are not checked here.
 */
bool cell_fits(const struct cell_step *st, const struct cell_worker *w);

/**
 * cell_placement_cost() - cost of a task on a worker with capacity for it
 * @starved: accept the worker whatever the interference
 * @out: receives the cost; the lowest is best
 *
 * Return: 0, or -EBUSY when a best-effort task would take too much from the
 * tasks there.
 */
int cell_placement_cost(const struct cell *c, const struct cell_task *t,
			struct cell_worker *w, bool starved, double *out);

#endif
