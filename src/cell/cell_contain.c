#include "cell/cell_contain.h"

#include "cell/cell_crash.h"
#include "cell/cell_place.h"

/* Pause after the crash with which a task is contained; each further one makes
 * it this many times as long, up to the longest pause. */
#define PAUSE_MIN_MS 3000
#define PAUSE_FACTOR 4
#define PAUSE_MAX_MS 60000
/* Within LOST_PERIOD_MS, the time in which a worker that has crashed is back,
 * contained tasks may crash one worker in CONTAIN_SHARE of a service, and at
 * least one. */
#define CONTAIN_SHARE 20
#define LOST_PERIOD_MS 5000

void cell_contain_task(struct cell *c, struct cell_task *t)
{
	if (t->contained)
		return;
	t->contained = true;
	c->contained_trials += t->on_trial;
	t->step->contained++;
	t->step->job->contained++;
}

void cell_contain_release(struct cell *c, struct cell_task *t)
{
	if (!t->contained)
		return;
	t->contained = false;
	c->contained_trials -= t->on_trial;
	t->step->contained--;
	t->step->job->contained--;
	c->place_due = true;
}

void cell_contain_crashed(struct cell *c, const struct cell_task *t)
{
	if (t->contained)
		c->contained_crash_ms = c->now_ms;
}

int64_t cell_contain_pause_ms(const struct cell_task *t)
{
	/* The former owner may not have noticed that a worker crashed. */
	uint32_t crashes = (uint32_t)t->crashes_seen + t->former_run, n;
	int64_t ms = PAUSE_MIN_MS;

	for (n = CRASHES_MIN; n < crashes && ms < PAUSE_MAX_MS; n++)
		ms *= PAUSE_FACTOR;
	return ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS;
}

/* How many workers of a task's service contained tasks may take at a time. */
static uint32_t service_share(const struct cell *c, const struct cell_task *t)
{
	uint64_t service = cell_step_service(c, t->step);
	const struct cell_worker *w;
	uint32_t n = 0;

	for (w = c->workers; w; w = w->next)
		n += w->service == service;
	return n > CONTAIN_SHARE ? n / CONTAIN_SHARE : 1;
}

static bool may_lose_a_worker(const struct cell *c, const struct cell_task *t)
{
	int64_t crash_age_ms = c->contained_crash_ms
				       ? c->now_ms - c->contained_crash_ms
				       : INT64_MAX;
	uint32_t share;

	if (!c->contained_trials && crash_age_ms >= LOST_PERIOD_MS)
		return true;
	share = service_share(c, t);
	return c->contained_trials < share &&
	       crash_age_ms >= LOST_PERIOD_MS / share;
}

bool cell_contain_holds(const struct cell *c, const struct cell_task *t)
{
	if (!t->step->job->contained)
		return false;
	if (t->contained)
		return c->now_ms - t->crashed_ms < cell_contain_pause_ms(t) ||
		       !may_lose_a_worker(c, t);
	/* A gang starts as a whole, once its contained tasks may. */
	return !step_has_flag(t->step, STEP_GANG) || !t->step->contained;
}

uint32_t cell_contain_neighbours(const struct cell_task *t,
				 const struct cell_worker *w)
{
	const struct cell_task *o;
	uint32_t n = 0;

	for (o = w->first_task; t->contained && o; o = o->next)
		n++;
	return n;
}
