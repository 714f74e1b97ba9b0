#include "cell/cell_types.h"

#include <errno.h>
#include <stdlib.h>

/* A job with nothing at work for so long is starved if its pool is used less
 * than this: the platform calls it lost after 3 s, under half. */
#define STARVED_MS 1200
#define STARVED_USE_PERCENT 55
/* A task that lasts and is away for so long goes before short work, and room
 * is kept for it: the platform bears six seconds, and three with room. */
#define AWAY_MS 4000
/* Room is kept for so long before another worker is looked for. */
#define KEEP_ROOM_MS 1500
/* One worker in so many may be kept at a time. */
#define KEEP_ROOM_SHARE 20
/* Work that ends past this multiple of its objective earns its caller
 * nothing: it waits behind all other work. */
#define HOPELESS_MULTIPLE 3

bool cell_step_ready(const struct cell_step *st)
{
	const struct cell_occurrence *o = &st->job->occurrences[st->occurrence];
	size_t k;

	for (k = 0; k < st->job->steps; k++)
		if ((st->spec->after >> k & 1) &&
		    o->steps[k].done < o->steps[k].spec->count)
			return false;
	return true;
}

/*
 * Under overload, work that can still end in time goes before work that is
 * late already: the order by due time alone would make all of it late.
 */
static uint32_t lateness_of(const struct cell *c, const struct cell_job *j)
{
	int64_t objective = j->due_ms - j->entry->seen_ms;

	if (j->spec->repeat || c->now_ms < j->due_ms)
		return 0;
	return c->now_ms < j->entry->seen_ms + objective * HOPELESS_MULTIPLE
		       ? 1
		       : 2;
}

/* Since when the task of a lasting step that is away longest waits. */
static int64_t away_since(const struct cell_step *st)
{
	int64_t since = INT64_MAX;
	uint32_t i;

	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];
		int64_t from = t->retry_ms > st->job->entry->seen_ms
				       ? t->retry_ms
				       : st->job->entry->seen_ms;

		if (t->state == TASK_WAITING && from < since)
			since = from;
	}
	return since;
}

static bool is_away_long(const struct cell *c, const struct cell_step *st)
{
	return step_is(st, STEP_LASTING) &&
	       c->now_ms - away_since(st) >= AWAY_MS;
}

static struct cell_waiting rank_of(const struct cell *c, struct cell_step *st)
{
	const struct cell_job *j = st->job;
	bool lasting = step_is(st, STEP_LASTING);
	struct cell_waiting r = {lasting ? 0 : lateness_of(c, j),
				 j->spec->priority, lasting, j->due_ms, st};

	if (lasting && is_away_long(c, st)) {
		r.lasting = 0;
		r.due_ms = away_since(st);
	}

	if (j->spec->repeat)
		r.due_ms = j->occurrences[st->occurrence].due_ms +
			   (j->due_ms - j->entry->seen_ms);
	return r;
}

static int order_of(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int waiting_cmp(const void *pa, const void *pb)
{
	const struct cell_waiting *a = pa, *b = pb;
	int d = order_of(a->late, b->late);

	if (!d)
		d = order_of(a->priority, b->priority);
	if (!d)
		d = order_of(a->lasting, b->lasting);
	if (!d)
		d = (a->due_ms > b->due_ms) - (a->due_ms < b->due_ms);
	if (!d)
		d = order_of(a->step->job->entry->id, b->step->job->entry->id);
	return d ? d : order_of(a->step->number, b->step->number);
}

static void queue_push(struct cell *c, size_t n, struct cell_step *st)
{
	if (n == c->queue_cap) {
		c->queue_cap = c->queue_cap ? c->queue_cap * 2 : 64;
		c->queue = xrealloc(c->queue, c->queue_cap * sizeof(*c->queue));
	}
	c->queue[n] = rank_of(c, st);
}

static size_t collect_job(struct cell *c, struct cell_job *j, size_t n)
{
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++) {
			struct cell_step *st = &j->occurrences[k].steps[s];

			if (st->waiting && cell_step_ready(st))
				queue_push(c, n++, st);
		}
	return n;
}

static void note_idle(const struct cell *c, struct cell_job *j)
{
	if (j->placed)
		j->idle_ms = 0;
	else if (!j->idle_ms)
		j->idle_ms = c->now_ms;
}

static size_t collect(struct cell *c)
{
	struct cell_job *j;
	size_t n = 0;

	for (j = c->jobs; j; j = j->next) {
		note_idle(c, j);
		if (j->waiting && !job_state_final(j->state))
			n = collect_job(c, j, n);
	}
	if (n)
		qsort(c->queue, n, sizeof(*c->queue), waiting_cmp);
	return n;
}

