#include "cell/cell_room.h"

#include "cell/cell_cost.h"
#include "cell/cell_crash.h"
#include "cell/cell_job.h"
#include "cell/cell_plan.h"
#include "cell/cell_queue.h"

/* A reservation expires after this time; another worker may be chosen then. */
#define RESERVE_MS 1500
/* No further worker is reserved while more than one in this many is. */
#define RESERVE_SHARE 20
#define CANDIDATES_INITIAL_CAP 64
/* Workers among which the cheapest are chosen, in excess of one for each task,
 * so that there are always enough: a task takes up one at most. */
#define CANDIDATES_MAX 1000
/* What is known not to fit is tried again after this time: the end of a
 * back-off, the opening of a zone and updates of the effect model change what
 * workers accept without a new version of the worker. */
#define NO_FIT_KEEP_MS 1000

bool cell_worker_has_label(const struct cell_worker *w, const char *label)
{
	uint32_t i;

	if (!label[0])
		return true;
	for (i = 0; i < w->entry.label_count; i++)
		if (!strcmp(w->entry.labels[i], label))
			return true;
	return false;
}

/* A reservation keeps out what can wait: not best-effort tasks, which take no
 * capacity, and not a task that has been unplaced for too long itself. */
static bool is_reserved_for_other(const struct cell *c,
				  const struct cell_worker *w,
				  const struct cell_step *st)
{
	return w->reserved_for && w->reserved_for != st &&
	       c->now_ms < w->reserved_until_ms &&
	       !step_has_flag(st, STEP_BEST_EFFORT) &&
	       !cell_is_long_unplaced(c, st);
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
		    w->accelerators_used + st->spec->accelerators >
			    w->entry.accelerators ||
		    !cell_worker_has_label(w, st->spec->worker_label) ||
		    !cell_may_add_task(st, w))
			continue;
		if (!best ||
		    cell_worker_cpu_free(w) > cell_worker_cpu_free(best))
			best = w;
	}
	if (!best || reserved > all / RESERVE_SHARE)
		return;
	best->reserved_for = st;
	best->reserved_until_ms = c->now_ms + RESERVE_MS;
}

enum cell_obstacle cell_obstacle_of(const struct cell *c,
				    const struct cell_worker *w,
				    const struct cell_step *st,
				    uint64_t service)
{
	if (w->service != service)
		return OBSTACLE_SERVICE;
	if (!w->accepts_tasks)
		return OBSTACLE_BLOCKED;
	if (!cell_fits(st, w))
		return OBSTACLE_CAPACITY;
	if (is_reserved_for_other(c, w, st) || cell_plan_holds(c, w, st))
		return OBSTACLE_RESERVED;
	if (!cell_worker_has_label(w, st->spec->worker_label))
		return OBSTACLE_LABEL;
	return OBSTACLE_NONE;
}

static bool may_take(const struct cell *c, const struct cell_worker *w,
		     const struct cell_step *st, uint64_t service)
{
	return cell_obstacle_of(c, w, st, service) == OBSTACLE_NONE;
}

