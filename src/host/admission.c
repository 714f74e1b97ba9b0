#include "host/admission.h"

#include "cell/quota.h"

/* Whether a step fits in the limits of an account that runs nothing else: a
 * gang starts as a whole. */
static bool fits_in_limits(const struct job_step *s, const struct account *a)
{
	struct demand d = demand_of_step(s);
	struct quota q = {0};

	if (!a)
		return true;
	quota_set_limits(&q, a);
	return quota_fits(&q, &d, s->flags & STEP_GANG ? s->count : 1);
}

enum admission admission_check(const struct size_table *sizes,
			       const struct queue *q,
			       const struct account *account,
			       const struct job_spec *spec, size_t *step)
{
	*step = 0;
	if (q->advice)
		return ADMISSION_NEEDS_TICKETS;
	for (; *step < spec->steps.count; ++*step) {
		const struct job_step *s = job_spec_step(spec, *step);

		if (!size_table_may_run(sizes, q->service, s))
			return ADMISSION_NO_WORKER;
		if (!fits_in_limits(s, account))
			return ADMISSION_OVER_LIMITS;
	}
	return ADMISSION_OK;
}

const char *admission_name(enum admission a)
{
	static const char *const names[] = {
		[ADMISSION_OK] = "ok",
		[ADMISSION_NEEDS_TICKETS] = "needs_tickets",
		[ADMISSION_NO_WORKER] = "no_worker_large_enough",
		[ADMISSION_OVER_LIMITS] = "gang_over_limits",
	};

	return names[a];
}
