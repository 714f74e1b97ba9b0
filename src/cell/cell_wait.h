#ifndef CELL_CELL_WAIT_H
#define CELL_CELL_WAIT_H

#include "cell/cell_types.h"

/**
 * cell_wait_oldest_ms() - how long the long-running task has waited that could
 * have been placed longest ago; 0 if none waits
 */
int64_t cell_wait_oldest_ms(const struct cell *c);

/**
 * struct queue_place - place of a step in the order of placement
 * @entry: of the step
 * @ahead: tasks that wait and go before those of the step, and @ahead_cpu what
 *	they need
 * @short_waiting: short tasks that wait for a worker, and @short_waiting_cpu
 *	what they need
 */
struct queue_place {
	struct cell_queued_step entry;
	uint64_t ahead;
	uint64_t ahead_cpu;
	uint64_t short_waiting;
	uint64_t short_waiting_cpu;
};

/**
 * cell_wait_place() - sum up the waiting tasks, those before @q->entry too
 * @q: zeroed but for @entry
 */
void cell_wait_place(const struct cell *c, struct queue_place *q);

/**
 * cell_wait_update() - log why that task is not placed, and the same for the
 * short task that has waited longest, whose wait is noted in the counts
 *
 * One line each, and none while the wait is short. It goes over all waiting
 * steps and, for each line, over all workers: call it once a second.
 */
void cell_wait_update(struct cell *c);

#endif