static bool has_label(const struct cell_worker *w, const char *label)
{
	uint32_t i;

	for (i = 0; i < w->entry.label_count; i++)
		if (!strcmp(w->entry.labels[i], label))
			return true;
	return !label[0];
}

/* Settled once a pass: it does not change within one. */
static bool check_usable(const struct cell *c, const struct cell_worker *w)
{
	return w->present && w->confirmed && w->stored && !w->entry.draining &&
	       w->clock_ms && c->now_ms >= w->avoid_ms &&
	       c->now_ms - w->answered_ms < WORKER_FRESH_MS &&
	       c->ops->zone_open(c->ctx, w->entry.zone);
}

static bool is_kept(const struct cell *c, const struct cell_worker *w,
		    const struct cell_step *st)
{
	return w->kept_for && w->kept_for != st &&
	       c->now_ms < w->kept_until_ms && !step_is(st, STEP_FILLER);
}

/*
 * Short work takes each piece of room as it comes free. A task that is larger
 * than the pieces gets a worker to itself until enough of them have joined.
 */
static void keep_room(struct cell *c, const struct cell_step *st,
		      uint64_t service)
{
	struct cell_worker *w, *best = NULL;
	uint32_t all = 0, kept = 0;

	for (w = c->workers; w; w = w->next) {
		all++;
		if (w->kept_for && c->now_ms < w->kept_until_ms) {
			kept++;
			if (w->kept_for == st)
				return;
			continue;
		}
		if (w->service != service || !w->usable ||
		    w->cpu_serving + st->spec->cpu > w->entry.cpu ||
		    w->memory_used + st->spec->memory_mb > w->entry.memory_mb ||
		    !has_label(w, st->spec->worker_label) ||
		    !cell_may_join(st, w))
			continue;
		if (!best || w->entry.cpu - w->cpu_used >
				     best->entry.cpu - best->cpu_used)
			best = w;
	}
	if (!best || kept > all / KEEP_ROOM_SHARE)
		return;
	best->kept_for = st;
	best->kept_until_ms = c->now_ms + KEEP_ROOM_MS;
}

/* The best of the workers that have changed after @since. */
static struct cell_worker *choose(const struct cell *c,
				  const struct cell_task *t, uint64_t service,
				  const char *rack, bool starved,
				  uint64_t since)
{
	struct cell_worker *w, *best = NULL;
	double best_cost = 0;

	for (w = c->changed; w && w->version > since; w = w->older) {
		double cost;

		if (w->service != service || !w->usable ||
		    !cell_fits(t->step, w) || is_kept(c, w, t->step) ||
		    !has_label(w, t->step->spec->worker_label) ||
		    (rack && strcmp(rack, cell_worker_rack(w))))
			continue;
		if (cell_cost(c, t, w, starved, &cost) ||
		    (best && cost >= best_cost))
			continue;
		best = w;
		best_cost = cost;
	}
	return best;
}

/* All workers are looked at again so often: pauses run out, zones open, and
 * what is learned elsewhere holds for all. */
#define MISS_KEEP_MS 250

/**
 * struct pass - one pass of placement
 * @pool: service whose use was looked at last, and @pool_idle the answer
 */
struct pass {
	uint64_t pool;
	bool pool_idle;
};

static struct cell_miss need_of(const struct cell_step *st, uint64_t service)
{
	const struct job_step *s = st->spec;
	struct cell_miss m = {0};

	m.service = service;
	/* A limit of tasks on one worker says nothing of other steps. */
	if (s->per_worker)
		m.step = st->job->entry->id + st->number;
	m.image = s->flags & STEP_FILLER ? st->image : 0;
	m.label = name_hash(s->worker_label);
	m.filler = s->flags & STEP_FILLER;
	m.cpu = s->cpu;
	m.memory_mb = s->memory_mb;
	m.accelerators = s->accelerators;
	return m;
}

static bool covers(const struct cell_miss *m, const struct cell_miss *need)
{
	return m->service == need->service && m->step == need->step &&
	       m->image == need->image && m->label == need->label &&
	       m->filler == need->filler && m->cpu <= need->cpu &&
	       m->memory_mb <= need->memory_mb &&
	       m->accelerators <= need->accelerators;
}

/*
 * A step that needs as much or more of the same as one that found no worker
 * finds none either, but for workers that have changed since.
 */
static struct cell_miss *find_miss(struct cell *c, const struct cell_miss *need)
{
	struct cell_miss *best = NULL;
	size_t i;

