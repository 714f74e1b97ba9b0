#include "cell/place_plan.h"

/* A step whose slack is shorter may have none in the next pass, which follows
 * within 50 ms. */
#define SLACK_MIN_MS 50
/* A plan is dropped when its worker has no room by this multiple of the
 * uncertainty: the running times that it goes by are wrong. */
#define OVERDUE_FACTOR 2

/* Plans are made for steps that can end in time, so they stand behind steps of
 * a higher class only, and those that could not wait any longer. */
static bool goes_before(const struct plan_claim *q, const struct place_plan *p)
{
	if (q->goes_first || q->lateness < p->lateness)
		return true;
	if (q->lateness > p->lateness)
		return false;
	return q->priority < p->priority ||
	       (q->slack_ms >= 0 && q->slack_ms < SLACK_MIN_MS);
}

bool place_plan_exists(const struct place_plan *p)
{
	return p->tasks > 0;
}

enum plan_answer place_plan_ask(const struct place_plan *p,
				const struct plan_claim *q, int64_t now_ms)
{
	if (step_ref_equals(&p->owner, &q->owner))
		return PLAN_IS_OWN;
	if (goes_before(q, p))
		return PLAN_YIELDS;
	if (now_ms + q->run_ms <= p->start_ms)
		return PLAN_BEFORE;
	if (q->need.cpu <= p->spare.cpu &&
	    q->need.memory_mb <= p->spare.memory_mb &&
	    q->need.accelerators <= p->spare.accelerators)
		return PLAN_BESIDE;
	return PLAN_HOLDS;
}

bool place_plan_started(struct place_plan *p, const struct plan_claim *q,
			enum plan_answer answer)
{
	if (answer == PLAN_BESIDE) {
		p->spare.cpu -= q->need.cpu;
		p->spare.memory_mb -= q->need.memory_mb;
		p->spare.accelerators -= q->need.accelerators;
	}
	if (answer == PLAN_IS_OWN)
		p->tasks--;
	return p->tasks > 0;
}

bool place_plan_is_overdue(const struct place_plan *p, int64_t now_ms)
{
	return now_ms > p->start_ms + OVERDUE_FACTOR * p->uncertainty_ms;
}
