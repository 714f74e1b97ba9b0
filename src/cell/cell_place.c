#include "cell/cell_place.h"

#include "cell/cell_crash.h"
#include "cell/cell_gang.h"
#include "cell/cell_late.h"
#include "cell/cell_plan.h"
#include "cell/cell_queue.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_room.h"
#include "cell/cell_task.h"
#include "cell/cell_worker.h"

/* A job without a placed task for this long is starved if less than this share
 * of its pool is in use. The platform counts such a job as lost after 3 s with
 * less than half of the pool in use. */
#define STARVED_MS 1200
#define STARVED_USE_PERCENT 55
/* A pass is broken off after this time, with the most urgent steps placed:
 * workers are not polled during a pass, and their leases last for some seconds.
 */
#define PASS_MAX_MS 250

enum cell_block cell_worker_block(const struct cell *c,
				  const struct cell_worker *w)
{
	if (!w->registered || !w->confirmed || !w->stored ||
	    !w->clock_received_ms)
		return BLOCK_UNCONFIRMED;
	if (w->entry.draining)
		return BLOCK_DRAINING;
	if (w->lease_frozen || w->missed_polls ||
	    c->now_ms - w->answered_ms >= WORKER_REACHABLE_MS)
		return BLOCK_SILENT;
	if (c->now_ms < w->backoff_until_ms)
		return BLOCK_BACKOFF;
	if (cell_crash_trial_blocks(c, w))
		return BLOCK_TRIAL;
	if (!c->ops->zone_open(c->ctx, w->entry.zone))
		return BLOCK_ZONE;
	return BLOCK_NONE;
}

/**
 * struct pass - state of one placement pass
 * @pool: service whose utilisation was computed last; 0 for none
 * @pool_underused: whether its utilisation was below STARVED_USE_PERCENT
 * @until_ms: it is broken off then
 */
struct pass {
	uint64_t pool;
	bool pool_underused;
	int64_t until_ms;
};

static bool is_over(const struct cell *c, const struct pass *p)
{
	return c->ops->now(c->ctx) >= p->until_ms;
}

static bool is_pool_underused(const struct cell *c, uint64_t service)
{
	uint64_t cpu = 0, used = 0, memory = 0, memory_used = 0;
	const struct cell_worker *w;

	for (w = c->workers; w; w = w->next) {
		if (w->service != service || !w->accepts_tasks)
			continue;
		cpu += w->entry.cpu;
		used += w->cpu_used;
		memory += w->entry.memory_mb;
		memory_used += w->memory_used;
	}
	return used * 100 < cpu * STARVED_USE_PERCENT &&
	       memory_used * 100 < memory * STARVED_USE_PERCENT;
}

/*
 * A starved job is placed in spite of interference: throttling keeps the
 * interference small, and otherwise the job might wait for ever.
 */
static bool is_starved(const struct cell *c, const struct cell_step *st,
		       uint64_t service, struct pass *p)
{
	if (!step_has_flag(st, STEP_BEST_EFFORT) || st->job->placed ||
	    c->now_ms - st->job->idle_since_ms < STARVED_MS)
		return false;
	if (p->pool != service) {
		p->pool = service;
		p->pool_underused = is_pool_underused(c, service);
	}
	return p->pool_underused;
}

static bool is_placeable(const struct cell *c, const struct cell_task *t)
{
	return t->state == TASK_WAITING && c->now_ms >= t->retry_at_ms &&
	       !cell_crash_is_held(c, t) && !cell_task_is_in_doubt(c, t) &&
	       !cell_late_holds(c, t);
}

uint64_t cell_job_service(const struct cell *c, const struct cell_job *j)
{
	const char *name = c->ops->queue_service(c->ctx, j->spec->queue);

	return name_hash(name ? name : j->spec->service);
}

uint64_t cell_step_service(const struct cell *c, const struct cell_step *st)
{
	return cell_job_service(c, st->job);
}

/* Places one task of a starved step, whatever the interference. */
static void place_starved(struct cell *c, struct cell_step *st,
			  uint64_t service)
{
	struct cell_worker *w;
	uint32_t i;

	if (!cell_quota_fits(c, st, 1))
		return;
	for (i = 0; i < st->spec->count; i++) {
		if (!is_placeable(c, &st->tasks[i]))
			continue;
		w = cell_choose_worker(c, &st->tasks[i], service, NULL, true);
		if (w)
			cell_task_place(c, &st->tasks[i], w);
		return;
	}
}

/* Tasks with crashes choose their workers one by one: no two share a worker
 * during their trials, so what keeps one from a worker says nothing of the
 * other tasks of its step. */
static void place_suspects(struct cell *c, struct cell_step *st,
			   uint64_t service)
{
	struct cell_worker *w;
	uint32_t i;

	if (!st->suspects)
		return;
	for (i = 0; i < st->spec->count; i++) {
		struct cell_task *t = &st->tasks[i];

		if (!t->suspected || !is_placeable(c, t))
			continue;
		if (!cell_quota_fits(c, st, 1))
			return;
		w = cell_choose_worker(c, t, service, NULL, false);
		if (!w)
			return;
		cell_task_place(c, t, w);
		w->accepts_tasks = !cell_crash_trial_blocks(c, w);
	}
}

