#ifndef CELL_CELL_CONTAIN_H
#define CELL_CELL_CONTAIN_H

#include "cell/cell_types.h"

/*
 * Tasks under which several workers have crashed are contained: they are tried
 * again for as long as their job is not cancelled, since nothing proves that
 * they are the cause, but alone, after growing pauses and few at a time, so
 * that they cannot take more than a small share of the workers. Their jobs
 * start nothing else meanwhile.
 */

/**
 * cell_contain_task() - contain a task
 */
void cell_contain_task(struct cell *c, struct cell_task *t);

/**
 * cell_contain_release() - end that, as a run of the task has settled or is
 * done
 */
void cell_contain_release(struct cell *c, struct cell_task *t);

/**
 * cell_contain_crashed() - note that a worker has crashed under a task
 */
void cell_contain_crashed(struct cell *c, const struct cell_task *t);

/**
 * cell_contain_holds() - whether a task may not be placed yet, for its own
 * crashes or for those of other tasks of its job
 */
bool cell_contain_holds(const struct cell *c, const struct cell_task *t);

/**
 * cell_contain_neighbours() - count the runs on a worker that would be lost if
 * a contained task crashed it
 *
 * Return: their number; 0 for other tasks.
 */
uint32_t cell_contain_neighbours(const struct cell_task *t,
				 const struct cell_worker *w);

/**
 * cell_contain_pause_ms() - the pause of a contained task after its last crash
 */
int64_t cell_contain_pause_ms(const struct cell_task *t);

#endif
