#include "cell/cell_types.h"

#include <inttypes.h>

#include "base/logger.h"

/* A task that lasts is at work from this progress on. */
#define AT_WORK_PERCENT 100
/* Headroom, target over tail latency, that filling tasks leave: they are paced
 * so that the tightest step keeps it. */
#define HEADROOM_PACE 1.0
/* Load is foreseen up to the next look, and the pace that it brings. */
#define LOOK_AHEAD_S 0.8
#define LOAD_DOUBTS 0.0
/* Weight of the last measurement against what was foreseen, where it is the
 * worse one. */
#define MEASURED_WEIGHT 0.4
/* Headroom that a group takes must be more than this to be slowed for it. */
#define EFFECT_MIN 0.03
/* Paces are ordered in steps; a higher one must gain this much. */
#define PACE_STEP 10
#define PACE_GAIN 20
/* Over the target for so long, all that fills stands still: the platform's
 * bound on an excess is several times as long. */
#define OVER_ALL_MS 1200
/* A sample covers half a second, and the pace takes a tenth to show. */
#define PACE_SETTLE_MS 600
/* Below this pace for so long, a task that resumes loses less by a move. */
#define MOVE_PACE 30
#define MOVE_AFTER_MS 1300
/* Share of its declared processors that a filling task uses at full speed,
 * where its measurement does not tell. */
#define FILLING_USE 0.75
/* A measurement of a worker covers this time. */
#define SAMPLE_PERIOD_MS 500
/* A sample covers the half second before it, so it tells of its middle. */
#define SAMPLE_AGE_MS 250
#define MS_PER_S 1000.0

/**
 * struct group - filling tasks of one image on a worker
 * @share: of the worker's processors, in use now
 * @full: the same at full speed
 * @pace: ordered now, percent
 * @want: share of full speed that is wanted
 */
struct group {
	uint64_t image;
	double share;
	double full;
	uint8_t pace;
	double want;
};

/**
 * struct served - one serving step on a worker
 * @load: headroom that its users leave without filling tasks, until the next
 *	look
 */
struct served {
	const struct cell_step *step;
	double load;
};

struct view {
	struct group groups[DISTURB_NEIGHBOURS_MAX];
	size_t count;
	struct served served[SERVING_STEPS_MAX];
	size_t served_count;
	int64_t over_ms;
};

static bool is_filling(const struct cell_task *t)
{
	return step_is(t->step, STEP_BEST_EFFORT) && t->state == TASK_RUNNING;
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

static double full_share(const struct cell_worker *w, const struct cell_task *t)
{
	double cpu = t->pace == PACE_FULL && t->measure
			     ? t->measure
			     : FILLING_USE * t->step->spec->cpu;

	return cpu / (w->entry.cpu + 1.0);
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
		g->full += full_share(w, t);
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

static double taken_now(const struct cell *c, const struct view *v,
			uint64_t serving)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < v->count; i++)
		sum += v->groups[i].share * disturb_effect(&c->disturb, serving,
							   v->groups[i].image,
							   NULL);
	return sum;
}

/* What was measured last counts where it is worse than what was foreseen. */
static void note_served(const struct cell *c, struct view *v,
			const struct cell_step *st, double headroom)
{
	double now_s = (double)c->now_ms / MS_PER_S;
	double measured = headroom + taken_now(c, v, st->image);
	struct served *s;
	size_t i;

	for (i = 0; i < v->served_count && v->served[i].step != st; i++)
		;
	if (i == SERVING_STEPS_MAX)
		return;
	s = &v->served[i];
	if (i == v->served_count) {
		v->served_count++;
		s->step = st;
		s->load =
			load_curve_least(st->curve, &c->disturb.periods, now_s,
					 now_s + LOOK_AHEAD_S, LOAD_DOUBTS);
	}
	if (measured < s->load)
		s->load += MEASURED_WEIGHT * (measured - s->load);
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
		if (is_new_sample(c, t))
			disturb_learn(&c->disturb, t->step->image,
				      t->step->curve,
				      (double)(c->now_ms - SAMPLE_AGE_MS) /
					      MS_PER_S,
				      headroom, n, v->count);
		if (headroom >= 1)
			t->over_ms = 0;
		else if (!t->over_ms)
			t->over_ms = c->now_ms;
		if (t->over_ms && (!v->over_ms || t->over_ms < v->over_ms))
			v->over_ms = t->over_ms;
		if (v->count)
			note_served(c, v, t->step, headroom);
	}
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

