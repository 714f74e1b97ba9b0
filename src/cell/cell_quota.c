#include "cell/cell_quota.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"

/* Least time between two log lines on one account, and the lines of a pass. */
#define BLOCKED_LOG_MS 5000
#define BLOCKED_LOG_MAX 8

void cell_quota_add_job(struct cell *c, struct cell_job *j)
{
	if (!j->spec->account[0])
		return;
	j->quota = quota_table_get(&c->quotas, j->spec->account);
	j->quota->jobs++;
}

void cell_quota_hold(struct cell_task *t)
{
	struct cell_job *j = t->step->job;
	struct demand d = demand_of_step(t->step->spec);

	if (!j->quota || t->in_quota)
		return;
	t->in_quota = true;
	j->held++;
	quota_add_run(j->quota, &d);
}

void cell_quota_release(struct cell *c, struct cell_task *t)
{
	struct cell_job *j = t->step->job;
	struct demand d = demand_of_step(t->step->spec);

	if (!t->in_quota)
		return;
	t->in_quota = false;
	j->held--;
	quota_remove_run(j->quota, &d);
	c->place_due = true;
}

static void step_release(struct cell *c, struct cell_step *st)
{
	uint32_t i;

	for (i = 0; i < st->spec->count; i++)
		cell_quota_release(c, &st->tasks[i]);
}

void cell_quota_remove_job(struct cell *c, struct cell_job *j)
{
	uint32_t k;
	size_t s;

	if (!j->quota)
		return;
	for (k = 0; j->held && k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++)
			step_release(c, &j->occurrences[k].steps[s]);
	j->quota->jobs--;
	j->quota = NULL;
}

void cell_quota_hold_orphan(struct cell *c, struct cell_worker *w,
			    const struct task_ref *ref)
{
	const struct job_entry *e = job_view_get(c->view, ref->job);
	struct cell_orphan *o;

	if (!e || !e->spec || !e->spec->account[0] ||
	    ref->step >= e->spec->steps.count)
		return;
	o = xcalloc(1, sizeof(*o));
	o->quota = quota_table_get(&c->quotas, e->spec->account);
	o->demand = demand_of_step(job_spec_step(e->spec, ref->step));
	quota_add_run(o->quota, &o->demand);
	o->next = w->orphans;
	w->orphans = o;
}

void cell_quota_release_orphans(struct cell *c, struct cell_worker *w)
{
	while (w->orphans) {
		struct cell_orphan *o = w->orphans;

		w->orphans = o->next;
		quota_remove_run(o->quota, &o->demand);
		free(o);
		c->place_due = true;
	}
}

void cell_quota_refresh(struct cell *c)
{
	const struct account_table *t;
	struct quota *q;

	if (!c->quotas.first)
		return;
	t = c->ops->accounts(c->ctx);
	c->has_accounts = t != NULL;
	for (q = c->quotas.first; t && q; q = q->next) {
		const struct account *a = account_table_find(t, q->name);

		/* An account that is no longer listed keeps its last limits. */
		if (a)
			quota_set_limits(q, a);
	}
}

void cell_quota_begin_pass(struct cell *c)
{
	struct quota *q;

	cell_quota_refresh(c);
	for (q = c->quotas.first; q; q = q->next)
		q->is_blocked = false;
}

void cell_quota_end_pass(struct cell *c)
{
	size_t lines = 0, omitted = 0;
	struct quota *q;

	for (q = c->quotas.first; q; q = q->next) {
		if (!q->is_blocked ||
		    (q->blocked_ms &&
		     c->now_ms - q->blocked_ms < BLOCKED_LOG_MS))
			continue;
		q->blocked_ms = c->now_ms;
		if (lines++ >= BLOCKED_LOG_MAX) {
			omitted++;
			continue;
		}
		log_line(LOG_INFO, "account at its limit: tasks wait",
			 "account=%s runs=%u cpu=%" PRIu64 " cpu_max=%" PRIu64
			 " memory_mb=%" PRIu64 " memory_max_mb=%" PRIu64
			 " accelerators=%" PRIu64 " accelerators_max=%" PRIu64
			 " config_read=%d",
			 q->name, q->runs, q->taken.cpu, q->max.cpu,
			 q->taken.memory_mb, q->max.memory_mb,
			 q->taken.accelerators, q->max.accelerators,
			 c->has_accounts);
	}
	if (omitted)
		log_line(LOG_INFO, "more accounts at their limits",
			 "omitted=%zu", omitted);
}

bool cell_quota_fits(struct cell *c, const struct cell_step *st, uint32_t count)
{
	struct demand d = demand_of_step(st->spec);
	struct quota *q = st->job->quota;

	if (!q || (c->has_accounts && quota_fits(q, &d, count)))
		return true;
	q->is_blocked = true;
	return false;
}

bool cell_quota_may_start(const struct cell_task *t)
{
	const struct quota *q = t->step->job->quota;

	return !q || q->runs == 1 || !quota_is_exceeded(q);
}
