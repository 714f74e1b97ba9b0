#include "cell/cell_usage.h"

#include <inttypes.h>

#include "base/logger.h"

#define CORE 1000 /* thousandths */

/**
 * struct usage - what the workers have and what tasks take of it
 *
 * Processors are in thousandths of a core. Those that tasks hold are the
 * declared ones.
 *
 * @cpu: of all workers
 * @held: by all but best-effort tasks
 * @serving: by latency-critical tasks
 * @best_effort: declared by best-effort tasks, which hold none, and
 *	@best_effort_used by their last measurements
 * @slowed: best-effort tasks below full speed
 * @over: latency-critical tasks over their target
 */
struct usage {
	uint64_t cpu;
	uint64_t held;
	uint64_t serving;
	uint64_t short_work;
	uint64_t long_running;
	uint64_t best_effort;
	uint64_t best_effort_used;
	uint64_t slowed;
	uint64_t serving_tasks;
	uint64_t over;
	uint64_t free[PIECE_KINDS];
};

static enum cpu_piece piece_of(const struct cell_worker *w)
{
	uint64_t cpu_free = cell_worker_cpu_free(w);

	if (cpu_free * 8 < w->entry.cpu)
		return PIECE_BELOW_EIGHTH;
	if (cpu_free * 4 < w->entry.cpu)
		return PIECE_BELOW_QUARTER;
	return cpu_free * 2 < w->entry.cpu ? PIECE_BELOW_HALF : PIECE_LARGER;
}

static void add_task(struct usage *u, const struct cell_task *t)
{
	if (step_has_flag(t->step, STEP_BEST_EFFORT)) {
		u->best_effort_used += t->measure;
		u->slowed += t->pace < PACE_FULL;
		return;
	}
	if (step_has_flag(t->step, STEP_LONG_RUNNING))
		u->long_running += t->step->spec->cpu;
	else
		u->short_work += t->step->spec->cpu;
	if (step_is_serving(t->step)) {
		u->serving_tasks++;
		u->over += t->over_since_ms != 0;
	}
}

static void add_worker(struct usage *u, const struct cell_worker *w)
{
	const struct cell_task *t;

	u->cpu += w->entry.cpu;
	u->held += w->cpu_used;
	u->serving += w->cpu_serving;
	u->best_effort += w->cpu_best_effort;
	if (w->accepts_tasks)
		u->free[piece_of(w)] += cell_worker_cpu_free(w);
	for (t = w->first_task; t; t = t->next)
		add_task(u, t);
}

static void log_usage(const struct cell *c, const struct usage *u)
{
	const struct cell_job *j;
	uint64_t waiting = 0;

	for (j = c->jobs; j; j = j->next)
		waiting += j->waiting;
	log_line(LOG_INFO, "cell load",
		 "epoch=%" PRIu64 " room=%" PRIu64 " counted=%" PRIu64
		 " serving=%" PRIu64 " filling=%" PRIu64
		 " filling_used=%" PRIu64 " slowed=%" PRIu64
		 " serving_tasks=%" PRIu64 " over=%" PRIu64 " waiting=%" PRIu64
		 " starts=%" PRIu64 " short=%" PRIu64 " long_running=%" PRIu64
		 " free_below_8th=%" PRIu64 " free_below_4th=%" PRIu64
		 " free_below_half=%" PRIu64 " free_larger=%" PRIu64,
		 c->epoch, u->cpu / CORE, u->held / CORE, u->serving / CORE,
		 u->best_effort / CORE, u->best_effort_used / CORE, u->slowed,
		 u->serving_tasks, u->over, waiting, c->counts.starts,
		 u->short_work / CORE, u->long_running / CORE,
		 u->free[PIECE_BELOW_EIGHTH] / CORE,
		 u->free[PIECE_BELOW_QUARTER] / CORE,
		 u->free[PIECE_BELOW_HALF] / CORE,
		 u->free[PIECE_LARGER] / CORE);
}

void cell_usage_update(struct cell *c)
{
	struct usage u = {0};
	const struct cell_worker *w;

	for (w = c->workers; w; w = w->next)
		add_worker(&u, w);
	c->counts.cpu_short = u.short_work;
	c->counts.cpu_long_running = u.long_running;
	memcpy(c->counts.cpu_free, u.free, sizeof(u.free));
	log_usage(c, &u);
}
