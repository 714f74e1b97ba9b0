#include "cell/cell_pace.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_task.h"

/* A long-running task reports this progress while it is ready for requests. */
#define SERVING_PERCENT 100
/* Headroom, target over tail latency, that best-effort tasks must leave: they
 * are throttled so that the latency-critical step with the least headroom keeps
 * it. */
#define HEADROOM_LEFT_MIN 1.0
/* Load is forecast until the pace set after the next reply takes effect. */
#define FORECAST_S 0.8
/* Standard deviations that are subtracted from the forecast headroom. */
#define LOAD_STDDEVS 0.0
/* Weight of a measurement against the forecast, where the measurement is lower.
 */
#define MEASURED_WEIGHT 0.4
/* The tasks of an image that together take less headroom than this are not
 * throttled. */
#define EFFECT_MIN 0.03
/* Granularity of paces, and the least increase that is ordered, percent. */
#define PACE_STEP 10
#define PACE_RAISE_MIN 20
/* All best-effort tasks are paused when a latency-critical task has been over
 * its target for this long, or sooner where the deployment's bound is short. */
#define OVER_PAUSE_MS 1200
/* Error of a reported tail latency, as a share of it: a measurement that is
 * under the target by less does not show that the task is. */
#define SAMPLE_ERROR 0.05
/* All best-effort tasks are also paused when no measurement has shown a
 * latency-critical task under its target for the deployment's bound less this:
 * the task may have been over it all the while. The first measurement comes up
 * to a second late, as does the reply that finds the time to be over, and a
 * pause takes a tenth of a second to take effect. */
#define REACTION_MS 2400
/* A pace is raised only this long after the last change: a sample covers half a
 * second, and a new pace takes a tenth of a second to take effect. */
#define PACE_SETTLE_MS 600
/* A task is paused again if it still works this long after its pause was
 * acknowledged: a measurement covers half a second, and the reply that brings
 * it may have waited for as long. */
#define PAUSE_CHECK_MS 1200
/* A task with checkpoints that has been below this pace for this long is moved
 * to another worker. */
#define MOVE_PACE 30
#define MOVE_AFTER_MS 1300
/* Share of its declared processors that a best-effort task uses at full speed;
 * assumed for tasks without a measurement at full speed. */
#define BEST_EFFORT_USE 0.75
/* Time that one measurement of a worker covers. */
#define SAMPLE_PERIOD_MS 500
/* Age of a sample: it describes the middle of the half second before it. */
#define SAMPLE_AGE_MS 250
#define MS_PER_S 1000.0

/**
 * struct image_group - best-effort tasks of one image on a worker
 * @share: share of the worker's processors that they use now
 * @full_share: share that they would use at full speed
 * @pace: lowest pace of its tasks, percent
 * @wanted: wanted pace, as a share of full speed
 */
struct image_group {
	uint64_t image;
	double share;
	double full_share;
	uint8_t pace;
	double wanted;
};

/**
 * struct serving_load - one latency-critical step on a worker
 * @headroom: least headroom without best-effort tasks that is forecast for the
 *	next FORECAST_S
 */
struct serving_load {
	const struct cell_step *step;
	double headroom;
};

/**
 * struct worker_load - tasks and measurements in a worker's poll reply
 * @over_since_ms: earliest @over_since_ms of its latency-critical tasks, or 0
 * @unproven_since_ms: earliest @unproven_since_ms of them, or 0
 * @is_idle: no best-effort task has worked during the last measurement
 */
struct worker_load {
	struct image_group groups[EFFECT_NEIGHBOURS_MAX];
	size_t count;
	struct serving_load serving_loads[SERVING_STEPS_MAX];
	size_t serving_count;
	int64_t over_since_ms;
	int64_t unproven_since_ms;
	bool is_idle;
};

static bool is_running_best_effort(const struct cell_task *t)
{
	return step_has_flag(t->step, STEP_BEST_EFFORT) &&
	       t->state == TASK_RUNNING;
}

/* Whether a latency-critical task is ready for requests and has been measured.
 */
