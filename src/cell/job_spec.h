#ifndef CELL_JOB_SPEC_H
#define CELL_JOB_SPEC_H

#include <stdbool.h>

#include "base/field.h"

#ifdef __cplusplus
extern "C" {
#endif

#define JOB_STEPS_MAX 64
/* Tasks of one job, all occurrences together. Their progress has to fit in one
 * record of the store, 256 KB, with up to 50 bytes for each. */
#define JOB_TASKS_MAX 5000
/* The same of a job that is stored: an earlier release accepted more. */
#define JOB_TASKS_STORED_MAX 50000

/**
 * enum step_flag - how the tasks of a step run
 * @STEP_GANG: all tasks run at the same time, or none
 * @STEP_SAME_RACK: the tasks are slow when spread over racks
 * @STEP_CHECKPOINTS: a stopped task resumes from its checkpoint
 * @STEP_DUPLICATES: copies of a task may run at the same time
 * @STEP_LONG_RUNNING: the tasks run until the job is cancelled
 * @STEP_BEST_EFFORT: no processors are allocated; the tasks use what the other
 *	tasks on the worker leave
 */
enum step_flag {
	STEP_GANG = 1,
	STEP_SAME_RACK = 2,
	STEP_CHECKPOINTS = 4,
	STEP_DUPLICATES = 8,
	STEP_LONG_RUNNING = 16,
	STEP_BEST_EFFORT = 32,
};

/**
 * struct job_step - tasks of one kind within a job
 * @count: number of tasks
 * @cpu: processors of each task, in thousandths of a core
 * @memory_mb: memory of each task
 * @accelerators: accelerators of each task
 * @estimate_ms: run time declared by the caller; often far from the real one
 * @flags: set of enum step_flag
 * @after: bit set of the steps whose tasks must all be done first
 * @per_worker: anti-affinity: greatest number of the step's tasks on one
 *	worker, 0 for no limit
 * @allow_missing: greatest number of tasks that may be down for planned work at
 *	a time
 * @target_ms: bound on the tail latency of a latency-critical task, 0 for a
 *	task without a bound
 * @worker_label: label that the worker must have, or empty
 * @data_rack: rack close to the tasks' data, or empty
 * @image: image that the tasks run; tasks of one image are taken to have the
 *	same load and interference
 */
struct job_step {
	uint32_t count;
	uint32_t cpu;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t estimate_ms;
	uint32_t flags;
	uint64_t after;
	uint32_t per_worker;
	uint32_t allow_missing;
	uint32_t target_ms;
	char worker_label[NAME_SIZE];
	char data_rack[NAME_SIZE];
	char image[NAME_SIZE];
};

/**
 * struct job_spec - a job as its caller submitted it
 * @id: chosen by the caller
 * @queue: name of the queue
 * @service: pool of workers that run the job
 * @priority: 0 is the most urgent
 * @attempts_max: the job fails once this many runs of one task have failed
 * @stretch_milli: part of the latency objective that grows with the critical
 *	path, in thousandths of its length
 * @objective_ms: fixed part of the latency objective
 * @accepted_ms: time of acceptance, ms since 1970
 * @repeat: number of occurrences, 0 for a job that runs once
 * @first_ms: due time of occurrence 0, ms since 1970
 * @interval_ms: time between the due times of two occurrences
 * @payload: text passed to every task
 * @steps: array of struct job_step
 * @account: name of the client account that submitted it; empty for none
 */
struct job_spec {
	uint64_t id;
	char queue[NAME_SIZE];
	char service[NAME_SIZE];
	uint32_t priority;
	uint32_t attempts_max;
	uint32_t stretch_milli;
	uint32_t objective_ms;
	int64_t accepted_ms;
	uint32_t repeat;
	int64_t first_ms;
	int64_t interval_ms;
	struct str payload;
	struct list steps;
	char account[NAME_SIZE];
};

static inline const struct job_step *job_spec_step(const struct job_spec *s,
						   size_t n)
{
	return (const struct job_step *)s->steps.items + n;
}

static inline uint32_t job_spec_occurrence_count(const struct job_spec *s)
{
	return s->repeat ? s->repeat : 1;
}

/**
 * job_spec_critical_path_ms() - add up the run times on the critical path
 *
 * Return: the declared length of the longest chain of dependent steps, in
 * milliseconds.
 */
uint32_t job_spec_critical_path_ms(const struct job_spec *s);

/**
 * job_spec_core_seconds() - add up the declared work: processors times run time
 * of all tasks of all occurrences
 *
 * Return: core-seconds, rounded to the nearest.
 */
uint64_t job_spec_core_seconds(const struct job_spec *s);

/**
 * job_spec_is_short() - whether a job runs once, and no task of it is
 * long-running or best-effort
 */
bool job_spec_is_short(const struct job_spec *s);

/**
 * job_spec_check() - check that a job has an id and valid steps
 *
 * Return: 0, or -EINVAL when the id is 0, there are no steps or more than
 * JOB_STEPS_MAX, a step has no tasks, a step depends on itself or on a later
 * one, there are more than JOB_TASKS_MAX tasks, or a due time may overflow.
 */
int job_spec_check(const struct job_spec *s);

void job_spec_write(const struct job_spec *s, struct buf *out);

/**
 * job_spec_read() - decode and check a job written by job_spec_write()
 *
 * Accepts up to JOB_TASKS_STORED_MAX tasks.
 * @a: arena that owns the strings and steps of @s
 *
 * Return: 0, or -EBADMSG.
 */
int job_spec_read(struct str text, struct job_spec *s, struct arena *a);

/**
 * job_spec_copy() - copy a job in one allocation of its size
 * @a: arena that owns the copy
 */
struct job_spec *job_spec_copy(const struct job_spec *from, struct arena *a);

/**
 * job_spec_write_demand() - encode what the runs of a job that has ended may
 * still hold
 *
 * That is its id, its account, and the number and the demand of the tasks of
 * each step. job_spec_read() decodes it.
 */
void job_spec_write_demand(const struct job_spec *s, struct buf *out);

/**
 * enum job_state - state of a job, as reported to its caller
 */
enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED,
	JOB_FAILED,
	JOB_CANCELLED,
};

