#ifndef CELL_JOB_SPEC_H
#define CELL_JOB_SPEC_H

#include <stdbool.h>

#include "base/field.h"

#ifdef __cplusplus
extern "C" {
#endif

#define JOB_STEPS_MAX 64

/**
 * enum step_flag - how the tasks of a step run
 */
enum step_flag {
	STEP_GANG = 1,          /* all tasks work together, or none */
	STEP_SAME_RACK = 2,     /* tasks are slow when spread over racks */
	STEP_CHECKPOINTS = 4,   /* a stopped task resumes */
	STEP_DUPLICATES = 8,    /* copies may run side by side */
	STEP_LONG_RUNNING = 16, /* runs until the job is cancelled */
	STEP_BEST_EFFORT =
		32, /* processors are not counted: uses what is left */
};

/**
 * struct job_step - tasks of one kind within a job
 * @count: number of tasks
 * @cpu: thousandths of a core a task
 * @memory_mb: memory a task
 * @accelerators: accelerators a task
 * @estimate_ms: declared run time, often far off
 * @after: bit n set: all tasks of step n are done first
 * @per_worker: most tasks of the step on one worker, 0 for no limit
 * @allow_missing: tasks that planned work may keep away at a time
 * @target_ms: bound on the tail latency of a serving task, 0 for none
 * @worker_label: label that the worker must have, or empty
 * @data_rack: rack near the data, or empty
 * @image: what the tasks run; tasks of one image behave alike
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
 * struct job_spec - a job as its caller handed it in
 * @id: chosen by the caller
 * @queue: name of the queue
 * @service: pool of workers that run it
 * @priority: 0 comes first
 * @attempts_max: failed runs of one task that fail the job
 * @stretch_milli: objective against the longest chain, thousandths
 * @objective_ms: fixed part of the objective
 * @accepted_ms: ms since 1970
 * @repeat: occurrences, 0 for a job that runs once
 * @first_ms: due time of occurrence 0, ms since 1970
 * @interval_ms: between occurrences
 * @payload: handed to every task
 * @steps: struct job_step
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
 * job_spec_critical_path_ms() - declared length of the longest chain of steps,
 * ms
 */
uint32_t job_spec_critical_path_ms(const struct job_spec *s);

/**
 * job_spec_check() - whether the parts fit together
 *
 * Return: 0, or -EINVAL.
 */
int job_spec_check(const struct job_spec *s);

void job_spec_write(const struct job_spec *s, struct buf *out);

/**
 * job_spec_read() - decode what job_spec_write() wrote
 * @a: holds strings and steps
 *
 * Return: 0, or -EBADMSG.
 */
int job_spec_read(struct str text, struct job_spec *s, struct arena *a);

/**
 * enum job_state - what a caller is told about a job
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
 * struct step_progress - what is settled of one step of one occurrence
 * @done: bit set over the tasks, empty when none is done
 * @ordered: bit set over the tasks that may have been started
 * @failures: for each task a byte with its failed runs, then the low half of
 *            each one's number, low byte first; empty when none has failed
 * @all_done: every task is done; @done is left out
 */
struct step_progress {
	uint32_t occurrence;
	uint32_t step;
	uint32_t all_done;
	struct str done;
	struct str failures;
	struct str ordered;
};

/**
 * struct job_progress - what is settled of a job; each record is whole
 * @epoch: of the owner that wrote it
 * @state: enum job_state
 * @steps: struct step_progress
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
