#include "cell/cell_cost.h"

#include <errno.h>

#include "cell/cell_contain.h"
#include "cell/cell_crash.h"

/* Share of their declared processors that is kept free of best-effort tasks for
 * latency-critical tasks: their use varies with their load, and tail latency
 * grows before the processors are exhausted. */
#define SERVING_USE 0.55
/* Factor of overcommitment of the free processors by best-effort tasks, which
 * use about three quarters of what they declare. */
#define BEST_EFFORT_OVERCOMMIT 1.15
/* Headroom, target over tail latency, that a new best-effort task must leave to
 * each latency-critical step on the worker. */
#define HEADROOM_MIN 0.95
/* Load of latency-critical steps is forecast this far ahead: a best-effort task
 * ends or saves a checkpoint in about that time. */
#define FORECAST_S 1.5
/* Standard deviations that are subtracted from the forecast headroom. */
#define LOAD_STDDEVS 1.0
#define MS_PER_S 1000
/* A pair of images, see struct effect_model, counts as unknown while the
 * standard deviation of its effect is above this. */
#define STDDEV_HIGH 3.0
/* An unknown pair is tried only where the latency-critical step has this much
 * headroom left. */
#define HEADROOM_TRIAL 1.4
/* A best-effort task that takes less headroom than this is accepted on any
 * worker, as long as all best-effort tasks there together take less than
 * EFFECT_SUM_MAX. */
#define EFFECT_NEGLIGIBLE 0.08
#define EFFECT_SUM_MAX 0.4
/* Weight of headroom taken against the free share of the processors. */
#define EFFECT_WEIGHT 0.4
/* Bonus of a worker that already runs the same latency-critical image, and cost
 * of one that runs other latency-critical images: with one latency-critical
 * image per worker, a best-effort image has fewer pairs to avoid. */
#define IMAGE_SAME_BONUS 2.0
#define IMAGE_OTHER_COST 0.5
/* A latency-critical task that leaves less than this share of a worker's
 * processors leaves a fragment that short work seldom fits in. */
#define FRAGMENT_SHARE 0.1
#define FRAGMENT_COST 0.6
/* Cost for a short task of a worker that the largest task that waits can use
 * once no short work runs there; below that of slowing best-effort tasks
 * down much. */
#define LARGE_PIECE_COST 0.7
/* Cost of a worker outside the rack of the task's data, where the task takes
 * several times as long. */
#define FAR_DATA_COST 3.0
/* Cost of the worker that the task failed on last, which makes it the last
 * choice. */
#define AVOID_COST 10.0
/* Cost of each unsettled run on a worker for a task with crashes: beside none,
 * a further crash is conclusive. */
#define UNSETTLED_COST 10.0
/* For a long-running task, on a worker whose process may yet carry out a late
 * call that extends its leases: if it is lost, its tasks wait for these. Above
 * all other costs of such tasks. */
#define LATE_LEASE_COST 100.0

const char *cell_worker_rack(const struct cell_worker *w)
{
	return w->entry.label_count ? w->entry.labels[w->entry.label_count - 1]
				    : "";
}

static uint32_t step_tasks_on(const struct cell_step *st,
			      const struct cell_worker *w)
{
	const struct cell_task *t;
	uint32_t n = 0;

	for (t = w->first_task; t; t = t->next)
		n += t->step == st;
	return n;
}

bool cell_may_add_task(const struct cell_step *st, const struct cell_worker *w)
{
	return !st->spec->per_worker ||
	       step_tasks_on(st, w) < st->spec->per_worker;
}

bool cell_fits(const struct cell_step *st, const struct cell_worker *w)
{
	const struct job_step *s = st->spec;

	if (w->memory_used + s->memory_mb > w->entry.memory_mb ||
	    w->accelerators_used + s->accelerators > w->entry.accelerators)
		return false;
	if (!(s->flags & STEP_BEST_EFFORT) &&
	    w->cpu_used + s->cpu > w->entry.cpu)
		return false;
	return cell_may_add_task(st, w);
}

/* Processors that are free, as a share of the worker's; may be negative. */
static double free_share(const struct cell_worker *w)
{
	double used = w->cpu_used - (1 - SERVING_USE) * w->cpu_serving +
		      w->cpu_best_effort;

	return ((double)w->entry.cpu - used) / (w->entry.cpu + 1.0);
}

static double cpu_share_of(const struct job_step *s,
			   const struct cell_worker *w)
{
	return s->cpu / (w->entry.cpu + 1.0);
}

/* Return: the entry of a latency-critical step, added if it is new; NULL when
 * the worker already has SERVING_STEPS_MAX entries. */
static struct serving_headroom *headroom_get_or_add(const struct cell *c,
						    struct cell_worker *w,
						    const struct cell_step *st)
{
	double now_s = (double)c->now_ms / MS_PER_S;
	struct serving_headroom *v;
	size_t i;

	for (i = 0; i < w->headroom_count; i++)
		if (w->headroom[i].step == st)
			return &w->headroom[i];
	if (w->headroom_count == SERVING_STEPS_MAX)
		return NULL;
	v = &w->headroom[w->headroom_count++];
	v->step = st;
	v->taken = 0;
	v->available = load_curve_min(st->curve, &c->effect_model.periods,
				      now_s, now_s + FORECAST_S, LOAD_STDDEVS);
	return v;
}

/* Headroom that @best_effort takes with a share of a worker, with half a
 * standard deviation on top. */