static bool is_ready_serving(const struct cell_task *t)
{
	return step_is_serving(t->step) && t->state == TASK_RUNNING &&
	       t->percent >= SERVING_PERCENT && t->measure;
}

static struct image_group *group_get_or_add(struct worker_load *v,
					    uint64_t image)
{
	size_t i;

	for (i = 0; i < v->count; i++)
		if (v->groups[i].image == image)
			return &v->groups[i];
	if (v->count == EFFECT_NEIGHBOURS_MAX)
		return NULL;
	v->groups[v->count].image = image;
	v->groups[v->count].pace = PACE_FULL;
	return &v->groups[v->count++];
}

static double cpu_share_at_full_speed(const struct cell_worker *w,
				      const struct cell_task *t)
{
	double cpu = t->pace == PACE_FULL && t->measure
			     ? t->measure
			     : BEST_EFFORT_USE * t->step->spec->cpu;

	return cpu / (w->entry.cpu + 1.0);
}

static void gather_best_effort(const struct cell_worker *w,
			       struct worker_load *v)
{
	const struct cell_task *t;

	v->is_idle = true;
	for (t = w->first_task; t; t = t->next) {
		struct image_group *g;

		if (!is_running_best_effort(t))
			continue;
		if (t->pace || t->measure)
			v->is_idle = false;
		g = group_get_or_add(v, t->step->image);
		if (!g)
			continue;
		g->share += t->measure / (w->entry.cpu + 1.0);
		g->full_share += cpu_share_at_full_speed(w, t);
		if (t->pace < g->pace)
			g->pace = t->pace;
	}
}

/* Workers reply to polls more often than they measure: each sample counts once.
 */
static bool is_new_sample(const struct cell *c, struct cell_task *t)
{
	if (t->measure == t->last_sample &&
	    c->now_ms - t->last_sample_ms < SAMPLE_PERIOD_MS)
		return false;
	t->last_sample = t->measure;
	t->last_sample_ms = c->now_ms;
	return true;
}

/* Headroom that the best-effort tasks take now from a latency-critical image.
 */
static double headroom_taken(const struct cell *c, const struct worker_load *v,
			     uint64_t serving)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < v->count; i++)
		sum += v->groups[i].share *
		       effect_model_estimate(&c->effect_model, serving,
					     v->groups[i].image, NULL);
	return sum;
}

/* Lowers the forecast of a step towards its last measurement where that is
 * lower. */
static void update_serving_load(const struct cell *c, struct worker_load *v,
				const struct cell_step *st, double headroom)
{
	double now_s = (double)c->now_ms / MS_PER_S;
	double measured = headroom + headroom_taken(c, v, st->image);
	struct serving_load *s;
	size_t i;

	for (i = 0; i < v->serving_count && v->serving_loads[i].step != st; i++)
		;
	if (i == SERVING_STEPS_MAX)
		return;
	s = &v->serving_loads[i];
	if (i == v->serving_count) {
		v->serving_count++;
		s->step = st;
		s->headroom =
			load_curve_min(st->curve, &c->effect_model.periods,
				       now_s, now_s + FORECAST_S, LOAD_STDDEVS);
	}
	if (measured < s->headroom)
		s->headroom += MEASURED_WEIGHT * (measured - s->headroom);
}

/* Starts or ends a span of time, see the fields of struct cell_task; @earliest
 * is the earliest start of such spans on the worker, or 0. */
static void update_span(const struct cell *c, bool continues, int64_t *since_ms,
			int64_t *earliest)
{
	if (!continues)
		*since_ms = 0;
	else if (!*since_ms)
		*since_ms = c->now_ms;
	if (*since_ms && (!*earliest || *since_ms < *earliest))
		*earliest = *since_ms;
}

static void learn_samples(struct cell *c, struct cell_worker *w,
			  struct worker_load *v)
{
	struct effect_neighbour n[EFFECT_NEIGHBOURS_MAX];
	struct cell_task *t;
	size_t i;

