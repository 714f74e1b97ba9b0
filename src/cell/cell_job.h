#ifndef CELL_CELL_JOB_H
#define CELL_CELL_JOB_H

#include "cell/cell_types.h"

/**
 * cell_job_add() - schedule a job
 * @recovered: the job was accepted under a former owner
 */
void cell_job_add(struct cell *c, struct job_entry *e, bool recovered);
void cell_job_free(struct cell *c, struct cell_job *j);

/**
 * cell_job_open_due() - open the occurrences whose time has come
 */
void cell_job_open_due(struct cell *c, struct cell_job *j);
void cell_occurrence_open(struct cell *c, struct cell_job *j, uint32_t k);

/**
 * cell_occurrence_step_done() - count a step whose tasks are all done
 */
void cell_occurrence_step_done(struct cell_job *j, struct cell_occurrence *o);

/**
 * cell_job_find() - look up a job by its id
 *
 * Return: the job, or NULL if this cell does not schedule it.
 */
struct cell_job *cell_job_find(const struct cell *c, uint64_t id);

/**
 * cell_task_find() - look up a task; the run in @ref is ignored
 *
 * Return: the task, or NULL if its occurrence is not open.
 */
struct cell_task *cell_task_find(const struct cell *c,
				 const struct task_ref *ref);

struct step_ref cell_step_ref(const struct cell_step *st);

/**
 * cell_task_ref() - identify the current run of a task
 */
void cell_task_ref(const struct cell_task *t, struct task_ref *out);

/**
 * cell_job_mark_dirty() - have the job's progress stored with the next batch
 */
void cell_job_mark_dirty(struct cell *c, struct cell_job *j);

/**
 * cell_job_settle() - give a job its terminal state and stop all its tasks
 */
void cell_job_settle(struct cell *c, struct cell_job *j, uint32_t state);

/**
 * cell_task_count_failure() - count a failed run of a task, once
 *
 * It need not be the current run. The job fails when the task has used up its
 * attempts.
 */
void cell_task_count_failure(struct cell *c, struct cell_task *t, uint32_t run);

/**
 * cell_task_apply_end() - apply the end of a run to its task
 *
 * The task has no worker any more. It is placed again unless it is done.
 * @checkpoint: to resume from; NULL or empty keeps the last one
 */
void cell_task_apply_end(struct cell *c, struct cell_task *t, uint32_t run,
			 enum run_end how, const char *checkpoint);

#endif
