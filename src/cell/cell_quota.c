#include "cell/cell_quota.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"

/* Least time between two log lines on one account, and the lines of a pass. */
#define BLOCKED_LOG_MS 5000
#define BLOCKED_LOG_MAX 8
/* The workers count as full for this long after a task found none. */
#define FULL_KEEP_MS 1000

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
	const struct job_spec *s;
	struct cell_orphan *o;
	struct arena a;

	arena_init(&a);
	s = e ? job_entry_spec(e, &a) : NULL;
	if (s && s->account[0] && ref->step < s->steps.count) {
		o = xcalloc(1, sizeof(*o));
		o->quota = quota_table_get(&c->quotas, s->account);
		o->demand = demand_of_step(job_spec_step(s, ref->step));
		quota_add_run(o->quota, &o->demand);
		o->next = w->orphans;
		w->orphans = o;
	}
	arena_finish(&a);
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

static uint64_t demand_up_to(uint64_t wanted, uint64_t max, uint64_t taken)
{
	if (max && wanted > max)
		wanted = max;
	return wanted > taken ? wanted : taken;
}

static void sum_wanted(struct cell *c, size_t queued)
{
	struct quota *q;
	size_t i;

	for (q = c->quotas.first; q; q = q->next)
		q->wanted = q->taken;
	for (i = 0; i < queued; i++) {
		const struct cell_step *st = c->queue[i].step;

		q = st->job->quota;
		if (!q)
			continue;
		q->wanted.cpu += (uint64_t)st->spec->cpu * st->waiting;
		q->wanted.memory_mb +=
			(uint64_t)st->spec->memory_mb * st->waiting;
	}
	for (q = c->quotas.first; q; q = q->next) {
		q->wanted.cpu =
			demand_up_to(q->wanted.cpu, q->max.cpu, q->taken.cpu);
		q->wanted.memory_mb =
			demand_up_to(q->wanted.memory_mb, q->max.memory_mb,
				     q->taken.memory_mb);
	}
}

/*
 * What the tasks of all accounts can take: what they take now, and what is
 * free, unless tasks have found no worker lately. The interference of
 * best-effort tasks, labels and fragments leave capacity free that no waiting
 * task can use.
 */
static struct demand shared_capacity(const struct cell *c)
{
	const struct cell_worker *w;
	struct demand sum = {0};
	const struct quota *q;

	for (q = c->quotas.first; q; q = q->next) {
		sum.cpu += q->taken.cpu;
		sum.memory_mb += q->taken.memory_mb;
	}
	if (c->full_at_ms && c->now_ms - c->full_at_ms < FULL_KEEP_MS)
		return sum;
	for (w = c->workers; w; w = w->next) {
		if (!w->accepts_tasks)
			continue;
		sum.cpu += cell_worker_cpu_free(w);
		if (w->memory_used < w->entry.memory_mb)
			sum.memory_mb += w->entry.memory_mb - w->memory_used;
	}
	return sum;
}

static void divide(struct cell *c, size_t offset, uint64_t capacity)
{
	size_t n = 0, i;
	struct quota *q;

	for (q = c->quotas.first; q; q = q->next) {
		const char *wanted = (const char *)&q->wanted + offset;
		struct fair_share *s = &c->shares[n++];

		s->weight = q->weight ? q->weight : 1;
		memcpy(&s->demand, wanted, sizeof(s->demand));
		s->owner = (char *)&q->share + offset;
	}
	fair_share_divide(c->shares, n, capacity);
	for (i = 0; i < n; i++)
		memcpy(c->shares[i].owner, &c->shares[i].share,
		       sizeof(c->shares[i].share));
}

void cell_quota_begin_pass(struct cell *c, size_t queued)
{
	struct demand capacity;
	struct quota *q;

	if (!c->quotas.first)
		return;
	cell_quota_refresh(c);
	for (q = c->quotas.first; q; q = q->next)
		q->is_blocked = false;
	if (c->share_cap < c->quotas.count) {
		c->share_cap = c->quotas.count * 2;
		c->shares =
			xrealloc(c->shares, c->share_cap * sizeof(*c->shares));
	}
	sum_wanted(c, queued);
	capacity = shared_capacity(c);
	divide(c, offsetof(struct demand, cpu), capacity.cpu);
	divide(c, offsetof(struct demand, memory_mb), capacity.memory_mb);
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

bool cell_quota_is_over_share(const struct cell_step *st, uint32_t count)
{
	struct demand d = demand_of_step(st->spec);
	const struct quota *q = st->job->quota;

	return q &&
	       (q->taken.cpu + d.cpu * count > q->share.cpu ||
		q->taken.memory_mb + d.memory_mb * count > q->share.memory_mb);
}

static uint32_t percent_of(uint64_t taken, uint64_t share)
{
	uint64_t percent = taken * 100 / (share ? share : 1);

	return percent < UINT32_MAX ? (uint32_t)percent : UINT32_MAX;
}

uint32_t cell_quota_share_percent(const struct cell_step *st)
{
	const struct quota *q = st->job->quota;
	uint32_t cpu, memory;

	if (!q)
		return 0;
	cpu = percent_of(q->taken.cpu, q->share.cpu);
	memory = percent_of(q->taken.memory_mb, q->share.memory_mb);
	return cpu > memory ? cpu : memory;
}

bool cell_quota_may_start(const struct cell_task *t)
{
	const struct quota *q = t->step->job->quota;

	return !q || q->runs == 1 || !quota_is_exceeded(q);
}