struct cell_worker *cell_choose_worker(struct cell *c,
				       const struct cell_task *t,
				       uint64_t service, const char *rack,
				       bool starved)
{
	struct cell_worker *w, *best = NULL;
	double best_cost = 0;

	for (w = c->changed; w; w = w->older) {
		double cost;

		c->counts.examined++;
		if (!may_take(c, w, t->step, service) ||
		    !cell_crash_may_share(t, w) ||
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

/* Moves an entry down to its place in the heap, whose first entry is cheapest.
 */
static void candidates_sift(struct cell *c, size_t i)
{
	struct cell_candidate *all = c->candidates, moved = all[i];
	size_t child;

	for (; (child = 2 * i + 1) < c->candidate_count; i = child) {
		if (child + 1 < c->candidate_count &&
		    all[child + 1].cost < all[child].cost)
			child++;
		if (all[child].cost >= moved.cost)
			break;
		all[i] = all[child];
	}
	all[i] = moved;
}

static void candidate_add(struct cell *c, struct cell_worker *w, double cost)
{
	if (c->candidate_count == c->candidate_cap) {
		c->candidate_cap = c->candidate_cap ? c->candidate_cap * 2
						    : CANDIDATES_INITIAL_CAP;
		c->candidates =
			xrealloc(c->candidates,
				 c->candidate_cap * sizeof(*c->candidates));
	}
	c->candidates[c->candidate_count].cost = cost;
	c->candidates[c->candidate_count++].worker = w;
}

void cell_candidates_fill(struct cell *c, const struct cell_task *t,
			  uint64_t service, uint64_t since_version)
{
	size_t max = CANDIDATES_MAX + t->step->waiting, i;
	struct cell_worker *w;
	double cost;

	c->candidate_count = 0;
	for (w = c->changed;
	     w && w->version > since_version && c->candidate_count < max;
	     w = w->older) {
		c->counts.examined++;
		if (may_take(c, w, t->step, service) &&
		    !cell_placement_cost(c, t, w, false, &cost))
			candidate_add(c, w, cost);
	}
	for (i = c->candidate_count / 2; i-- > 0;)
		candidates_sift(c, i);
}

struct cell_worker *cell_candidates_take(struct cell *c,
					 const struct cell_task *t)
{
	while (c->candidate_count) {
		struct cell_candidate *first = &c->candidates[0];
		struct cell_worker *w = first->worker;
		double cost;

		if (!cell_fits(t->step, w) ||
		    cell_placement_cost(c, t, w, false, &cost)) {
			*first = c->candidates[--c->candidate_count];
			candidates_sift(c, 0);
			continue;
		}
		/* Tasks placed since have changed the cost. */
		first->cost = cost;
		candidates_sift(c, 0);
		if (c->candidates[0].worker == w)
			return w;
	}
	return NULL;
}

struct cell_demand cell_step_demand(const struct cell_step *st,
				    uint64_t service)
{
	const struct job_step *s = st->spec;
	struct cell_demand m = {0};

	m.service = service;
	/* A limit of tasks per worker holds for the tasks of this step only. */
	m.per_worker = s->per_worker;
	if (s->per_worker)
		m.step = cell_step_ref(st);
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
	return m->service == demand->service &&
	       m->per_worker == demand->per_worker &&
	       step_ref_equals(&m->step, &demand->step) &&
	       m->image == demand->image && m->label == demand->label &&
	       m->best_effort == demand->best_effort && m->cpu <= demand->cpu &&
	       m->memory_mb <= demand->memory_mb &&
	       m->accelerators <= demand->accelerators;
}

/*
 * A demand that is as large as or larger than one that no worker met is not met
 * either, except by workers that have changed since.
 */
static struct cell_demand *no_fit_find(struct cell *c,
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

void cell_no_fit_record(struct cell *c, struct cell_step *st,
			const struct cell_demand *demand)
{
	struct cell_demand *m = no_fit_find(c, demand);

	c->full_at_ms = c->now_ms;
	st->no_fit_version = c->version;
	if (!m || !is_no_larger(demand, m)) {
		m = &c->no_fit[c->no_fit_next++ % NO_FIT_MAX];
		*m = *demand;
		m->at_ms = st->no_fit_at_ms;
	}
	m->version = c->version;
}

uint64_t cell_step_no_fit_version(struct cell *c, struct cell_step *st,
				  const struct cell_demand *demand)
{
	const struct cell_demand *known;

	if (st->no_fit_at_ms && c->now_ms - st->no_fit_at_ms < NO_FIT_KEEP_MS)
		return st->no_fit_version;
	known = no_fit_find(c, demand);
	st->no_fit_at_ms = known ? known->at_ms : c->now_ms;
	st->no_fit_version = known ? known->version : 0;
	return st->no_fit_version;
}
