#ifndef CELL_CELL_QUEUE_H
#define CELL_CELL_QUEUE_H

#include "cell/cell_types.h"

/**
 * cell_queue_fill() - collect the steps with tasks to place, most urgent first
 *
 * Return: the number of steps in @c->queue.
 */
size_t cell_queue_fill(struct cell *c);

/**
 * cell_queue_sort() - sort @count steps, most urgent first
 */
void cell_queue_sort(struct cell_queued_step *steps, size_t count);

/**
 * cell_queue_entry() - the sort keys of a step with tasks to place
 */
struct cell_queued_step cell_queue_entry(const struct cell *c,
					 struct cell_step *st);

/**
 * cell_queue_is_before() - whether the tasks of one step are placed before
 * those of another
 */
bool cell_queue_is_before(const struct cell_queued_step *a,
			  const struct cell_queued_step *b);

/**
 * cell_pool_demand() - what the short tasks of a pool have needed of late
 *
 * Return: NULL if there are too many pools.
 */
struct pool_demand *cell_pool_demand(struct cell *c, uint64_t service);

/**
 * cell_step_is_ready() - whether all steps that this one depends on are done
 */
bool cell_step_is_ready(const struct cell_step *st);

/**
 * cell_job_lateness() - see @lateness of struct cell_queued_step
 */
uint32_t cell_job_lateness(const struct cell *c, const struct cell_job *j);

/**
 * cell_step_slack_ms() - for how long a step can wait and its job still end
 * within its objective, by the running times that are known
 *
 * Return: negative if it cannot; INT64_MAX for a job that repeats.
 */
int64_t cell_step_slack_ms(const struct cell *c, const struct cell_step *st);

/**
 * cell_job_has_value() - whether the end of a job still has value to its caller
 */
bool cell_job_has_value(const struct cell *c, const struct cell_job *j);

/**
 * cell_step_unplaced_since() - boot time since when the task of a step that has
 * waited longest could have been placed; INT64_MAX if none waits
 */
int64_t cell_step_unplaced_since(const struct cell_step *st);

/**
 * cell_is_long_unplaced() - whether a task of a long-running step has been
 * without a worker for too long
 */
bool cell_is_long_unplaced(const struct cell *c, const struct cell_step *st);

#endif
