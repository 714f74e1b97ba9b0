#include "cell/cell_account.h"

#include <stdio.h>

#include "cell/cell_queue.h"
#include "cell/cell_recovery.h"

/* Least time between two updates of the time sums of all jobs, for each of this
 * many jobs: an update looks at all their tasks. */
#define ACCOUNT_PERIOD_MS 50
#define ACCOUNT_JOBS 1000

static const char *const names[TIME_KINDS] = {
	[TIME_IN_DOUBT] = "in_doubt", [TIME_NO_PLACE] = "no_place",
	[TIME_PAUSED] = "paused",     [TIME_STORING] = "storing",
	[TIME_ORDERED] = "ordered",   [TIME_STOPPING] = "stopping",
	[TIME_SLOWED] = "slowed",     [TIME_RUNNING] = "running",
};

static enum job_time waiting_kind(const struct cell *c,
				  const struct cell_task *t)
{
	if (cell_task_is_in_doubt(c, t))
		return TIME_IN_DOUBT;
	return c->now_ms < t->retry_at_ms ? TIME_PAUSED : TIME_NO_PLACE;
}

static enum job_time task_kind(const struct cell *c, const struct cell_task *t)
{
	switch (t->state) {
	case TASK_STORING:
		return TIME_STORING;
	case TASK_STARTING:
		return TIME_ORDERED;
	case TASK_STOPPING:
		return TIME_STOPPING;
	case TASK_RUNNING:
		return t->pace < PACE_FULL ? TIME_SLOWED : TIME_RUNNING;
	default:
		return waiting_kind(c, t);
	}
}

static enum job_time step_kind(const struct cell *c, const struct cell_step *st)
{
	enum job_time kind = TIME_RUNNING;
	uint32_t i;

	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];

		enum job_time own = task_kind(c, t);

		if (t->state != TASK_DONE && own < kind)
			kind = own;
		/* Only doubt counts before that, and it ends with recovery. */
		if (kind == TIME_NO_PLACE && !c->unheard)
			break;
	}
	return kind;
}

static enum job_time job_kind(const struct cell *c, const struct cell_job *j)
{
	enum job_time kind = TIME_RUNNING, own;
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++) {
			const struct cell_step *st =
				&j->occurrences[k].steps[s];

			if (st->done == st->spec->count ||
			    !cell_step_is_ready(st))
				continue;
			own = step_kind(c, st);
			if (own < kind)
				kind = own;
		}
	return kind;
}

void cell_account_update(struct cell *c)
{
	int64_t passed = c->now_ms - c->accounted_ms;
	struct cell_job *j;

	if (passed < ACCOUNT_PERIOD_MS * (1 + c->counts.jobs / ACCOUNT_JOBS))
		return;
	c->accounted_ms = c->now_ms;
	for (j = c->jobs; j; j = j->next)
		if (!job_state_is_terminal(j->state) && !j->spec->repeat)
			j->spent_ms[job_kind(c, j)] += (uint32_t)passed;
}

void cell_account_write(const struct cell_job *j, char *out, size_t size)
{
	size_t used = 0, i;

	out[0] = 0;
	for (i = 0; i < TIME_KINDS && used < size; i++)
		used += (size_t)snprintf(out + used, size - used, " %s_ms=%u",
					 names[i], j->spent_ms[i]);
}
