#include "cell/cell_types.h"

/* A reservation expires after this time; another worker may be chosen then. */
#define RESERVE_MS 1500
/* No further worker is reserved while more than one in this many is. */
#define RESERVE_SHARE 20
/* Entries of the cache expire after this time: the end of a back-off, the
 * opening of a zone and updates of the effect model change what workers accept
 * without a new version of the worker. */
#define NO_FIT_KEEP_MS 250

static bool has_label(const struct cell_worker *w, const char *label)
{
	uint32_t i;

	for (i = 0; i < w->entry.label_count; i++)
		if (!strcmp(w->entry.labels[i], label))
			return true;
	return !label[0];
}

static bool is_reserved_for_other(const struct cell *c,
				  const struct cell_worker *w,
				  const struct cell_step *st)
{
	return w->reserved_for && w->reserved_for != st &&
	       c->now_ms < w->reserved_until_ms &&
	       !step_has_flag(st, STEP_BEST_EFFORT);
}

/*
 * Short work takes any capacity as soon as it is released. A task that needs
 * more than short work releases at a time gets a worker reserved until enough
 * capacity has accumulated there.
 */
void cell_reserve_worker(struct cell *c, const struct cell_step *st,
			 uint64_t service)
{
	struct cell_worker *w, *best = NULL;
	uint32_t all = 0, reserved = 0;

	for (w = c->workers; w; w = w->next) {
		all++;
		if (w->reserved_for && c->now_ms < w->reserved_until_ms) {
			reserved++;
			if (w->reserved_for == st)
				return;
			continue;
		}
		if (w->service != service || !w->accepts_tasks ||
		    w->cpu_serving + st->spec->cpu > w->entry.cpu ||
		    w->memory_used + st->spec->memory_mb > w->entry.memory_mb ||
		    !has_label(w, st->spec->worker_label) ||
		    !cell_may_add_task(st, w))
			continue;
		if (!best || w->entry.cpu - w->cpu_used >
				     best->entry.cpu - best->cpu_used)
			best = w;
	}
	if (!best || reserved > all / RESERVE_SHARE)
		return;
	best->reserved_for = st;
	best->reserved_until_ms = c->now_ms + RESERVE_MS;
}

struct cell_worker *cell_choose_worker(const struct cell *c,
				       const struct cell_task *t,
				       uint64_t service, const char *rack,
				       bool starved, uint64_t since_version)
{
	struct cell_worker *w, *best = NULL;
	double best_cost = 0;

	for (w = c->changed; w && w->version > since_version; w = w->older) {
		double cost;

		if (w->service != service || !w->accepts_tasks ||
		    !cell_fits(t->step, w) ||
		    is_reserved_for_other(c, w, t->step) ||
		    !has_label(w, t->step->spec->worker_label) ||
		    (rack && strcmp(rack, cell_worker_rack(w))))
			continue;
		if (cell_placement_cost(c, t, w, starved, &cost) ||
		    (best && cost >= best_cost))
			continue;
		best = w;
		best_cost = cost;
	}
	return best;
}

struct cell_demand cell_step_demand(const struct cell_step *st,
				    uint64_t service)
{
	const struct job_step *s = st->spec;
	struct cell_demand m = {0};

	m.service = service;
	/* A limit of tasks per worker holds for the tasks of this step only. */
	if (s->per_worker)
		m.step = st->job->entry->id + st->number;
	m.image = s->flags & STEP_BEST_EFFORT ? st->image : 0;
	m.label = name_hash(s->worker_label);
	m.best_effort = s->flags & STEP_BEST_EFFORT;
	m.cpu = s->cpu;
	m.memory_mb = s->memory_mb;
	m.accelerators = s->accelerators;
	return m;
}

/* Whether @m is no larger than @demand: where @m is not met, neither is
 * @demand. */
static bool is_no_larger(const struct cell_demand *m,
			 const struct cell_demand *demand)
{
	return m->service == demand->service && m->step == demand->step &&
	       m->image == demand->image && m->label == demand->label &&
	       m->best_effort == demand->best_effort && m->cpu <= demand->cpu &&
	       m->memory_mb <= demand->memory_mb &&
	       m->accelerators <= demand->accelerators;
}

/*
 * A demand that is as large as or larger than one that no worker met is not met
 * either, except by workers that have changed since.
 */
struct cell_demand *cell_no_fit_find(struct cell *c,
				     const struct cell_demand *demand)
{
	struct cell_demand *best = NULL;
	size_t i;

	for (i = 0; i < NO_FIT_MAX; i++) {
		struct cell_demand *m = &c->no_fit[i];

		if (m->at_ms && c->now_ms - m->at_ms < NO_FIT_KEEP_MS &&
		    is_no_larger(m, demand) &&
		    (!best || m->version > best->version))
			best = m;
	}
	return best;
}

void cell_no_fit_record(struct cell *c, const struct cell_demand *demand,
			struct cell_demand *known)
{
	struct cell_demand *m = known;

	if (!m || !is_no_larger(demand, m)) {
		m = &c->no_fit[c->no_fit_next++ % NO_FIT_MAX];
		if (m == known) /* do not overwrite the entry in use */
			m = &c->no_fit[c->no_fit_next++ % NO_FIT_MAX];
		*m = *demand;
		m->at_ms = known ? known->at_ms : c->now_ms;
	}
	m->version = c->version;
}
