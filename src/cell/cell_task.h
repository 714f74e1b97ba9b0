#ifndef CELL_CELL_TASK_H
#define CELL_CELL_TASK_H

#include "cell/cell_types.h"

/**
 * cell_task_add_usage() - count what a task takes of its worker
 * @sign: 1, or -1 to count it no longer
 */
void cell_task_add_usage(struct cell_task *t, int sign);

/**
 * cell_task_place() - assign a task to a worker and start it there
 *
 * The start waits until the intent to start the task is stored.
 */
void cell_task_place(struct cell *c, struct cell_task *t,
		     struct cell_worker *w);

/**
 * cell_task_start_held() - start the tasks that wait for an answer of a worker
 *
 * To be called when it has answered a poll.
 */
void cell_task_start_held(struct cell *c, struct cell_worker *w);

/**
 * cell_task_withdraw_held() - place such tasks anew, as it has not answered
 */
void cell_task_withdraw_held(struct cell *c, struct cell_worker *w);

/**
 * cell_start_stored() - start the tasks whose intent has just been stored
 *
 * Those on a worker that runs nothing and has not answered of late wait for its
 * answer.
 */
void cell_start_stored(struct cell *c);

/**
 * cell_task_withdraw() - take a start back before it is sent
 *
 * The starts of a gang are taken back together.
 */
void cell_task_withdraw(struct cell *c, struct cell_task *t);

/**
 * cell_task_stop() - stop a task; a task without a worker is left as it is
 *
 * A stop that is not confirmed is sent again after STOP_RETRY_MS.
 */
void cell_task_stop(struct cell *c, struct cell_task *t);

/**
 * cell_task_end_run() - detach a task from its worker and apply the run's end
 */
void cell_task_end_run(struct cell *c, struct cell_task *t, enum run_end how,
		       const char *checkpoint);

/**
 * cell_task_mark_lost() - end a run whose end its worker did not report
 */
void cell_task_mark_lost(struct cell *c, struct cell_task *t);

/**
 * cell_task_confirm() - note that the worker has started the current run
 */
void cell_task_confirm(struct cell *c, struct cell_task *t);

/**
 * cell_task_adopt() - take over a run that @w lists; the task has no worker
 */
void cell_task_adopt(struct cell *c, struct cell_task *t, struct cell_worker *w,
		     uint32_t run);

/**
 * cell_stop_orphan() - stop a run that is not the current run of any task
 */
void cell_stop_orphan(struct cell *c, struct cell_worker *w,
		      const struct task_ref *ref);

/**
 * cell_task_set_pace() - throttle a running task to @percent of its full speed
 */
void cell_task_set_pace(struct cell *c, struct cell_task *t, uint8_t percent);

#endif
