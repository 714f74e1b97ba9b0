#include "cell/cell_plan.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"
#include "cell/cell_cost.h"
#include "cell/cell_job.h"
#include "cell/cell_queue.h"
#include "cell/cell_room.h"
#include "cell/cell_run_time.h"
#include "cell/cell_worker.h"

/* One worker in this many may have a plan. */
#define PLAN_SHARE 20
/* Plans made in one pass: the first steps that do not fit are the most urgent
 * ones of their class. */
#define PLANS_A_PASS 4
/* Time between two attempts to plan a step: each looks at all workers. */
#define PLAN_RETRY_MS 50
/* Shares of the tasks that end by the expected time and by the latest one. */
#define EXPECTED_SHARE 0.5
#define LATEST_SHARE 0.9
/* Least uncertainty of a planned start: ends are reported with a delay. */
#define UNCERTAINTY_MIN_MS 100
/* A long-running step that has waited for this long goes before plans. The
 * platform tolerates 3 s while there is free capacity. */
#define LONG_RUNNING_YIELD_MS 2000
/* A task that needs more than this multiple of the mean is large. */
#define LARGE_FACTOR 1.3
/* Plans are made no longer ahead than this. In a replay of a pool that lacks
 * processors for seconds, plans without this bound cost small tasks more than
 * large ones gained: 0.614 of the urgent jobs ended in time instead of 0.655.
 */
#define PLAN_AHEAD_MAX_MS 150
#define CORE 1000 /* thousandths */

static struct capacity need_of(const struct cell_step *st)
{
	struct capacity need = {st->spec->cpu, st->spec->memory_mb,
				st->spec->accelerators};

	return need;
}

static bool goes_first(const struct cell *c, const struct cell_step *st)
{
	if (step_has_flag(st, STEP_BEST_EFFORT))
		return true;
	return step_has_flag(st, STEP_LONG_RUNNING) &&
	       c->now_ms - cell_step_unplaced_since(st) >=
		       LONG_RUNNING_YIELD_MS;
}

static struct plan_claim claim_of(const struct cell *c,
				  const struct cell_step *st)
{
	struct plan_claim q = {cell_step_ref(st)};

	q.lateness = step_has_flag(st, STEP_LONG_RUNNING)
			     ? 0
			     : cell_job_lateness(c, st->job);
	q.priority = st->job->spec->priority;
	q.goes_first = goes_first(c, st);
	q.slack_ms = step_is_short(st) ? cell_step_slack_ms(c, st) : INT64_MAX;
	q.run_ms = step_is_short(st) ? cell_step_run_ms(c, st, LATEST_SHARE)
				     : INT32_MAX;
	q.need = need_of(st);
	return q;
}

static enum plan_answer ask(const struct cell *c, const struct cell_worker *w,
			    const struct cell_step *st)
{
	struct plan_claim q = claim_of(c, st);

	return place_plan_ask(&w->plan, &q, c->now_ms);
}

bool cell_plan_holds(const struct cell *c, const struct cell_worker *w,
		     const struct cell_step *st)
{
	return place_plan_exists(&w->plan) && ask(c, w, st) == PLAN_HOLDS;
}

static struct cell_step *find_step(const struct cell *c,
				   const struct step_ref *o)
{
	struct task_ref r = {0};
	struct cell_task *t;

	r.job = o->job;
	r.occurrence = o->occurrence;
	r.step = o->step;
	t = cell_task_find(c, &r);
	return t ? t->step : NULL;
}

static void remove_plan(struct cell *c, struct cell_worker *w)
{
	struct cell_step *st = find_step(c, &w->plan.owner);
	size_t i;

	if (st)
		st->planned -= w->plan.tasks;
	for (i = 0; c->plans[i] != w; i++)
		;
	c->plans[i] = c->plans[--c->plan_count];
	memset(&w->plan, 0, sizeof(w->plan));
	cell_worker_mark_changed(c, w);
}

void cell_plan_drop(struct cell *c, struct cell_worker *w, const char *reason)
{
	if (!place_plan_exists(&w->plan))
		return;
	c->counts.plans_dropped++;
	log_line(LOG_DEBUG, "planned start dropped",
		 "job=%016" PRIx64 " step=%u worker=%s reason=%s "
		 "start_in_ms=%lld uncertainty_ms=%lld",
		 w->plan.owner.job, w->plan.owner.step, w->entry.addr.id,
		 reason, (long long)(w->plan.start_ms - c->now_ms),
		 (long long)w->plan.uncertainty_ms);
	remove_plan(c, w);
}

/* Return: why a plan does not hold any more, or NULL. */
static const char *reason_to_drop(const struct cell *c,
				  const struct cell_worker *w)
{
	struct cell_step *st = find_step(c, &w->plan.owner);

	if (!w->accepts_tasks)
		return "worker";
	if (w->reserved_for && c->now_ms < w->reserved_until_ms)
		return "reserved";
	if (!st || st->waiting < st->planned ||
	    job_state_is_terminal(st->job->state))
		return "step";
	if (cell_job_lateness(c, st->job) || cell_step_slack_ms(c, st) < 0)
		return "late";
	return place_plan_is_overdue(&w->plan, c->now_ms) ? "overdue" : NULL;
}

