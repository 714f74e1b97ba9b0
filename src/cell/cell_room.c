#include "cell/cell_types.h"

/* Room is kept for so long before another worker is looked for. */
#define KEEP_ROOM_MS 1500
/* One worker in so many may be kept at a time. */
#define KEEP_ROOM_SHARE 20
/* All workers are looked at again so often: pauses run out, zones open, and
 * what is learned elsewhere holds for all. */
#define MISS_KEEP_MS 250

static bool has_label(const struct cell_worker *w, const char *label)
{
	uint32_t i;

	for (i = 0; i < w->entry.label_count; i++)
		if (!strcmp(w->entry.labels[i], label))
			return true;
	return !label[0];
}

static bool is_kept(const struct cell *c, const struct cell_worker *w,
		    const struct cell_step *st)
{
	return w->kept_for && w->kept_for != st &&
	       c->now_ms < w->kept_until_ms && !step_is(st, STEP_BEST_EFFORT);
}

/*
 * Short work takes each piece of room as it comes free. A task that is larger
 * than the pieces gets a worker to itself until enough of them have joined.
 */
void cell_keep_room(struct cell *c, const struct cell_step *st,
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
struct cell_worker *cell_choose(const struct cell *c, const struct cell_task *t,
				uint64_t service, const char *rack,
				bool starved, uint64_t since)
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

struct cell_miss cell_need(const struct cell_step *st, uint64_t service)
{
	const struct job_step *s = st->spec;
	struct cell_miss m = {0};

	m.service = service;
	/* A limit of tasks on one worker says nothing of other steps. */
	if (s->per_worker)
		m.step = st->job->entry->id + st->number;
	m.image = s->flags & STEP_BEST_EFFORT ? st->image : 0;
	m.label = name_hash(s->worker_label);
	m.filler = s->flags & STEP_BEST_EFFORT;
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
struct cell_miss *cell_miss_find(struct cell *c, const struct cell_miss *need)
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

void cell_miss_note(struct cell *c, const struct cell_miss *need,
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