static double estimated_effect(const struct cell *c, uint64_t serving,
			       uint64_t best_effort, double share)
{
	double stddev, effect;

	effect = effect_model_estimate(&c->effect_model, serving, best_effort,
				       &stddev);
	return share * (effect + stddev / 2);
}

static void refresh_headroom(const struct cell *c, struct cell_worker *w)
{
	const struct cell_task *t;
	size_t i;

	w->headroom_stale = false;
	w->headroom_count = 0;
	for (t = w->first_task; t; t = t->next)
		if (step_is_serving(t->step))
			headroom_get_or_add(c, w, t->step);
	for (t = w->first_task; t; t = t->next)
		for (i = 0; step_has_flag(t->step, STEP_BEST_EFFORT) &&
			    i < w->headroom_count;
		     i++)
			w->headroom[i].taken +=
				estimated_effect(c, w->headroom[i].step->image,
						 t->step->image,
						 cpu_share_of(t->step->spec,
							      w));
}

/*
 * Whether a best-effort task leaves enough headroom to the latency-critical
 * steps on a worker. @cost receives the headroom that the task would take from
 * the step that loses most.
 */
static bool has_headroom_for(const struct cell *c, const struct cell_step *st,
			     struct cell_worker *w, double *cost)
{
	double share = cpu_share_of(st->spec, w);
	bool accepted = true;
	size_t i;

	if (w->headroom_stale)
		refresh_headroom(c, w);
	*cost = 0;
	for (i = 0; i < w->headroom_count; i++) {
		const struct serving_headroom *v = &w->headroom[i];
		double stddev, effect, left;

		effect = effect_model_estimate(&c->effect_model, v->step->image,
					       st->image, &stddev);
		effect = share * (effect + stddev / 2);
		left = v->available - v->taken;
		if (effect > *cost)
			*cost = effect;
		if (effect < EFFECT_NEGLIGIBLE &&
		    v->taken + effect < EFFECT_SUM_MAX)
			continue;
		accepted &= stddev > STDDEV_HIGH
				    ? left >= HEADROOM_TRIAL
				    : left - effect >= HEADROOM_MIN;
	}
	return accepted;
}

static bool has_best_effort_capacity(const struct cell_step *st,
				     const struct cell_worker *w)
{
	double left = (double)w->entry.cpu - w->cpu_used +
		      (1 - SERVING_USE) * w->cpu_serving;

	return !w->cpu_best_effort || w->cpu_best_effort + st->spec->cpu <=
					      left * BEST_EFFORT_OVERCOMMIT;
}

static double fragment_cost(const struct cell_step *st,
			    const struct cell_worker *w)
{
	double rest = (double)cell_worker_cpu_free(w) - st->spec->cpu;

	return rest < FRAGMENT_SHARE * w->entry.cpu ? FRAGMENT_COST : 0;
}

/*
 * What a worker has beside its long-running tasks is the largest piece that it
 * can release. Short tasks that fit elsewhere leave those alone that the large
 * tasks which wait can use.
 */
static double large_piece_cost(const struct cell *c,
			       const struct cell_worker *w)
{
	double piece = (double)w->entry.cpu - w->cpu_serving, large = 0;
	size_t i;

	for (i = 0; i < c->demand_count; i++)
		if (c->demands[i].service == w->service)
			large = c->demands[i].cpu_large;
	if (piece <= 0 || !large)
		return 0;
	return (piece < large ? piece / large : 1) * LARGE_PIECE_COST;
}

static double serving_cost(const struct cell *c, const struct cell_step *st,
			   const struct cell_worker *w)
{
	const struct cell_task *t;
	bool same = false, other = false;
	double taken = 0;

	for (t = w->first_task; t; t = t->next) {
		if (step_is_serving(t->step)) {
			same |= t->step->image == st->image;
			other |= t->step->image != st->image;
		} else if (step_has_flag(t->step, STEP_BEST_EFFORT)) {
			taken += estimated_effect(c, st->image, t->step->image,
						  cpu_share_of(t->step->spec,
							       w));
		}
	}
	return (other ? IMAGE_OTHER_COST : 0) - (same ? IMAGE_SAME_BONUS : 0) +
	       taken * EFFECT_WEIGHT + fragment_cost(st, w);
}

int cell_placement_cost(const struct cell *c, const struct cell_task *t,
			struct cell_worker *w, bool starved, double *out)
{
	const struct cell_step *st = t->step;
	const struct job_step *s = st->spec;
	double left = free_share(w) - cpu_share_of(s, w), cost;

	if (s->flags & STEP_BEST_EFFORT) {
		if (!starved && !has_best_effort_capacity(st, w))
			return -EBUSY;
		if (!has_headroom_for(c, st, w, &cost) && !starved)
			return -EBUSY;
		cost = cost * EFFECT_WEIGHT - left;
	} else if (step_is_serving(st)) {
		cost = serving_cost(c, st, w) +
		       cell_worker_cpu_free(w) / (w->entry.cpu + 1.0);
	} else {
		cost = left < 0 ? -left * 2 : left * 0.2;
		cost += large_piece_cost(c, w);
	}
	if (s->data_rack[0] && strcmp(s->data_rack, cell_worker_rack(w)))
		cost += FAR_DATA_COST;
	if (t->avoid_worker == w->id)
		cost += AVOID_COST;
	if ((s->flags & STEP_LONG_RUNNING) &&
	    c->now_ms < w->late_lease_until_ms)
		cost += LATE_LEASE_COST;
	if (t->suspected)
		cost += (cell_crash_unsettled(w) +
			 cell_contain_neighbours(t, w)) *
			UNSETTLED_COST;
	*out = cost;
	return 0;
}
