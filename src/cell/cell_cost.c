#include "cell/cell_types.h"

#include <errno.h>

/* Share of their declared processors that is kept for serving tasks: their use
 * swings with their load, and tails grow before the processors run out. */
#define SERVING_USE 0.55
/* Filling tasks may declare this multiple of the processors that are left:
 * they use about three quarters of what they declare. */
#define FILLING_DECLARED 1.15
/* Headroom, target over tail latency, that a new filling task must leave. */
#define HEADROOM_KEEP 0.95
/* Load is foreseen for so long: what fills ends, or has saved its work, in
 * about that time. */
#define LOOK_AHEAD_S 1.5
#define LOAD_DOUBTS 1.0
#define MS_PER_S 1000
/* A pair is in doubt while its effect is known no better than this. */
#define DOUBT_HIGH 3.0
/* A pair in doubt is tried only beside tasks with this headroom. */
#define HEADROOM_TRIAL 1.4
/* Headroom so small that an image which takes no more is welcome anywhere. */
#define EFFECT_HARMLESS 0.08
#define EFFECT_SUM_MAX 0.4
/* Weight of headroom against free processors, both as shares. */
#define EFFECT_WEIGHT 0.4
/* Weight of a worker that runs the same serving image already, and of one
 * that runs others: an image that is alone has fewer pairs to avoid. */
#define IMAGE_SAME_BONUS 2.0
#define IMAGE_OTHER_COST 0.5
/* A lasting task that leaves a worker less than this share leaves room that
 * short work seldom fits in. */
#define REST_SHARE 0.1
#define REST_COST 0.6
/* Far from its data a task takes several times as long. */
#define FAR_COST 3.0
/* A worker that the task failed on is the last choice. */
#define AVOID_COST 10.0

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

	for (t = w->first; t; t = t->next)
		n += t->step == st;
	return n;
}

bool cell_may_join(const struct cell_step *st, const struct cell_worker *w)
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
	return cell_may_join(st, w);
}

/* Processors that are left, as a share of the worker's. */
static double free_share(const struct cell_worker *w)
{
	double used = w->cpu_used - (1 - SERVING_USE) * w->cpu_serving +
		      w->cpu_filling;

	return ((double)w->entry.cpu - used) / (w->entry.cpu + 1.0);
}

static double share_of(const struct job_step *s, const struct cell_worker *w)
{
	return s->cpu / (w->entry.cpu + 1.0);
}

static struct serving_view *view_of(const struct cell *c, struct cell_worker *w,
				    const struct cell_step *st)
{
	double now_s = (double)c->now_ms / MS_PER_S;
	struct serving_view *v;
	size_t i;

	for (i = 0; i < w->view_count; i++)
		if (w->view[i].step == st)
			return &w->view[i];
	if (w->view_count == SERVING_STEPS_MAX)
		return NULL;
	v = &w->view[w->view_count++];
	v->step = st;
	v->effect = 0;
	v->least = load_curve_least(st->curve, &c->disturb.periods, now_s,
				    now_s + LOOK_AHEAD_S, LOAD_DOUBTS);
	return v;
}

/* Headroom that a share of a worker of @filling takes, doubt included. */
static double effect_of(const struct cell *c, uint64_t serving,
			uint64_t filling, double share)
{
	double doubt, effect;

	effect = disturb_effect(&c->disturb, serving, filling, &doubt);
	return share * (effect + doubt / 2);
}

static void refresh_view(const struct cell *c, struct cell_worker *w)
{
	const struct cell_task *t;
	size_t i;

	w->view_stale = false;
	w->view_count = 0;
	for (t = w->first; t; t = t->next)
		if (step_serves(t->step))
			view_of(c, w, t->step);
	for (t = w->first; t; t = t->next)
		for (i = 0;
		     step_is(t->step, STEP_BEST_EFFORT) && i < w->view_count;
		     i++)
			w->view[i].effect +=
				effect_of(c, w->view[i].step->image,
					  t->step->image,
					  share_of(t->step->spec, w));
}

/*
 * Whether a filling task may go beside what serves on a worker; @cost receives
 * the headroom that it would take from the step that loses most.
 */
static bool is_welcome(const struct cell *c, const struct cell_step *st,
		       struct cell_worker *w, double *cost)
{
	double share = share_of(st->spec, w);
	bool welcome = true;
	size_t i;

	if (w->view_stale)
		refresh_view(c, w);
	*cost = 0;
	for (i = 0; i < w->view_count; i++) {
		const struct serving_view *v = &w->view[i];
		double doubt, more, left;

		more = disturb_effect(&c->disturb, v->step->image, st->image,
				      &doubt);
		more = share * (more + doubt / 2);
		left = v->least - v->effect;
		if (more > *cost)
			*cost = more;
		if (more < EFFECT_HARMLESS && v->effect + more < EFFECT_SUM_MAX)
			continue;
		welcome &= doubt > DOUBT_HIGH ? left >= HEADROOM_TRIAL
					      : left - more >= HEADROOM_KEEP;
	}
	return welcome;
}

static bool has_filling_room(const struct cell_step *st,
			     const struct cell_worker *w)
{
	double left =
		w->entry.cpu - w->cpu_used + (1 - SERVING_USE) * w->cpu_serving;

	return !w->cpu_filling ||
	       w->cpu_filling + st->spec->cpu <= left * FILLING_DECLARED;
}

static double rest_cost(const struct cell_step *st, const struct cell_worker *w)
{
	uint32_t rest = w->entry.cpu - w->cpu_used - st->spec->cpu;

	return rest < REST_SHARE * w->entry.cpu ? REST_COST : 0;
}

static double serving_cost(const struct cell *c, const struct cell_step *st,
			   const struct cell_worker *w)
{
	const struct cell_task *t;
	bool same = false, other = false;
	double taken = 0;

	for (t = w->first; t; t = t->next) {
		if (step_serves(t->step)) {
			same |= t->step->image == st->image;
			other |= t->step->image != st->image;
		} else if (step_is(t->step, STEP_BEST_EFFORT)) {
			taken += effect_of(c, st->image, t->step->image,
					   share_of(t->step->spec, w));
		}
	}
	return (other ? IMAGE_OTHER_COST : 0) - (same ? IMAGE_SAME_BONUS : 0) +
	       taken * EFFECT_WEIGHT + rest_cost(st, w);
}

/*
 * Return: 0 and the cost of a task on a worker with room for it, or -EBUSY
 * when it would harm what runs there.
 */
int cell_cost(const struct cell *c, const struct cell_task *t,
	      struct cell_worker *w, bool starved, double *out)
{
	const struct cell_step *st = t->step;
	const struct job_step *s = st->spec;
	double left = free_share(w) - share_of(s, w), cost;

	if (s->flags & STEP_BEST_EFFORT) {
		if (!starved && !has_filling_room(st, w))
			return -EBUSY;
		if (!is_welcome(c, st, w, &cost) && !starved)
			return -EBUSY;
		cost = cost * EFFECT_WEIGHT - left;
	} else if (step_serves(st)) {
		cost = serving_cost(c, st, w) +
		       (double)(w->entry.cpu - w->cpu_used) /
			       (w->entry.cpu + 1.0);
	} else {
		cost = left < 0 ? -left * 2 : left * 0.2;
	}
	if (s->data_rack[0] && strcmp(s->data_rack, cell_worker_rack(w)))
		cost += FAR_COST;
	if (t->avoid == w->id)
		cost += AVOID_COST;
	*out = cost;
	return 0;
}