/*
 * Places tasks of a step that fits on no other worker where plans admit them,
 * and plans the start of the rest.
 */
static void place_by_plans(struct cell *c, struct cell_step *st,
			   uint64_t service)
{
	struct cell_worker *w;
	uint32_t i;

	for (i = 0; c->plan_count && i < st->spec->count && st->waiting; i++) {
		if (st->tasks[i].suspected || !is_placeable(c, &st->tasks[i]))
			continue;
		if (!cell_quota_fits(c, st, 1))
			return;
		w = cell_plan_choose(c, &st->tasks[i], service);
		if (!w)
			break;
		cell_task_place(c, &st->tasks[i], w);
	}
	if (st->waiting)
		cell_plan_make(c, st, service);
}

/**
 * place_step() - place the tasks of a step
 * @within_share: only as long as its account stays within its share
 *
 * Return: false if tasks were left out for that reason.
 */
static bool place_step(struct cell *c, struct cell_step *st, struct pass *p,
		       bool within_share)
{
	uint64_t service = cell_step_service(c, st);
	struct cell_demand demand = cell_step_demand(st, service);
	bool is_filled = false, is_gang = step_has_flag(st, STEP_GANG);
	uint64_t since_version;
	uint32_t i;

	st->tried_ms = c->now_ms;
	if (within_share &&
	    cell_quota_is_over_share(st, is_gang ? st->spec->count : 1))
		return false;
	if (is_gang) {
		cell_place_gang(c, st, service);
		return true;
	}
	if (is_starved(c, st, service, p))
		place_starved(c, st, service);
	place_suspects(c, st, service);
	since_version = cell_step_no_fit_version(c, st, &demand);
	if (since_version == c->version) {
		place_by_plans(c, st, service);
		return true;
	}
	for (i = 0; i < st->spec->count && st->waiting; i++) {
		struct cell_task *t = &st->tasks[i];
		struct cell_worker *w;

		if (t->suspected || !is_placeable(c, t))
			continue;
		if (!cell_quota_fits(c, st, 1))
			break;
		if (within_share && cell_quota_is_over_share(st, 1))
			return false;
		if (!is_filled)
			cell_candidates_fill(c, t, service, since_version);
		is_filled = true;
		w = cell_candidates_take(c, t);
		if (!w) {
			cell_no_fit_record(c, st, &demand);
			if (cell_is_long_unplaced(c, st))
				cell_reserve_worker(c, st, service);
			place_by_plans(c, st, service);
			break;
		}
		cell_task_place(c, t, w);
	}
	return true;
}

/* Whether two steps differ at most in their deadlines. */
static bool is_same_class(const struct cell_queued_step *a,
			  const struct cell_queued_step *b)
{
	return a->lateness == b->lateness && a->priority == b->priority &&
	       a->long_running == b->long_running;
}

/*
 * Places the steps of one class. Tasks that bring an account above its share
 * come after all tasks of accounts within theirs, and take what these leave.
 *
 * Return: the number of steps; @n when the pass is broken off.
 */
static size_t place_class(struct cell *c, struct cell_queued_step *q, size_t n,
			  struct pass *p)
{
	size_t count = 0, deferred = 0, i;

	for (; count < n && is_same_class(&q[0], &q[count]); count++) {
		if (!place_step(c, q[count].step, p, true))
			q[deferred++] = q[count];
		if (is_over(c, p)) {
			c->place_due = true;
			return n;
		}
	}
	for (i = 0; i < deferred; i++)
		q[i].over_share = cell_quota_share_percent(q[i].step);
	cell_queue_sort(q, deferred);
	for (i = 0; i < deferred; i++)
		place_step(c, q[i].step, p, false);
	return count;
}

void cell_place(struct cell *c)
{
	struct cell_worker *w;
	size_t n, i;
	struct pass p;

	memset(&p, 0, sizeof(p));
	for (w = c->workers; w; w = w->next) {
		bool accepted = w->accepts_tasks;

		/* The result does not change within a pass. */
		w->accepts_tasks = cell_worker_block(c, w) == BLOCK_NONE;
		/* The end of a back-off, or its zone was opened. */
		if (w->accepts_tasks && !accepted)
			cell_worker_mark_changed(c, w);
	}
	c->place_due = false;
	if (!cell_late_has_room(c, 1)) {
		c->counts.starts_held_back++;
		return;
	}
	cell_plans_begin_pass(c);
	n = cell_queue_fill(c);
	cell_quota_begin_pass(c, n);
	p.until_ms = c->ops->now(c->ctx) + PASS_MAX_MS;
	for (i = 0; i < n;)
		i += place_class(c, c->queue + i, n - i, &p);
	cell_quota_end_pass(c);
}
