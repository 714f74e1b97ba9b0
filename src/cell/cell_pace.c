#include "cell/cell_types.h"

#include <inttypes.h>

#include "base/logger.h"

/* A task that lasts is at work from this progress on. */
#define AT_WORK_PERCENT 100
/* Headroom, target over tail latency, below which filling tasks are slowed,
 * and which a return to full speed must leave. */
#define HEADROOM_LOW 1.05
#define HEADROOM_BACK 1.3
/* Part of the headroom that a filling image must take to be slowed for it. */
#define EFFECT_MIN 0.15
/* Over the target for so long, all that fills stands still: the platform's
 * bound on an excess is several times as long. */
#define OVER_ALL_MS 1200
/* A sample covers half a second, and the pace takes a tenth to show. */
#define PACE_SETTLE_MS 600
/* A task that stands still for so long without a culprit may go on slowly. */
#define PACE_STALE_MS 2500
#define PACE_SLOW 25
/* A measurement of a worker covers this time. */
#define SAMPLE_PERIOD_MS 500
/* A sample covers the half second before it, so it tells of its middle. */
#define SAMPLE_AGE_MS 250
#define MS_PER_S 1000.0
/* Share of a new measurement in the headroom kept of a task. */
#define HEADROOM_RATE 0.5

struct group {
	uint64_t image;
	double share;
	double effect; /* headroom taken from the task that has least */
	uint8_t pace;
};

struct view {
	struct group groups[DISTURB_NEIGHBOURS_MAX];
	size_t count;
	const struct cell_task *tightest;
	double least;
	int64_t over_ms;
};

static bool is_filling(const struct cell_task *t)
{
	return step_is(t->step, STEP_FILLER) && t->state == TASK_RUNNING;
}

static bool is_serving(const struct cell_task *t)
{
	return step_serves(t->step) && t->state == TASK_RUNNING &&
	       t->percent >= AT_WORK_PERCENT && t->measure;
}

static struct group *group_of(struct view *v, uint64_t image)
{
	size_t i;

	for (i = 0; i < v->count; i++)
		if (v->groups[i].image == image)
			return &v->groups[i];
	if (v->count == DISTURB_NEIGHBOURS_MAX)
		return NULL;
	v->groups[v->count].image = image;
	v->groups[v->count].pace = PACE_FULL;
	return &v->groups[v->count++];
}

static void gather_filling(const struct cell_worker *w, struct view *v)
{
	const struct cell_task *t;

	for (t = w->first; t; t = t->next) {
		struct group *g;

		if (!is_filling(t))
			continue;
		g = group_of(v, t->step->image);
		if (!g)
			continue;
		g->share += t->measure / (w->entry.cpu + 1.0);
		if (t->pace < g->pace)
			g->pace = t->pace;
	}
}

/* Looks come faster than samples: the same one is not to count twice. */
static bool is_new_sample(const struct cell *c, struct cell_task *t)
{
	if (t->measure == t->sampled &&
	    c->now_ms - t->sampled_ms < SAMPLE_PERIOD_MS)
		return false;
	t->sampled = t->measure;
	t->sampled_ms = c->now_ms;
	return true;
}

static void learn(struct cell *c, struct cell_worker *w, struct view *v)
{
	struct disturb_neighbour n[DISTURB_NEIGHBOURS_MAX];
	struct cell_task *t;
	size_t i;

	for (i = 0; i < v->count; i++) {
		n[i].image = v->groups[i].image;
		n[i].share = v->groups[i].share;
	}
	for (t = w->first; t; t = t->next) {
		double headroom;

		if (!is_serving(t)) {
			t->over_ms = 0;
			continue;
		}
		headroom = (double)t->step->spec->target_ms / t->measure;
		if (is_new_sample(c, t)) {
			disturb_learn(&c->disturb, t->step->image,
				      t->step->curve,
				      (double)(c->now_ms - SAMPLE_AGE_MS) /
					      MS_PER_S,
				      headroom, n, v->count);
			t->headroom += (t->headroom > 0 ? HEADROOM_RATE : 1) *
				       (headroom - t->headroom);
		}
		if (headroom >= 1)
			t->over_ms = 0;
		else if (!t->over_ms)
			t->over_ms = c->now_ms;
		if (t->over_ms && (!v->over_ms || t->over_ms < v->over_ms))
			v->over_ms = t->over_ms;
		if (!v->tightest || headroom < v->least) {
			v->tightest = t;
			v->least = headroom;
		}
	}
}