static double taken_by(const struct cell *c, const struct served *s,
		       const struct group *g)
{
	return g->full *
	       disturb_effect(&c->disturb, s->step->image, g->image, NULL);
}

/* Return: the step that has least left at the paces wanted, or NULL. */
static const struct served *find_tightest(const struct cell *c,
					  const struct view *v, double *least)
{
	const struct served *tightest = NULL;
	size_t i, j;

	for (j = 0; j < v->served_count; j++) {
		double left = v->served[j].load;

		for (i = 0; i < v->count; i++)
			left -= taken_by(c, &v->served[j], &v->groups[i]) *
				v->groups[i].want;
		if (tightest && left >= *least)
			continue;
		tightest = &v->served[j];
		*least = left;
	}
	return tightest;
}

/* The group that takes most of the tightest step gives way first. */
static void plan(const struct cell *c, struct view *v)
{
	size_t round, i;

	for (i = 0; i < v->count; i++)
		v->groups[i].want = 1;
	for (round = 0; round < v->count + v->served_count; round++) {
		struct group *worst = NULL;
		const struct served *s;
		double least = 0, most = EFFECT_MIN;

		s = find_tightest(c, v, &least);
		if (!s || least >= HEADROOM_PACE)
			return;
		for (i = 0; i < v->count; i++) {
			struct group *g = &v->groups[i];
			double taken = taken_by(c, s, g) * g->want;

			if (taken > most) {
				worst = g;
				most = taken;
			}
		}
		if (!worst)
			return; /* the load of the serving task itself */
		worst->want -= worst->want * (HEADROOM_PACE - least) / most;
		if (worst->want < 0)
			worst->want = 0;
	}
}

static void order_paces(struct cell *c, struct cell_worker *w, struct view *v)
{
	bool settled = c->now_ms - w->paced_ms >= PACE_SETTLE_MS;
	size_t i;

	for (i = 0; i < v->count; i++) {
		struct group *g = &v->groups[i];
		uint8_t pace = (uint8_t)(g->want * PACE_FULL);

		pace -= pace % PACE_STEP;
		if (pace < g->pace)
			log_line(LOG_INFO, "filling tasks slowed",
				 "worker=%s image=%016" PRIx64
				 " share=%.2f pace=%u before=%u",
				 w->entry.addr.id, g->image, g->full, pace,
				 g->pace);
		else if (pace == g->pace || !settled ||
			 (pace < g->pace + PACE_GAIN && pace < PACE_FULL))
			continue;
		pace_group(c, w, g->image, pace);
		g->pace = pace;
	}
}

/* A task that resumes loses less by a move than by standing still. */
static void move_slowed(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;

	for (t = w->first; t; t = next) {
		next = t->next;
		if (!is_filling(t) || t->pace >= MOVE_PACE) {
			t->slowed_ms = 0;
			continue;
		}
		if (!t->slowed_ms)
			t->slowed_ms = c->now_ms;
		if (c->now_ms - t->slowed_ms < MOVE_AFTER_MS ||
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
	if (v.over_ms && c->now_ms - v.over_ms >= OVER_ALL_MS) {
		pace_group(c, w, 0, 0);
	} else {
		plan(c, &v);
		order_paces(c, w, &v);
		repeat_orders(c, w, &v);
	}
	move_slowed(c, w);
}
