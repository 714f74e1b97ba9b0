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

static bool is_long_running(const struct cell_step *st)
{
	return step_has_flag(st, STEP_LONG_RUNNING);
}

static int64_t long_running_from(const struct cell *c,
				 const struct cell_step *st)
{
	(void)c;
	return st->job->entry->added_ms;
}

/* A short step does not wait for a worker while it waits for other steps. */
static bool is_ready_short(const struct cell_step *st)
{
	return step_is_short(st) && cell_step_is_ready(st);
}

static int64_t short_from(const struct cell *c, const struct cell_step *st)
{
	if (!st->spec->after)
		return st->job->occurrences[st->occurrence].opened_ms;
	return st->ready_ms ? st->ready_ms : c->now_ms;
}

/**
 * struct wait_kind - steps of which the wait of the oldest one is logged
 * @includes: whether a step is one of them
 * @waits_from: none of its tasks waits for longer than since then
 */
struct wait_kind {
	const char *event;
	bool (*includes)(const struct cell_step *st);
	int64_t (*waits_from)(const struct cell *c, const struct cell_step *st);
};

static const struct wait_kind long_running_wait = {"long-running task waits",
						   is_long_running,
						   long_running_from};
static const struct wait_kind short_wait = {"short task waits", is_ready_short,
					    short_from};

static void for_each_waiting_step(const struct cell *c,
				  void (*fn)(const struct cell *c,
					     struct cell_step *st, void *arg),
				  void *arg)
{
	const struct cell_job *j;
	uint32_t k;
	size_t s;

	for (j = c->jobs; j; j = j->next) {
		if (!j->waiting || job_state_is_terminal(j->state))
			continue;
		for (k = 0; k < j->count; k++)
			for (s = 0; j->occurrences[k].open && s < j->steps; s++)
				if (j->occurrences[k].steps[s].waiting)
					fn(c, &j->occurrences[k].steps[s], arg);
	}
}

/**
 * struct wait - the step of a kind with the task that could have been placed
 * longest ago, at @since_ms; @step is NULL if none waits
 */
struct wait {
	const struct wait_kind *kind;
	struct cell_step *step;
	int64_t since_ms;
};

static void find_older(const struct cell *c, struct cell_step *st, void *arg)
{
	struct wait *w = arg;
	int64_t from, since;

	if (!w->kind->includes(st))
		return;
	from = w->kind->waits_from(c, st);
	if (w->step && from >= w->since_ms)
		return;
	since = cell_step_unplaced_since(st);
	if (since < from)
		since = from;
	if (w->step && since >= w->since_ms)
		return;
	w->step = st;
	w->since_ms = since;
}

static struct wait oldest_wait(const struct cell *c,
			       const struct wait_kind *kind)
{
	struct wait w = {kind, NULL, INT64_MAX};

	for_each_waiting_step(c, find_older, &w);
	return w;
}

static int64_t wait_ms(const struct cell *c, const struct wait *w)
{
	return w->since_ms < c->now_ms ? c->now_ms - w->since_ms : 0;
}

