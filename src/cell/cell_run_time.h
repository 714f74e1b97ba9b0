#ifndef CELL_CELL_RUN_TIME_H
#define CELL_CELL_RUN_TIME_H

#include "cell/cell_types.h"

/*
 * Running times of tasks, learned from the runs that this owner has started and
 * seen to their end at full speed.
 */

/**
 * cell_run_time_note() - learn from a run that its worker reports as done
 *
 * To be called before the task is detached from its worker.
 */
void cell_run_time_note(struct cell *c, const struct cell_task *t);

/**
 * cell_step_expected_ms() - running time that half of the tasks of a step keep
 *
 * Looked up again after a while only.
 */
int64_t cell_step_expected_ms(const struct cell *c, struct cell_step *st);

/**
 * cell_step_run_ms() - running time that the given share of the tasks of a step
 * keep
 */
int64_t cell_step_run_ms(const struct cell *c, const struct cell_step *st,
			 double share);

/**
 * cell_task_remaining_ms() - the time for which an active task runs on
 * @share: share of such tasks that run no longer
 */
int64_t cell_task_remaining_ms(const struct cell *c, const struct cell_task *t,
			       double share);

#endif