	for (i = 0; i < v->count; i++) {
		n[i].image = v->groups[i].image;
		n[i].share = v->groups[i].share;
	}
	for (t = w->first_task; t; t = t->next) {
		double headroom;

		if (!is_ready_serving(t)) {
			t->over_since_ms = 0;
			t->unproven_since_ms = 0;
			continue;
		}
		headroom = (double)t->step->spec->target_ms / t->measure;
		if (is_new_sample(c, t))
			effect_model_learn(&c->effect_model, t->step->image,
					   t->step->curve,
					   (double)(c->now_ms - SAMPLE_AGE_MS) /
						   MS_PER_S,
					   headroom, n, v->count);
		update_span(c, headroom < 1, &t->over_since_ms,
			    &v->over_since_ms);
		update_span(c, !v->is_idle && headroom < 1 + SAMPLE_ERROR,
			    &t->unproven_since_ms, &v->unproven_since_ms);
		if (v->count)
			update_serving_load(c, v, t->step, headroom);
	}
}

/* Sets the pace of the best-effort tasks of one image; 0 for all images. */
static void pace_group(struct cell *c, struct cell_worker *w, uint64_t image,
		       uint8_t pace)
{
	struct cell_task *t;

	for (t = w->first_task; t; t = t->next)
		if (is_running_best_effort(t) &&
		    (!image || t->step->image == image))
			cell_task_set_pace(c, t, pace);
	w->paced_ms = c->now_ms;
}

static bool has_lasted(const struct cell *c, int64_t since_ms, int64_t ms)
{
	return since_ms && c->now_ms - since_ms >= ms;
}

static bool must_pause_all(const struct cell *c, const struct worker_load *v)
{
	int64_t unproven_ms = c->opt.violation_ms - REACTION_MS;
	int64_t over_ms =
		unproven_ms < OVER_PAUSE_MS ? unproven_ms : OVER_PAUSE_MS;

	return has_lasted(c, v->over_since_ms, over_ms) ||
	       has_lasted(c, v->unproven_since_ms, unproven_ms);
}

static void pause_all(struct cell *c, struct cell_worker *w,
		      const struct worker_load *v)
{
	if (!v->is_idle)
		log_line(LOG_INFO, "best-effort tasks paused",
			 "worker=%s over_ms=%lld unproven_ms=%lld",
			 w->entry.addr.id,
			 (long long)(v->over_since_ms
					     ? c->now_ms - v->over_since_ms
					     : 0),
			 (long long)(v->unproven_since_ms
					     ? c->now_ms - v->unproven_since_ms
					     : 0));
	pace_group(c, w, 0, 0);
}

/* Headroom that a group takes from a step at full speed. */
static double headroom_taken_by(const struct cell *c,
				const struct serving_load *s,
				const struct image_group *g)
{
	return g->full_share * effect_model_estimate(&c->effect_model,
						     s->step->image, g->image,
						     NULL);
}

/*
 * Find the step with the least headroom left at the wanted paces; @least_left
 * receives that headroom.
 *
 * Return: the step, or NULL if there is no latency-critical step.
 */
static const struct serving_load *find_tightest(const struct cell *c,
						const struct worker_load *v,
						double *least_left)
{
	const struct serving_load *tightest = NULL;
	size_t i, j;

	for (j = 0; j < v->serving_count; j++) {
		double left = v->serving_loads[j].headroom;

		for (i = 0; i < v->count; i++)
			left -= headroom_taken_by(c, &v->serving_loads[j],
						  &v->groups[i]) *
				v->groups[i].wanted;
		if (tightest && left >= *least_left)
			continue;
		tightest = &v->serving_loads[j];
		*least_left = left;
	}
	return tightest;
}

/* Throttles the group that takes most from the step with the least headroom,
 * and repeats until all steps have HEADROOM_LEFT_MIN or no group takes more
 * than EFFECT_MIN from that step. */