void cell_plans_begin_pass(struct cell *c)
{
	size_t i = c->plan_count;

	c->plans_in_pass = 0;
	c->counts.cpu_planned = 0;
	while (i-- > 0) {
		struct cell_worker *w = c->plans[i];
		const char *reason = reason_to_drop(c, w);

		if (reason)
			cell_plan_drop(c, w, reason);
		else
			c->counts.cpu_planned += cell_worker_cpu_free(w);
	}
}

struct cell_worker *cell_plan_choose(struct cell *c, const struct cell_task *t,
				     uint64_t service)
{
	struct plan_claim q = claim_of(c, t->step);
	struct cell_worker *best = NULL;
	double cost, best_cost = 0;
	size_t i;

	for (i = 0; i < c->plan_count; i++) {
		struct cell_worker *w = c->plans[i];

		c->counts.examined++;
		if (place_plan_ask(&w->plan, &q, c->now_ms) == PLAN_HOLDS ||
		    cell_obstacle_of(c, w, t->step, service) != OBSTACLE_NONE ||
		    cell_placement_cost(c, t, w, false, &cost) ||
		    (best && cost >= best_cost))
			continue;
		best = w;
		best_cost = cost;
	}
	return best;
}

void cell_plan_started(struct cell *c, const struct cell_task *t,
		       struct cell_worker *w)
{
	struct plan_claim q = claim_of(c, t->step);
	enum plan_answer answer = place_plan_ask(&w->plan, &q, c->now_ms);

	if (answer == PLAN_IS_OWN) {
		c->counts.plans_kept++;
		t->step->planned--;
	} else if (answer == PLAN_BEFORE || answer == PLAN_BESIDE) {
		c->counts.backfilled++;
	}
	if (!place_plan_started(&w->plan, &q, answer))
		remove_plan(c, w);
}

/* Only what ends by itself is released. Best-effort tasks hold memory. */
static void fill_profile(const struct cell *c, const struct cell_worker *w,
			 const struct capacity *need, struct release_profile *p)
{
	struct capacity left = {(int64_t)w->entry.cpu - w->cpu_used,
				(int64_t)w->entry.memory_mb - w->memory_used,
				(int64_t)w->entry.accelerators -
					w->accelerators_used};
	bool lacks_memory = left.memory_mb < need->memory_mb;
	const struct cell_task *t;

	release_profile_init(p, c->now_ms, &left);
	for (t = w->first_task; t; t = t->next) {
		bool best_effort = step_has_flag(t->step, STEP_BEST_EFFORT);
		struct release r;

		if (step_has_flag(t->step, STEP_LONG_RUNNING) ||
		    (best_effort && !lacks_memory))
			continue;
		r.at_ms = c->now_ms +
			  cell_task_remaining_ms(c, t, EXPECTED_SHARE);
		r.late_ms =
			c->now_ms + cell_task_remaining_ms(c, t, LATEST_SHARE);
		r.capacity = need_of(t->step);
		if (best_effort)
			r.capacity.cpu = 0;
		release_profile_add(p, &r);
	}
}

/**
 * struct planned_worker - a worker that will have room for a task
 */
struct planned_worker {
	struct cell_worker *worker;
	struct release room;
};

static int planned_worker_cmp(const void *pa, const void *pb)
{
	const struct planned_worker *a = pa, *b = pb;

	return (a->room.at_ms > b->room.at_ms) -
	       (a->room.at_ms < b->room.at_ms);
}

static bool may_have_room(const struct cell_worker *w,
			  const struct cell_step *st)
{
	return w->accepts_tasks && !place_plan_exists(&w->plan) &&
	       !w->reserved_for &&
	       w->cpu_serving + st->spec->cpu <= w->entry.cpu &&
	       st->spec->memory_mb <= w->entry.memory_mb &&
	       cell_worker_has_label(w, st->spec->worker_label) &&
	       cell_may_add_task(st, w);
}

/* Return: the workers that will have room for a task, @n of them, the first one
 * first; the caller frees it. @all receives the workers of the pool. */
static struct planned_worker *find_workers(struct cell *c,
					   const struct cell_step *st,
					   uint64_t service, size_t *n,
					   size_t *all)
{
	struct capacity need = need_of(st);
	struct planned_worker *found;
	struct release_profile p;
	struct cell_worker *w;

	*n = *all = 0;
	for (w = c->workers; w; w = w->next)
		*all += w->service == service && w->accepts_tasks;
	found = xcalloc(*all + 1, sizeof(*found));
	for (w = c->workers; w; w = w->next) {
		c->counts.examined++;
		if (w->service != service || !may_have_room(w, st))
			continue;
		fill_profile(c, w, &need, &p);
		if (!release_profile_find(&p, &need, &found[*n].room))
			continue;
		found[(*n)++].worker = w;
	}
	qsort(found, *n, sizeof(*found), planned_worker_cmp);
	return found;
}