int64_t cell_wait_oldest_ms(const struct cell *c)
{
	struct wait w = oldest_wait(c, &long_running_wait);

	return wait_ms(c, &w);
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

static void add_to_place(const struct cell *c, struct cell_step *st, void *arg)
{
	struct queue_place *q = arg;
	struct cell_queued_step e;
	uint64_t cpu = 0;

	if (!cell_step_is_ready(st))
		return;
	if (!step_has_flag(st, STEP_BEST_EFFORT))
		cpu = (uint64_t)st->waiting * st->spec->cpu;
	if (step_is_short(st)) {
		q->short_waiting += st->waiting;
		q->short_waiting_cpu += cpu;
	}
	e = cell_queue_entry(c, st);
	if (cell_queue_is_before(&e, &q->entry)) {
		q->ahead += st->waiting;
		q->ahead_cpu += cpu;
	}
}

void cell_wait_place(const struct cell *c, struct queue_place *q)
{
	for_each_waiting_step(c, add_to_place, q);
}

/**
 * struct pool_fit - how the workers of a step's pool suit its tasks
 * @service: name_hash() of the service of the pool
 * @workers: by obstacle
 * @reserved: reserved for the step
 * @without_short_work: workers that only short work keeps the tasks from
 * @cpu_full: workers that take tasks and have too few free processors, and
 *	@memory_full too little free memory
 * @cpu_free: free processors of the workers that take tasks, and @cpu_free_max
 *	the most of one
 */
struct pool_fit {
	uint64_t service;
	uint32_t workers[OBSTACLE_KINDS];
	uint32_t reserved;
	uint32_t without_short_work;
	uint32_t cpu_full;
	uint32_t memory_full;
	uint64_t cpu_free;
	uint32_t cpu_free_max;
};

static void add_worker(const struct cell *c, const struct cell_worker *w,
		       const struct cell_step *st, struct pool_fit *p)
{
	uint32_t cpu_free = cell_worker_cpu_free(w);

	p->workers[cell_obstacle_of(c, w, st, p->service)]++;
	p->reserved +=
		w->reserved_for == st && c->now_ms < w->reserved_until_ms;
	if (!w->accepts_tasks || w->service != p->service)
		return;
	p->without_short_work += w->cpu_serving + st->spec->cpu <= w->entry.cpu;
	p->cpu_full += cpu_free < st->spec->cpu;
	p->memory_full +=
		w->memory_used + st->spec->memory_mb > w->entry.memory_mb;
	p->cpu_free += cpu_free;
	if (cpu_free > p->cpu_free_max)
		p->cpu_free_max = cpu_free;
}

static void log_wait(const struct cell *c, const struct wait *wait)
{
	const struct cell_step *st = wait->step;
	const struct cell_worker *w;
	struct pool_fit p = {0};
	const struct cell_task *t;
	struct queue_place q = {{0}};

	if (wait_ms(c, wait) < LOGGED_WAIT_MS)
		return;
	t = oldest_task(st);
	p.service = cell_step_service(c, st);
	for (w = c->workers; w; w = w->next)
		add_worker(c, w, st, &p);
	q.entry = cell_queue_entry(c, wait->step);
	cell_wait_place(c, &q);
	log_line(LOG_INFO, wait->kind->event,
		 "job=%016" PRIx64 " step=%u index=%u waited_ms=%lld "
		 "tried_ms_ago=%lld reason=%s cpu=%u cpu_free_max=%u "
		 "without_short_work=%u suitable=%u blocked=%u full=%u "
		 "reserved_for_others=%u label=%u reserved_for_it=%u "
		 "memory_mb=%u cpu_full=%u memory_full=%u cpu_free=%" PRIu64
		 " gang=%d step_waiting=%u lateness=%u misses_deadline=%u "
		 "ahead=%" PRIu64 " ahead_cpu=%" PRIu64
		 " short_waiting=%" PRIu64 " short_waiting_cpu=%" PRIu64
		 " short_cpu=%" PRIu64 " long_running_cpu=%" PRIu64,
		 st->job->entry->id, st->number, t->index,
		 (long long)wait_ms(c, wait),
		 (long long)(st->tried_ms ? c->now_ms - st->tried_ms : -1),
		 reason_of(c, t), st->spec->cpu, p.cpu_free_max,
		 p.without_short_work, p.workers[OBSTACLE_NONE],
		 p.workers[OBSTACLE_BLOCKED], p.workers[OBSTACLE_CAPACITY],
		 p.workers[OBSTACLE_RESERVED], p.workers[OBSTACLE_LABEL],
		 p.reserved, st->spec->memory_mb, p.cpu_full, p.memory_full,
		 p.cpu_free, step_has_flag(st, STEP_GANG), st->waiting,
		 q.entry.lateness, q.entry.misses_deadline, q.ahead,
		 q.ahead_cpu, q.short_waiting, q.short_waiting_cpu,
		 c->counts.cpu_short, c->counts.cpu_long_running);
}

void cell_wait_update(struct cell *c)
{
	struct wait oldest = oldest_wait(c, &long_running_wait);

	log_wait(c, &oldest);
	oldest = oldest_wait(c, &short_wait);
	c->counts.oldest_short_wait_ms = (uint64_t)wait_ms(c, &oldest);
	log_wait(c, &oldest);
}
