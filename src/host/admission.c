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

/* Processors that a job holds until it is cancelled, in thousandths of a core.
 */
static uint64_t long_running_cpu(const struct job_spec *spec)
{
	uint64_t cpu = 0;
	size_t i;

	for (i = 0; i < spec->steps.count; i++) {
		const struct job_step *s = job_spec_step(spec, i);

		if ((s->flags & STEP_LONG_RUNNING) &&
		    !(s->flags & STEP_BEST_EFFORT))
			cpu += (uint64_t)s->count * s->cpu;
	}
	return cpu;
}

/* The same of the jobs of a service that have been accepted since the owner
 * stored the load, which does not count them. */
static uint64_t uncounted_cpu(const struct job_view *view,
			      const struct queue_table *queues,
			      const char *service)
{
	const struct job_entry *e;
	const struct queue *q;
	uint64_t cpu = 0;

	for (e = view->jobs; e && e->added_number > view->loads_number;
	     e = e->next) {
		if (!e->spec || job_state_is_terminal(e->state))
			continue;
		q = queue_table_find(queues, e->spec->queue);
		if (q && !strcmp(q->service, service))
			cpu += long_running_cpu(e->spec);
	}
	return cpu;
}

static bool is_full(const struct job_view *view,
		    const struct queue_table *queues, const struct queue *q,
		    const struct job_spec *spec, int64_t now_ms)
{
	uint64_t cpu = long_running_cpu(spec);

	return cpu && load_table_is_current(&view->loads, now_ms) &&
	       load_table_is_full(&view->loads, q->service, spec->priority,
				  cpu + uncounted_cpu(view, queues,
						      q->service));
}

enum admission
admission_check(const struct job_view *view, const struct queue_table *queues,
		const struct queue *q, const struct account *account,
		const struct job_spec *spec, int64_t now_ms, size_t *step)
{
	*step = 0;
	if (q->advice)
		return ADMISSION_NEEDS_TICKETS;
	for (; *step < spec->steps.count; ++*step) {
		const struct job_step *s = job_spec_step(spec, *step);

		if (!size_table_may_run(&view->sizes, q->service, s))
			return ADMISSION_NO_WORKER;
		if (!fits_in_limits(s, account))
			return ADMISSION_OVER_LIMITS;
	}
	*step = 0;
	return is_full(view, queues, q, spec, now_ms) ? ADMISSION_FULL
						      : ADMISSION_OK;
}

const char *admission_name(enum admission a)
{
	static const char *const names[] = {
		[ADMISSION_OK] = "ok",
		[ADMISSION_NEEDS_TICKETS] = "needs_tickets",
		[ADMISSION_NO_WORKER] = "no_worker_large_enough",
		[ADMISSION_OVER_LIMITS] = "gang_over_limits",
		[ADMISSION_FULL] = "short_work_needs_processors",
	};

	return names[a];
}