static void find_effects(const struct cell *c, struct view *v)
{
	size_t i;

	for (i = 0; v->tightest && i < v->count; i++)
		v->groups[i].effect =
			v->groups[i].share *
			disturb_effect(&c->disturb, v->tightest->step->image,
				       v->groups[i].image, NULL);
}

static void pace_group(struct cell *c, struct cell_worker *w, uint64_t image,
		       uint8_t pace)
{
	struct cell_task *t;

	for (t = w->first; t; t = t->next)
		if (is_filling(t) && (!image || t->step->image == image))
			cell_task_pace(c, t, pace);
	w->paced_ms = c->now_ms;
}

static void slow_down(struct cell *c, struct cell_worker *w, struct view *v)
{
	struct group *worst = NULL;
	size_t i;

	if (v->over_ms && c->now_ms - v->over_ms >= OVER_ALL_MS) {
		pace_group(c, w, 0, 0);
		return;
	}
	for (i = 0; i < v->count; i++)
		if (v->groups[i].pace &&
		    (!worst || v->groups[i].effect > worst->effect))
			worst = &v->groups[i];
	if (!worst || worst->effect < EFFECT_MIN)
		return; /* the load of the serving task itself */
	log_line(LOG_INFO, "filling tasks slowed",
		 "worker=%s headroom=%.2f image=%016" PRIx64 " effect=%.2f "
		 "share=%.2f pace=%u",
		 w->entry.addr.id, v->least, worst->image, worst->effect,
		 worst->share, worst->pace);
	pace_group(c, w, worst->image, 0);
}

/* Processors that the slowed tasks of a group would use at full speed. */
static double share_back(const struct cell_worker *w, uint64_t image)
{
	const struct cell_task *t;
	double cpu = 0;

	for (t = w->first; t; t = t->next)
		if (is_filling(t) && t->step->image == image)
			cpu += t->step->spec->cpu;
	return cpu / (w->entry.cpu + 1.0);
}

static double headroom_after(const struct cell *c, const struct cell_worker *w,
			     uint64_t image, double more)
{
	double least = HUGE_HEADROOM;
	const struct cell_task *t;

	for (t = w->first; t; t = t->next) {
		double h;

		if (!is_serving(t))
			continue;
		h = t->headroom - more * disturb_effect(&c->disturb,
							t->step->image, image,
							NULL);
		if (h < least)
			least = h;
	}
	return least;
}

static void speed_up(struct cell *c, struct cell_worker *w, struct view *v)
{
	size_t i;

	for (i = 0; i < v->count; i++) {
		struct group *g = &v->groups[i];
		double more;

		if (g->pace == PACE_FULL)
			continue;
		more = share_back(w, g->image) * (PACE_FULL - g->pace) /
		       PACE_FULL;
		if (headroom_after(c, w, g->image, more) > HEADROOM_BACK) {
			pace_group(c, w, g->image, PACE_FULL);
			return;
		}
		if (!g->pace && v->least > HEADROOM_BACK &&
		    c->now_ms - w->paced_ms > PACE_STALE_MS) {
			pace_group(c, w, g->image, PACE_SLOW);
			return;
		}
	}
}

/* A task that resumes loses less by a move than by standing still. */
static void move_slowed(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;

	for (t = w->first; t; t = next) {
		next = t->next;
		if (!is_filling(t) || t->pace == PACE_FULL ||
		    !step_is(t->step, STEP_CHECKPOINTS))
			continue;
		c->counts.moves++;
		cell_task_stop(c, t);
	}
}

/* Orders whose answers were lost, and tasks started beside slowed ones. */
static void repeat_orders(struct cell *c, struct cell_worker *w,
			  const struct view *v)
{
	struct cell_task *t;
	size_t i;

	for (t = w->first; t; t = t->next)
		for (i = 0; is_filling(t) && i < v->count; i++)
			if (v->groups[i].image == t->step->image)
				cell_task_pace(c, t, v->groups[i].pace);
}

void cell_pace(struct cell *c, struct cell_worker *w)
{
	struct view v = {0};

	w->view_stale = true;
	gather_filling(w, &v);
	learn(c, w, &v);
	if (!v.count)
		return;
	find_effects(c, &v);
	repeat_orders(c, w, &v);
	move_slowed(c, w);
	if (v.tightest && v.least < HEADROOM_LOW)
		slow_down(c, w, &v);
	else if (c->now_ms - w->paced_ms >= PACE_SETTLE_MS)
		speed_up(c, w, &v);
}