	for (i = 0; i < MISSES_MAX; i++) {
		struct cell_miss *m = &c->misses[i];

		if (m->at_ms && c->now_ms - m->at_ms < MISS_KEEP_MS &&
		    covers(m, need) && (!best || m->version > best->version))
			best = m;
	}
	return best;
}

static void note_miss(struct cell *c, const struct cell_miss *need,
		      struct cell_miss *known)
{
	struct cell_miss *m = known;

	if (!m || !covers(need, m)) {
		m = &c->misses[c->miss_next++ % MISSES_MAX];
		if (m == known) /* the ring came round to it */
			m = &c->misses[c->miss_next++ % MISSES_MAX];
		*m = *need;
		m->at_ms = known ? known->at_ms : c->now_ms;
	}
	m->version = c->version;
}

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
	if (!step_is(st, STEP_FILLER) || st->job->placed ||
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

static bool gang_waits(const struct cell_step *st)
{
	uint32_t i;

	for (i = 0; i < st->spec->count; i++)
		if (st->tasks[i].worker)
			return false;
	return true;
}

static void gang_align(struct cell_step *st)
{
	const char *checkpoint = NULL;
	uint32_t run = 0, i;

	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];

		if (t->run > run)
			run = t->run;
		if (t->checkpoint[0])
			checkpoint = t->checkpoint;
	}
	for (i = 0; i < st->spec->count; i++) {
		st->tasks[i].run = run;
		if (checkpoint && st->tasks[i].checkpoint != checkpoint)
			name_set(st->tasks[i].checkpoint, checkpoint);
	}
}

/*
 * Room for all members is found first, on a copy of nothing but the counters:
 * each member is charged as it is chosen and given back if one finds none.
 */
static bool gang_choose(struct cell *c, struct cell_step *st, uint64_t service,
			const char *rack, struct cell_worker **chosen)
{
	const struct job_step *s = st->spec;
	bool filler = s->flags & STEP_FILLER;
	uint32_t i, n = 0;

	while (n < s->count) {
		struct cell_worker *w =
			choose(c, &st->tasks[n], service, rack, false, 0);

		if (!w)
			break;
		chosen[n++] = w;
		w->memory_used += s->memory_mb;
		w->accelerators_used += s->accelerators;
		w->cpu_used += filler ? 0 : s->cpu;
		w->cpu_filling += filler ? s->cpu : 0;
	}
	for (i = 0; i < n; i++) {
		chosen[i]->memory_used -= s->memory_mb;
		chosen[i]->accelerators_used -= s->accelerators;
		chosen[i]->cpu_used -= filler ? 0 : s->cpu;
		chosen[i]->cpu_filling -= filler ? s->cpu : 0;
	}
	return n == s->count;
}

static bool gang_choose_rack(struct cell *c, struct cell_step *st,
			     uint64_t service, struct cell_worker **chosen)
{
	const struct cell_worker *w;

	for (w = c->workers; w; w = w->next)
		if (w->service == service && w->usable &&
		    gang_choose(c, st, service, cell_worker_rack(w), chosen))
			return true;
	return false;
}

static void place_gang(struct cell *c, struct cell_step *st, uint64_t service)
{
	struct cell_worker **chosen;
	bool found = false;
	uint32_t i;

	if (!gang_waits(st))
		return;
	for (i = 0; i < st->spec->count; i++)
		if (c->now_ms < st->tasks[i].retry_ms ||
		    (c->uncertain && st->tasks[i].in_doubt))
			return;
	chosen = xcalloc(st->spec->count, sizeof(struct cell_worker *));
	if (step_is(st, STEP_SAME_RACK))
		found = gang_choose_rack(c, st, service, chosen);
	if (!found)
		found = gang_choose(c, st, service, NULL, chosen);
	if (found) {
		gang_align(st);
		for (i = 0; i < st->spec->count; i++)
			cell_task_place(c, &st->tasks[i], chosen[i]);
	}
	free(chosen);
}

static void place_step(struct cell *c, struct cell_step *st, struct pass *p)
{
	uint64_t service = service_of(c, st);
	struct cell_miss need = need_of(st, service), *known;
	uint64_t since;
	bool starved;
	uint32_t i;

	if (step_is(st, STEP_GANG)) {
		place_gang(c, st, service);
		return;
	}
	known = find_miss(c, &need);
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
		w = choose(c, t, service, NULL, starved, starved ? 0 : since);
		if (!w) {
			note_miss(c, &need, known);
			if (is_away_long(c, st))
				keep_room(c, st, service);
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
	n = collect(c);
	for (i = 0; i < n; i++)
		place_step(c, c->queue[i].step, &p);
}
