#include "cell/cell_wait.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_crash.h"
#include "cell/cell_late.h"
#include "cell/cell_place.h"
#include "cell/cell_queue.h"
#include "cell/cell_recovery.h"
#include "cell/cell_room.h"

/* Waits shorter than this are not logged. */
#define LOGGED_WAIT_MS 1000

/* What keeps a task from being placed, whatever the workers. */
static const char *reason_of(const struct cell *c, const struct cell_task *t)
{
	if (!cell_step_is_ready(t->step))
		return "depends";
	if (cell_task_is_in_doubt(c, t))
		return "in_doubt";
	if (cell_crash_is_held(c, t))
		return "held";
	if (cell_late_holds(c, t))
		return "late_start";
	if (t->step->job->quota && t->step->job->quota->is_blocked)
		return "limit";
	return "workers";
}

static const struct cell_step *oldest_of_job(const struct cell_job *j,
					     const struct cell_step *oldest)
{
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++) {
			const struct cell_step *st =
				&j->occurrences[k].steps[s];

			if (st->waiting &&
			    step_has_flag(st, STEP_LONG_RUNNING) &&
			    (!oldest ||
			     cell_step_unplaced_since(st) <
				     cell_step_unplaced_since(oldest)))
				oldest = st;
		}
	return oldest;
}

static const struct cell_step *oldest_step(const struct cell *c)
{
	const struct cell_step *oldest = NULL;
	const struct cell_job *j;

	for (j = c->jobs; j; j = j->next)
		if (j->waiting && !job_state_is_terminal(j->state))
			oldest = oldest_of_job(j, oldest);
	return oldest;
}

static int64_t wait_of(const struct cell *c, const struct cell_step *st)
{
	int64_t since = st ? cell_step_unplaced_since(st) : INT64_MAX;

	return since < c->now_ms ? c->now_ms - since : 0;
}

int64_t cell_wait_oldest_ms(const struct cell *c)
{
	return wait_of(c, oldest_step(c));
}

static const struct cell_task *oldest_task(const struct cell_step *st)
{
	const struct cell_task *t = NULL;
	uint32_t i;

	for (i = 0; i < st->spec->count; i++)
		if (st->tasks[i].state == TASK_WAITING &&
		    (!t || st->tasks[i].retry_at_ms < t->retry_at_ms))
			t = &st->tasks[i];
	return t;
}

void cell_wait_log(const struct cell *c)
{
	const struct cell_step *st = oldest_step(c);
	uint32_t workers[OBSTACLE_KINDS] = {0}, reserved = 0, cpu_free = 0;
	uint32_t without_short_work = 0;
	const struct cell_task *t;
	const struct cell_worker *w;
	uint64_t service;

	if (wait_of(c, st) < LOGGED_WAIT_MS)
		return;
	t = oldest_task(st);
	service = cell_step_service(c, st);
	for (w = c->workers; w; w = w->next) {
		workers[cell_obstacle_of(c, w, st, service)]++;
		reserved += w->reserved_for == st &&
			    c->now_ms < w->reserved_until_ms;
		if (!w->accepts_tasks)
			continue;
		without_short_work +=
			w->cpu_serving + st->spec->cpu <= w->entry.cpu;
		if (cell_worker_cpu_free(w) > cpu_free)
			cpu_free = cell_worker_cpu_free(w);
	}
	log_line(LOG_INFO, "long-running task waits",
		 "job=%016" PRIx64 " step=%u index=%u waited_ms=%lld "
		 "tried_ms_ago=%lld reason=%s cpu=%u cpu_free_max=%u "
		 "without_short_work=%u suitable=%u blocked=%u full=%u "
		 "reserved_for_others=%u label=%u reserved_for_it=%u",
		 st->job->entry->id, st->number, t->index,
		 (long long)wait_of(c, st),
		 (long long)(st->tried_ms ? c->now_ms - st->tried_ms : -1),
		 reason_of(c, t), st->spec->cpu, cpu_free, without_short_work,
		 workers[OBSTACLE_NONE], workers[OBSTACLE_BLOCKED],
		 workers[OBSTACLE_CAPACITY], workers[OBSTACLE_RESERVED],
		 workers[OBSTACLE_LABEL], reserved);
}
