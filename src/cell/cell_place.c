#include "cell/cell_types.h"

/* A job with nothing at work for so long is starved if its pool is used less
 * than this: the platform calls it lost after 3 s, under half. */
#define STARVED_MS 1200
#define STARVED_USE_PERCENT 55

/* Settled once a pass: it does not change within one. */
static bool check_usable(const struct cell *c, const struct cell_worker *w)
{
	return w->present && w->confirmed && w->stored && !w->entry.draining &&
	       w->clock_ms && c->now_ms >= w->avoid_ms &&
	       c->now_ms - w->answered_ms < WORKER_FRESH_MS &&
	       c->ops->zone_open(c->ctx, w->entry.zone);
}

/**
 * struct pass - one pass of placement
 * @pool: service whose use was looked at last, and @pool_idle the answer
 */
struct pass {
	uint64_t pool;
	bool pool_idle;
};

static bool is_pool_idle(const struct cell *c, uint64_t service)
{
	uint64_t cpu = 0, used = 0, memory = 0, memory_used = 0;
	const struct cell_worker *w;

	for (w = c->workers; w; w = w->next) {
		if (w->service != service || !w->usable)
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
 * A job with nothing at work, while under half of its pool is in use, goes on
 * even where it harms: pacing keeps the harm small, and no job waits for ever.
 */
static bool is_starved(const struct cell *c, const struct cell_step *st,
		       uint64_t service, struct pass *p)
{
	if (!step_is(st, STEP_BEST_EFFORT) || st->job->placed ||
	    c->now_ms - st->job->idle_ms < STARVED_MS)
		return false;
	if (p->pool != service) {
		p->pool = service;
		p->pool_idle = is_pool_idle(c, service);
	}
	return p->pool_idle;
}

static uint64_t service_of(const struct cell *c, const struct cell_step *st)
{
	const char *name = c->ops->queue_service(c->ctx, st->job->spec->queue);

	return name_hash(name ? name : st->job->spec->service);
}

static void place_step(struct cell *c, struct cell_step *st, struct pass *p)
{
	uint64_t service = service_of(c, st);
	struct cell_miss need = cell_need(st, service), *known;
	uint64_t since;
	bool starved;
	uint32_t i;

	if (step_is(st, STEP_GANG)) {
		cell_place_gang(c, st, service);
		return;
	}
	known = cell_miss_find(c, &need);
	since = known ? known->version : 0;
	starved = is_starved(c, st, service, p);
	if (since == c->version && !starved)
		return;
	for (i = 0; i < st->spec->count && st->waiting; i++) {
		struct cell_task *t = &st->tasks[i];
		struct cell_worker *w;

		if (t->state != TASK_WAITING || c->now_ms < t->retry_ms ||
		    (c->uncertain && t->in_doubt))
			continue;
		w = cell_choose(c, t, service, NULL, starved,
				starved ? 0 : since);
		if (!w) {
			cell_miss_note(c, &need, known);
			if (cell_is_away_long(c, st))
				cell_keep_room(c, st, service);
			break;
		}
		starved = false;
		cell_task_place(c, t, w);
	}
}

void cell_place(struct cell *c)
{
	struct cell_worker *w;
	struct pass p;
	size_t n, i;

	memset(&p, 0, sizeof(p));
	for (w = c->workers; w; w = w->next)
		w->usable = check_usable(c, w);
	c->place_due = false;
	n = cell_queue_fill(c);
	for (i = 0; i < n; i++)
		place_step(c, c->queue[i].step, &p);
}