static uint32_t tasks_in(const struct planned_worker *p,
			 const struct cell_step *st, uint32_t most)
{
	const struct capacity *left = &p->room.capacity;
	uint64_t n = 1;

	if (!st->spec->per_worker && st->spec->cpu)
		n += (uint64_t)left->cpu / st->spec->cpu;
	if (st->spec->memory_mb &&
	    n > 1 + (uint64_t)left->memory_mb / st->spec->memory_mb)
		n = 1 + (uint64_t)left->memory_mb / st->spec->memory_mb;
	if (st->spec->accelerators)
		n = 1;
	return n < most ? (uint32_t)n : most;
}

static void add_plan(struct cell *c, struct cell_step *st,
		     const struct planned_worker *from, uint32_t tasks)
{
	struct place_plan *p = &from->worker->plan;
	uint32_t more = tasks - 1;

	p->owner = cell_step_ref(st);
	p->lateness = 0;
	p->priority = st->job->spec->priority;
	p->tasks = tasks;
	p->start_ms = from->room.at_ms;
	p->uncertainty_ms = from->room.late_ms - from->room.at_ms;
	if (p->uncertainty_ms < UNCERTAINTY_MIN_MS)
		p->uncertainty_ms = UNCERTAINTY_MIN_MS;
	p->spare = from->room.capacity;
	p->spare.cpu -= (int64_t)more * st->spec->cpu;
	p->spare.memory_mb -= (int64_t)more * st->spec->memory_mb;
	st->planned += tasks;
	c->plans[c->plan_count++] = from->worker;
	c->counts.plans_made++;
	log_line(LOG_DEBUG, "start planned",
		 "job=%016" PRIx64 " step=%u tasks=%u cpu=%u worker=%s "
		 "start_in_ms=%lld uncertainty_ms=%lld",
		 p->owner.job, p->owner.step, tasks, st->spec->cpu,
		 from->worker->entry.addr.id,
		 (long long)(p->start_ms - c->now_ms),
		 (long long)p->uncertainty_ms);
}

static size_t count_plans(const struct cell *c, uint64_t service)
{
	size_t n = 0, i;

	for (i = 0; i < c->plan_count; i++)
		n += c->plans[i]->service == service;
	return n;
}

/*
 * Plans the tasks that have no plan yet on the first of the workers found. A
 * part of a step is planned only where the pool allows for no more.
 */
static void plan_tasks(struct cell *c, struct cell_step *st,
		       const struct planned_worker *found, size_t n, size_t max,
		       size_t used)
{
	uint32_t need = st->waiting - st->planned, left = need;
	int64_t ahead = cell_step_slack_ms(c, st);
	size_t i, chosen = 0;

	if (ahead > PLAN_AHEAD_MAX_MS)
		ahead = PLAN_AHEAD_MAX_MS;

	while (left && chosen < n && chosen < max &&
	       found[chosen].room.at_ms - c->now_ms <= ahead)
		left -= tasks_in(&found[chosen++], st, left);
	if (left && (used || chosen < max))
		return;
	for (i = 0; i < chosen; i++) {
		uint32_t tasks = tasks_in(&found[i], st, need);

		add_plan(c, st, &found[i], tasks);
		need -= tasks;
	}
}

/* Smaller tasks get what is released without a plan. */
static bool is_large(struct cell *c, const struct cell_step *st,
		     uint64_t service)
{
	const struct pool_demand *d = cell_pool_demand(c, service);

	return d && st->spec->cpu > d->cpu * LARGE_FACTOR;
}

void cell_plan_make(struct cell *c, struct cell_step *st, uint64_t service)
{
	struct planned_worker *found;
	size_t n, all, max, used;

	if (!c->opt.look_ahead || !step_is_short(st) ||
	    step_has_flag(st, STEP_GANG) || st->planned >= st->waiting ||
	    c->plans_in_pass >= PLANS_A_PASS ||
	    c->now_ms - st->planned_ms < PLAN_RETRY_MS ||
	    cell_job_lateness(c, st->job) || cell_step_slack_ms(c, st) < 0 ||
	    !is_large(c, st, service))
		return;
	used = count_plans(c, service);
	st->planned_ms = c->now_ms;
	c->plans_in_pass++;
	found = find_workers(c, st, service, &n, &all);
	max = all / PLAN_SHARE;
	if (max > PLANS_MAX - c->plan_count + used)
		max = PLANS_MAX - c->plan_count + used;
	if (used < max)
		plan_tasks(c, st, found, n, max - used, used);
	free(found);
}

void cell_plans_log(struct cell *c)
{
	const struct cell_counts *n = &c->counts;

	if (!c->plan_count && n->plans_made == c->plans_logged)
		return;
	c->plans_logged = n->plans_made;
	log_line(LOG_INFO, "planned starts",
		 "workers=%zu idle_cpu=%" PRIu64 " made=%" PRIu64
		 " kept=%" PRIu64 " dropped=%" PRIu64 " backfilled=%" PRIu64,
		 c->plan_count, n->cpu_planned / CORE, n->plans_made,
		 n->plans_kept, n->plans_dropped, n->backfilled);
}
