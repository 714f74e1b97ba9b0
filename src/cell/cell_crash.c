#include "cell/cell_crash.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_job.h"

/* A run that its worker reports this long after its start has not crashed it.
 */
#define CRASH_SETTLE_MS 500
/* Crashes after which a task is given up if no other job's run can have caused
 * the last one, and in any case. */
#define CRASHES_MIN 2
#define CRASHES_MAX 3
/* A worker takes no other tasks during a trial, as long as no more than one
 * worker in this many has one. */
#define TRIAL_SHARE 4

static void trial_begin(struct cell *c, struct cell_task *t)
{
	t->on_trial = true;
	t->worker->trials++;
	c->trials++;
}

static void trial_end(struct cell *c, struct cell_task *t)
{
	if (!t->on_trial)
		return;
	t->on_trial = false;
	t->worker->trials--;
	c->trials--;
	c->place_due = true;
}

void cell_crash_attach(struct cell *c, struct cell_task *t)
{
	t->settled = false;
	t->started_clock = 0;
	t->crash_doubt = DOUBT_NONE;
	if (t->crashes)
		trial_begin(c, t);
}

void cell_crash_detach(struct cell *c, struct cell_task *t)
{
	trial_end(c, t);
}

void cell_crash_started(struct cell_task *t, int64_t clock)
{
	if (!t->started_clock)
		t->started_clock = clock;
}

static void set_crashes(struct cell *c, struct cell_task *t, uint8_t n)
{
	t->step->suspects += (n != 0) - (t->crashes != 0);
	t->crashes = n;
	cell_job_mark_dirty(c, t->step->job);
}

void cell_crash_reported(struct cell *c, struct cell_task *t, int64_t clock)
{
	cell_crash_started(t, clock);
	t->crash_doubt = DOUBT_NONE;
	if (t->settled || clock - t->started_clock < CRASH_SETTLE_MS)
		return;
	t->settled = true;
	trial_end(c, t);
	if (t->crashes)
		set_crashes(c, t, 0);
}

/* Whether the run may have been active and has not been seen to settle. */
static bool is_unsettled(const struct cell_task *t)
{
	return t->state != TASK_STORING && !t->settled;
}

uint32_t cell_crash_unsettled(const struct cell_worker *w)
{
	const struct cell_task *t;
	uint32_t n = 0;

	for (t = w->first_task; t; t = t->next)
		n += is_unsettled(t);
	return n;
}

bool cell_crash_may_share(const struct cell_task *t,
			  const struct cell_worker *w)
{
	return !t->crashes || !w->trials;
}

bool cell_crash_trial_blocks(const struct cell *c, const struct cell_worker *w)
{
	return w->trials &&
	       (uint64_t)c->trials * TRIAL_SHARE <= index_count(&c->worker_ids);
}

/* The job whose runs are the only unsettled ones on a worker; NULL if there is
 * none or more than one. */
static const struct cell_job *only_unsettled_job(const struct cell_worker *w)
{
	const struct cell_job *j = NULL;
	const struct cell_task *t;

	for (t = w->first_task; t; t = t->next) {
		if (!is_unsettled(t))
			continue;
		if (j && j != t->step->job)
			return NULL;
		j = t->step->job;
	}
	return j;
}

/* The start of a run that is neither confirmed nor reported may not have
 * reached the worker. */
static bool is_conclusive(const struct cell_task *t,
			  const struct cell_job *only)
{
	return only == t->step->job && t->started_clock;
}

static void charge(struct cell *c, struct cell_task *t, bool alone)
{
	struct cell_job *j = t->step->job;

	t->crash_doubt = DOUBT_NONE;
	if (job_state_is_terminal(j->state) || !is_unsettled(t))
		return;
	set_crashes(c, t, t->crashes + 1);
	log_line(LOG_WARN, "worker crashed under a task",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s "
		 "crashes=%u alone=%d",
		 j->entry->id, t->step->number, t->index, t->run,
		 t->worker->entry.addr.id, t->crashes, alone);
	if (t->crashes < CRASHES_MAX && (t->crashes < CRASHES_MIN || !alone))
		return;
	log_line(LOG_WARN, "task given up: workers crashed under it",
		 "job=%016" PRIx64 " step=%u index=%u crashes=%u", j->entry->id,
		 t->step->number, t->index, t->crashes);
	cell_job_settle(c, j, JOB_FAILED);
}

void cell_crash_charge(struct cell *c, struct cell_worker *w)
{
	const struct cell_job *only = only_unsettled_job(w);
	struct cell_task *t, *next;

	if (w->entry.draining)
		return;
	for (t = w->first_task; t; t = next) {
		next = t->next;
		charge(c, t, is_conclusive(t, only));
	}
}

void cell_crash_charge_listed(struct cell *c, struct cell_worker *w)
{
	const struct cell_job *only = only_unsettled_job(w);
	struct cell_task *t, *next;

	if (w->entry.draining)
		return;
	for (t = w->first_task; t; t = next) {
		bool alone = is_conclusive(t, only);

		next = t->next;
		if (t->reported_ms)
			charge(c, t, alone);
		else if (t->state != TASK_STORING)
			t->crash_doubt = alone ? DOUBT_ALONE : DOUBT_SHARED;
	}
}

void cell_crash_charge_lost(struct cell *c, struct cell_task *t)
{
	if (t->crash_doubt)
		charge(c, t, t->crash_doubt == DOUBT_ALONE);
}
