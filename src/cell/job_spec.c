#include "cell/job_spec.h"

#include <errno.h>
#include <stdlib.h>

#define STEP(kind, member) FIELD_OF(kind, job_step, member)
#define SPEC(kind, member) FIELD_OF(kind, job_spec, member)
#define PART(kind, member) FIELD_OF(kind, step_progress, member)

static const struct field step_rows[] = {
	STEP(U32, count),         STEP(U32, cpu),
	STEP(U32, memory_mb),     STEP(U32, accelerators),
	STEP(U32, estimate_ms),   STEP(U32, flags),
	STEP(U64, after),         STEP(U32, per_worker),
	STEP(U32, allow_missing), STEP(U32, target_ms),
	STEP(NAME, worker_label), STEP(NAME, data_rack),
	STEP(NAME, image),
};

static const struct shape step_shape = SHAPE_OF(step_rows, job_step);

static const struct field spec_rows[] = {
	SPEC(U64, id),
	SPEC(NAME, queue),
	SPEC(NAME, service),
	SPEC(U32, priority),
	SPEC(U32, attempts_max),
	SPEC(U32, stretch_milli),
	SPEC(U32, objective_ms),
	SPEC(I64, accepted_ms),
	SPEC(U32, repeat),
	SPEC(I64, first_ms),
	SPEC(I64, interval_ms),
	SPEC(STR, payload),
	FIELD_LIST_OF(job_spec, steps, &step_shape),
	SPEC(NAME, account),
};

static const struct shape spec_shape = SHAPE_OF(spec_rows, job_spec);

static const struct field part_rows[] = {
	PART(U32, occurrence), PART(U32, step),     PART(U32, all_done),
	PART(STR, done),       PART(STR, failures), PART(STR, ordered),
	PART(STR, workers),    PART(STR, crashes),  PART(STR, checkpoints),
	PART(U32, last_run),
};

static const struct shape part_shape = SHAPE_OF(part_rows, step_progress);

static const struct field progress_rows[] = {
	FIELD_OF(U64, job_progress, epoch),
	FIELD_OF(U32, job_progress, state),
	FIELD_LIST_OF(job_progress, steps, &part_shape),
};

static const struct shape progress_shape =
	SHAPE_OF(progress_rows, job_progress);

/* Greatest start time, as a distance from 1970, and greatest distance of the
 * last due time from it: their sum stays far from the limits of 64 bits. */
#define JOB_TIME_MAX_MS (INT64_MAX / 4)

/* Thousandths of a core times milliseconds. */
#define CORE_SECOND 1e6

uint32_t job_spec_critical_path_ms(const struct job_spec *s)
{
	uint32_t end[JOB_STEPS_MAX] = {0}, longest = 0;
	size_t i, k;

	for (i = 0; i < s->steps.count && i < JOB_STEPS_MAX; i++) {
		const struct job_step *st = job_spec_step(s, i);

		for (k = 0; k < i; k++)
			if ((st->after >> k & 1) && end[k] > end[i])
				end[i] = end[k];
		end[i] += st->estimate_ms;
		if (end[i] > longest)
			longest = end[i];
	}
	return longest;
}

uint64_t job_spec_core_seconds(const struct job_spec *s)
{
	double work = 0; /* may exceed 64 bits */
	size_t i;

	for (i = 0; i < s->steps.count; i++) {
		const struct job_step *st = job_spec_step(s, i);

		work += (double)st->count * st->cpu * st->estimate_ms;
	}
	return (uint64_t)(work * job_spec_occurrence_count(s) / CORE_SECOND +
			  0.5);
}

bool job_spec_is_short(const struct job_spec *s)
{
	size_t i;

	for (i = 0; i < s->steps.count; i++)
		if (job_spec_step(s, i)->flags &
		    (STEP_LONG_RUNNING | STEP_BEST_EFFORT))
			return false;
	return !s->repeat;
}