const char *job_state_name(enum job_state s);

static inline bool job_state_is_terminal(uint32_t s)
{
	return s >= JOB_COMPLETED;
}

/**
 * struct step_progress - stored progress of one step of one occurrence
 * @all_done: every task is done; the bit sets and @failures are empty
 * @done: bit set of the tasks that are done, empty when none is
 * @failures: for each task one byte with the number of its failed runs, then
 *	for each of the first failed runs the low 16 bits of its number, low
 *	byte first; empty when no run has failed
 * @ordered: bit set of the tasks that may have been started
 * @workers: for each of them that is not done, in the order of the tasks, the
 *	reference of the worker that may run it, low byte first, 0 for none;
 *	empty in records of releases that did not write it
 * @crashes: for each task one byte with the number of workers that crashed in a
 *	row soon after they started it; empty when there is none
 * @checkpoints: of tasks that have to start again: index of the task, two
 *bytes, low byte first, length of its checkpoint, one byte, and the checkpoint;
 *	empty in records of releases that did not write it
 * @last_run: greatest number that a run of a task may have had, if it is beyond
 *	those that are kept for the owner's epoch; else 0
 */
struct step_progress {
	uint32_t occurrence;
	uint32_t step;
	uint32_t all_done;
	struct str done;
	struct str failures;
	struct str ordered;
	struct str workers;
	struct str crashes;
	struct str checkpoints;
	uint32_t last_run;
};

/**
 * step_progress_may_run() - whether a task of the step may have been started
 * and is not done
 */
bool step_progress_may_run(const struct step_progress *p);

/**
 * struct job_progress - stored progress of a job
 * @epoch: epoch of the owner that wrote the record
 * @state: enum job_state
 * @steps: array of struct step_progress
 *
 * Each record replaces the one before it.
 */
struct job_progress {
	uint64_t epoch;
	uint32_t state;
	struct list steps;
};

void job_progress_write(const struct job_progress *p, struct buf *out);
int job_progress_read(struct str text, struct job_progress *p, struct arena *a);

#ifdef __cplusplus
}
#endif

#endif
