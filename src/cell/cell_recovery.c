#include "cell/cell_recovery.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_job.h"
#include "cell/cell_lease.h"
#include "cell/cell_quota.h"

/* Least time between two passes over the tasks in doubt. */
#define DOUBTS_PERIOD_MS 50

uint16_t cell_worker_ref(const struct cell_worker *w)
{
	return (uint16_t)(w->id % (WORKER_REF_UNKNOWN - 1) + 1);
}

void cell_recovery_expect(struct cell *c, struct cell_worker *w,
			  int64_t leases_end_ms)
{
	w->former_leases_end_ms = c->now_ms + c->opt.takeover_ms;
	w->former_leases_born = 0;
	if (leases_end_ms) {
		w->former_leases_end_ms = leases_end_ms;
		w->former_leases_born = w->entry.born;
	}
	if (w->unheard)
		return;
	w->unheard = true;
	c->unheard_by_ref[cell_worker_ref(w)]++;
	c->unheard++;
}

void cell_recovery_resolve(struct cell *c, struct cell_worker *w)
{
	if (!w->unheard)
		return;
	w->unheard = false;
	c->unheard_by_ref[cell_worker_ref(w)]--;
	c->unheard--;
	c->doubts_ended = true;
	c->place_due = true;
	if (!c->unheard)
		log_line(LOG_INFO, "all workers of the previous owner resolved",
			 "epoch=%" PRIu64, c->epoch);
}

void cell_recovery_expire(struct cell *c, struct cell_worker *w)
{
	if (!w->unheard)
		return;
	/* A new process may have carried out a late start of a former owner. */
	if (w->former_leases_born && w->former_leases_born != w->entry.born)
		cell_recovery_expect(c, w, 0);
	if (cell_lease_left_ms(c, w) >= 0)
		return;
	log_line(LOG_WARN,
		 "worker of the previous owner not reached; its leases have "
		 "expired",
		 "epoch=%" PRIu64 " worker=%s registered=%d", c->epoch,
		 w->entry.addr.id, w->registered);
	cell_recovery_resolve(c, w);
}

bool cell_task_is_in_doubt(const struct cell *c, const struct cell_task *t)
{
	if (t->doubt_ref == WORKER_REF_UNKNOWN)
		return c->unheard > 0;
	return t->doubt_ref && c->unheard_by_ref[t->doubt_ref];
}

static uint32_t step_count_in_doubt(const struct cell *c,
				    const struct cell_step *st)
{
	uint32_t i, n = 0;

	for (i = 0; st->waiting && i < st->spec->count; i++)
		n += st->tasks[i].state == TASK_WAITING &&
		     cell_task_is_in_doubt(c, &st->tasks[i]);
	return n;
}

static uint32_t job_count_in_doubt(const struct cell *c,
				   const struct cell_job *j)
{
	uint32_t k, n = 0;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++)
			n += step_count_in_doubt(c,
						 &j->occurrences[k].steps[s]);
	return n;
}

uint32_t cell_recovery_count_tasks(const struct cell *c)
{
	const struct cell_job *j;
	uint32_t n = 0;

	for (j = c->jobs; c->unheard && j; j = j->next)
		n += job_count_in_doubt(c, j);
	return n;
}

static bool may_have_doubts(const struct cell_step *st)
{
	return st->waiting || st->job->held;
}

static void step_end_doubts(struct cell *c, struct cell_step *st)
{
	uint32_t i;

	for (i = 0; may_have_doubts(st) && i < st->spec->count; i++) {
		struct cell_task *t = &st->tasks[i];

		if (!t->doubt_ref || cell_task_is_in_doubt(c, t))
			continue;
		t->doubt_ref = WORKER_REF_NONE;
		if (!t->worker)
			cell_quota_release(c, t);
		if (!job_state_is_terminal(st->job->state))
			cell_job_mark_dirty(c, st->job);
	}
}

void cell_recovery_tick(struct cell *c)
{
	struct cell_job *j;
	uint32_t k;
	size_t s;

	if (!c->doubts_ended || c->now_ms < c->doubts_due_ms)
		return;
	c->doubts_ended = false;
	c->doubts_due_ms = c->now_ms + DOUBTS_PERIOD_MS;
	for (j = c->jobs; j; j = j->next)
		for (k = 0; (j->waiting || j->held) && k < j->count; k++)
			for (s = 0; j->occurrences[k].open && s < j->steps; s++)
				step_end_doubts(c, &j->occurrences[k].steps[s]);
}

void cell_recovery_log(const struct cell *c)
{
	const struct cell_worker *w = c->workers;

	if (!c->unheard)
		return;
	while (!w->unheard)
		w = w->next;
	log_line(LOG_INFO, "tasks of the previous owner in doubt",
		 "epoch=%" PRIu64 " in_doubt=%u unheard=%u worker=%s "
		 "registered=%d left_ms=%lld",
		 c->epoch, cell_recovery_count_tasks(c), c->unheard,
		 w->entry.addr.id, w->registered,
		 (long long)cell_lease_left_ms(c, w));
}
