#include "host/explain_text.h"

#include <inttypes.h>

#define CORE 1000.0 /* thousandths */

static void write_worker(const struct explain_worker *w, const char *what,
			 struct buf *out)
{
	buf_addf(out, "  %s %s cost=%.3f free_cores=%.1f\n", what, w->id,
		 w->cost, w->cpu_free / CORE);
}

static void write_step(const struct explain_step *s, struct buf *out)
{
	size_t i;

	buf_addf(out, "step %u: %s, %u of %u tasks start now\n", s->number,
		 explain_verdict_name(s->verdict), s->starts, s->count);
	if (s->verdict == EXPLAIN_DEPENDS)
		return;
	buf_addf(out,
		 "  order: lateness=%u priority=%u long_running=%u "
		 "misses_deadline=%u tasks_ahead=%" PRIu64
		 " cores_ahead=%.1f\n",
		 s->lateness, s->priority, s->long_running, s->misses_deadline,
		 s->ahead, (double)s->ahead_cpu / CORE);
	for (i = 0; i < s->best_count; i++)
		write_worker(&s->best[i],
			     s->starts && !i ? "chosen:" : "then:", out);
	buf_adds(out, "  workers:");
	for (i = 0; i < OBSTRUCTED_BY_KINDS; i++)
		if (s->workers[i])
			buf_addf(out, " %s=%u",
				 explain_obstacle_name(
					 (enum explain_obstacle)i),
				 s->workers[i]);
	buf_addf(out, " most_free_cores=%.1f\n", s->cpu_free_max / CORE);
}

static void write_quota(const struct quota *q, struct buf *out)
{
	buf_addf(out,
		 "account %s: runs=%u cores=%.1f cores_max=%.1f "
		 "memory_mb=%" PRIu64 " memory_max_mb=%" PRIu64
		 " accelerators=%" PRIu64 " accelerators_max=%" PRIu64
		 " (a limit of 0 is none)\n",
		 q->name, q->runs, (double)q->taken.cpu / CORE,
		 (double)q->max.cpu / CORE, q->taken.memory_mb,
		 q->max.memory_mb, q->taken.accelerators, q->max.accelerators);
}

void explain_text_write(const struct explanation *e, struct buf *out)
{
	size_t i;

	if (e->quota.name[0])
		write_quota(&e->quota, out);
	if (!e->step_count)
		buf_adds(out, "no occurrence is due\n");
	for (i = 0; i < e->step_count; i++)
		write_step(&e->steps[i], out);
}