static bool has_valid_due_times(const struct job_spec *s)
{
	int64_t interval_max_ms = JOB_TIME_MAX_MS / JOB_TASKS_STORED_MAX;

	return s->first_ms <= JOB_TIME_MAX_MS &&
	       s->first_ms >= -JOB_TIME_MAX_MS &&
	       s->interval_ms <= interval_max_ms &&
	       s->interval_ms >= -interval_max_ms;
}

static int check_with_limit(const struct job_spec *s, uint32_t tasks_max)
{
	uint64_t tasks = 0;
	size_t i;

	if (!s->steps.count || s->steps.count > JOB_STEPS_MAX ||
	    !has_valid_due_times(s))
		return -EINVAL;
	for (i = 0; i < s->steps.count; i++) {
		const struct job_step *st = job_spec_step(s, i);

		if (!st->count || st->after >> i)
			return -EINVAL;
		tasks += st->count;
	}
	/* A product of the two may exceed 64 bits. */
	return tasks <= tasks_max / job_spec_occurrence_count(s) ? 0 : -EINVAL;
}

int job_spec_check(const struct job_spec *s)
{
	return check_with_limit(s, JOB_TASKS_MAX);
}

void job_spec_write(const struct job_spec *s, struct buf *out)
{
	shape_write(&spec_shape, s, out);
}

int job_spec_read(struct str text, struct job_spec *s, struct arena *a)
{
	int err = shape_read(&spec_shape, text, s, a);

	if (!err && check_with_limit(s, JOB_TASKS_STORED_MAX))
		err = -EBADMSG;
	return err;
}

struct job_spec *job_spec_copy(const struct job_spec *from, struct arena *a)
{
	size_t bytes = from->steps.count * sizeof(struct job_step);
	struct job_spec *to;

	arena_reserve(a, arena_size(sizeof(*to)) + arena_size(bytes) +
				 arena_size(from->payload.len + 1));
	to = arena_alloc(a, sizeof(*to));
	*to = *from;
	to->steps.items = arena_alloc(a, bytes);
	if (bytes)
		memcpy(to->steps.items, from->steps.items, bytes);
	to->payload = arena_str(a, from->payload.data, from->payload.len);
	return to;
}

void job_spec_write_demand(const struct job_spec *s, struct buf *out)
{
	struct job_spec demand = {0};
	struct job_step *steps;
	size_t i;

	steps = xcalloc(s->steps.count, sizeof(*steps));
	for (i = 0; i < s->steps.count; i++) {
		const struct job_step *st = job_spec_step(s, i);

		steps[i].count = st->count;
		steps[i].cpu = st->cpu;
		steps[i].memory_mb = st->memory_mb;
		steps[i].accelerators = st->accelerators;
		steps[i].flags = st->flags;
	}
	demand.id = s->id;
	name_set(demand.account, s->account);
	demand.repeat = s->repeat;
	demand.steps.items = steps;
	demand.steps.count = s->steps.count;
	shape_write(&spec_shape, &demand, out);
	free(steps);
}

bool step_progress_may_run(const struct step_progress *p)
{
	size_t i;

	if (p->all_done)
		return false;
	for (i = 0; i < p->ordered.len; i++) {
		unsigned int done =
			i < p->done.len ? (uint8_t)p->done.data[i] : 0;

		if ((uint8_t)p->ordered.data[i] & ~done)
			return true;
	}
	return false;
}

const char *job_state_name(enum job_state s)
{
	static const char *const names[] = {
		[JOB_QUEUED] = "queued",       [JOB_RUNNING] = "running",
		[JOB_COMPLETED] = "completed", [JOB_FAILED] = "failed",
		[JOB_CANCELLED] = "cancelled",
	};

	return names[s];
}

void job_progress_write(const struct job_progress *p, struct buf *out)
{
	shape_write(&progress_shape, p, out);
}

int job_progress_read(struct str text, struct job_progress *p, struct arena *a)
{
	return shape_read(&progress_shape, text, p, a);
}