static void plan_paces(const struct cell *c, struct worker_load *v)
{
	size_t round, i;

	for (i = 0; i < v->count; i++)
		v->groups[i].wanted = 1;
	for (round = 0; round < v->count + v->serving_count; round++) {
		struct image_group *worst = NULL;
		const struct serving_load *s;
		double least_left = 0, most_taken = EFFECT_MIN;

		s = find_tightest(c, v, &least_left);
		if (!s || least_left >= HEADROOM_LEFT_MIN)
			return;
		for (i = 0; i < v->count; i++) {
			struct image_group *g = &v->groups[i];
			double taken = headroom_taken_by(c, s, g) * g->wanted;

			if (taken > most_taken) {
				worst = g;
				most_taken = taken;
			}
		}
		if (!worst)
			return; /* the step's own load is too high */
		worst->wanted -= worst->wanted *
				 (HEADROOM_LEFT_MIN - least_left) / most_taken;
		if (worst->wanted < 0)
			worst->wanted = 0;
	}
}

static void order_paces(struct cell *c, struct cell_worker *w,
			struct worker_load *v)
{
	bool settled = c->now_ms - w->paced_ms >= PACE_SETTLE_MS;
	size_t i;

	for (i = 0; i < v->count; i++) {
		struct image_group *g = &v->groups[i];
		uint8_t pace = (uint8_t)(g->wanted * PACE_FULL);

		pace -= pace % PACE_STEP;
		if (pace < g->pace)
			log_line(LOG_INFO, "best-effort tasks throttled",
				 "worker=%s image=%016" PRIx64
				 " share=%.2f pace=%u before=%u",
				 w->entry.addr.id, g->image, g->full_share,
				 pace, g->pace);
		else if (pace == g->pace || !settled ||
			 (pace < g->pace + PACE_RAISE_MIN && pace < PACE_FULL))
			continue;
		pace_group(c, w, g->image, pace);
		g->pace = pace;
	}
}

/* A task that resumes from a checkpoint loses less by a move than by staying
 * throttled. */
static void move_throttled(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;

	for (t = w->first_task; t; t = next) {
		next = t->next;
		if (!is_running_best_effort(t) || t->pace >= MOVE_PACE) {
			t->throttled_since_ms = 0;
			continue;
		}
		if (!t->throttled_since_ms)
			t->throttled_since_ms = c->now_ms;
		if (c->now_ms - t->throttled_since_ms < MOVE_AFTER_MS ||
		    !step_has_flag(t->step, STEP_CHECKPOINTS))
			continue;
		c->counts.moves++;
		cell_task_stop(c, t);
	}
}

/* An order without a reply may be carried out late, after newer ones: a task
 * that works after its pause was acknowledged is paused again. */
static void check_paused(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t;

	for (t = w->first_task; t; t = t->next) {
		if (!is_running_best_effort(t) || t->pace || !t->measure ||
		    t->pace_sent == PACE_UNKNOWN || t->pace_in_flight ||
		    c->now_ms - t->paced_ms < PAUSE_CHECK_MS)
			continue;
		log_line(LOG_WARN, "paused task works: pausing it again",
			 "worker=%s job=%016" PRIx64
			 " index=%u run=%u cpu_milli=%u",
			 w->entry.addr.id, t->step->job->entry->id, t->index,
			 t->run, t->measure);
		t->pace_sent = PACE_UNKNOWN;
	}
}

/* Sends again the paces that a worker has not acknowledged, and sets those of
 * tasks that were started since their group was throttled. */
static void resend_paces(struct cell *c, struct cell_worker *w,
			 const struct worker_load *v)
{
	struct cell_task *t;
	size_t i;

	for (t = w->first_task; t; t = t->next)
		for (i = 0; is_running_best_effort(t) && i < v->count; i++)
			if (v->groups[i].image == t->step->image)
				cell_task_set_pace(c, t, v->groups[i].pace);
}

void cell_pace_worker(struct cell *c, struct cell_worker *w)
{
	struct worker_load v = {0};

	w->headroom_stale = true;
	gather_best_effort(w, &v);
	learn_samples(c, w, &v);
	if (!v.count)
		return;
	check_paused(c, w);
	if (must_pause_all(c, &v)) {
		pause_all(c, w, &v);
	} else {
		plan_paces(c, &v);
		order_paces(c, w, &v);
		resend_paces(c, w, &v);
	}
	move_throttled(c, w);
}
