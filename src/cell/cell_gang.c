#include "cell/cell_gang.h"

#include <stdlib.h>

#include "cell/cell_cost.h"
#include "cell/cell_crash.h"
#include "cell/cell_late.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_room.h"
#include "cell/cell_task.h"

static bool is_gang_unplaced(const struct cell_step *st)
{
	uint32_t i;

	for (i = 0; i < st->spec->count; i++)
		if (st->tasks[i].worker)
			return false;
	return true;
}

/*
 * All members start with the same run number and from the same checkpoint: the
 * highest number and the last checkpoint found among them.
 */
static void gang_sync_runs(struct cell_step *st)
{
	const char *checkpoint = NULL;
	uint32_t run = 0, i;

	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];

		if (t->last_run > run)
			run = t->last_run;
		if (t->checkpoint[0])
			checkpoint = t->checkpoint;
	}
	for (i = 0; i < st->spec->count; i++) {
		st->tasks[i].last_run = run;
		if (checkpoint && st->tasks[i].checkpoint != checkpoint)
			name_set(st->tasks[i].checkpoint, checkpoint);
	}
}

/*
 * Chooses workers for all members before any is placed. Each member's demand is
 * added to the counters of its worker while the others are chosen, and taken
 * off again at the end.
 */
static bool gang_choose(struct cell *c, struct cell_step *st, uint64_t service,
			const char *rack, struct cell_worker **chosen)
{
	const struct job_step *s = st->spec;
	bool best_effort = s->flags & STEP_BEST_EFFORT;
	uint32_t i, n = 0;

	while (n < s->count) {
		struct cell_worker *w =
			cell_choose_worker(c, &st->tasks[n], service, rack,
					   false);

		if (!w)
			break;
		chosen[n++] = w;
		w->memory_used += s->memory_mb;
		w->accelerators_used += s->accelerators;
		w->cpu_used += best_effort ? 0 : s->cpu;
		w->cpu_best_effort += best_effort ? s->cpu : 0;
	}
	for (i = 0; i < n; i++) {
		chosen[i]->memory_used -= s->memory_mb;
		chosen[i]->accelerators_used -= s->accelerators;
		chosen[i]->cpu_used -= best_effort ? 0 : s->cpu;
		chosen[i]->cpu_best_effort -= best_effort ? s->cpu : 0;
	}
	return n == s->count;
}

static bool gang_choose_rack(struct cell *c, struct cell_step *st,
			     uint64_t service, struct cell_worker **chosen)
{
	const struct cell_worker *w;

	for (w = c->workers; w; w = w->next)
		if (w->service == service && w->accepts_tasks &&
		    gang_choose(c, st, service, cell_worker_rack(w), chosen))
			return true;
	return false;
}

bool cell_gang_choose(struct cell *c, struct cell_step *st, uint64_t service,
		      struct cell_worker **chosen)
{
	return (step_has_flag(st, STEP_SAME_RACK) &&
		gang_choose_rack(c, st, service, chosen)) ||
	       gang_choose(c, st, service, NULL, chosen);
}

void cell_place_gang(struct cell *c, struct cell_step *st, uint64_t service)
{
	struct cell_worker **chosen;
	uint32_t i;

	if (!is_gang_unplaced(st))
		return;
	for (i = 0; i < st->spec->count; i++)
		if (c->now_ms < st->tasks[i].retry_at_ms ||
		    cell_crash_is_held(c, &st->tasks[i]) ||
		    cell_task_is_in_doubt(c, &st->tasks[i]) ||
		    cell_late_holds(c, &st->tasks[i]))
			return;
	if (!cell_quota_fits(c, st, st->spec->count))
		return;
	chosen = xcalloc(st->spec->count, sizeof(struct cell_worker *));
	if (cell_gang_choose(c, st, service, chosen)) {
		gang_sync_runs(st);
		for (i = 0; i < st->spec->count; i++)
			cell_task_place(c, &st->tasks[i], chosen[i]);
	}
	free(chosen);
}
