#include "cell/cell_queue.h"

#include <stdlib.h>

#include "cell/cell_place.h"
#include "cell/cell_run_time.h"

/* A long-running step with a task unplaced for this long goes before short
 * work, and a worker is reserved for it. The platform tolerates 6 s, and 3 s
 * while there is free capacity. */
#define UNPLACED_MAX_MS 4000
/* Work that ends later than this multiple of its objective has no value to its
 * caller: it waits behind all other work. */
#define NO_VALUE_MULTIPLE 3
/* The value of @lateness of such work, see struct cell_queued_step. */
#define LATENESS_NO_VALUE 2

bool cell_step_is_ready(const struct cell_step *st)
{
	const struct cell_occurrence *o = &st->job->occurrences[st->occurrence];
	size_t k;

	for (k = 0; k < st->job->steps; k++)
		if ((st->spec->after >> k & 1) &&
		    o->steps[k].done < o->steps[k].spec->count)
			return false;
	return true;
}

/*
 * Under overload, work that can still end in time goes before work that is
 * already late: earliest deadline first would make all work late.
 */
uint32_t cell_job_lateness(const struct cell *c, const struct cell_job *j)
{
	int64_t objective = j->deadline_ms - j->entry->added_ms;

	if (j->spec->repeat || c->now_ms < j->deadline_ms)
		return 0;
	return c->now_ms < j->entry->added_ms + objective * NO_VALUE_MULTIPLE
		       ? 1
		       : LATENESS_NO_VALUE;
}

bool cell_job_has_value(const struct cell *c, const struct cell_job *j)
{
	return cell_job_lateness(c, j) < LATENESS_NO_VALUE;
}

int64_t cell_step_unplaced_since(const struct cell_step *st)
{
	int64_t since = INT64_MAX;
	uint32_t i;

	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];
		int64_t from = t->retry_at_ms > st->job->entry->added_ms
				       ? t->retry_at_ms
				       : st->job->entry->added_ms;

		if (t->state == TASK_WAITING && from < since)
			since = from;
	}
	return since;
}

bool cell_is_long_unplaced(const struct cell *c, const struct cell_step *st)
{
	return step_has_flag(st, STEP_LONG_RUNNING) &&
	       c->now_ms - cell_step_unplaced_since(st) >= UNPLACED_MAX_MS;
}

/* The objective follows from the declared times. Where either these or the
 * learned ones are wrong, work that can end in time must not be put back. */
static int64_t step_run_ms(const struct cell *c, struct cell_step *st)
{
	int64_t expected = cell_step_expected_ms(c, st);

	return expected < st->spec->estimate_ms ? expected
						: st->spec->estimate_ms;
}

/* Least run time of the longest chain of steps that begins with @st. */
static int64_t chain_from(const struct cell *c, const struct cell_step *st)
{
	struct cell_occurrence *o = &st->job->occurrences[st->occurrence];
	int64_t chains[JOB_STEPS_MAX], longest;
	size_t k = st->job->steps, m;

	while (k-- > st->number) {
		longest = 0;
		for (m = k + 1; m < st->job->steps; m++)
			if ((o->steps[m].spec->after >> k & 1) &&
			    chains[m] > longest)
				longest = chains[m];
		chains[k] = longest + step_run_ms(c, &o->steps[k]);
	}
	return chains[st->number];
}

int64_t cell_step_slack_ms(const struct cell *c, const struct cell_step *st)
{
	if (st->job->spec->repeat)
		return INT64_MAX;
	return st->job->deadline_ms - c->now_ms - chain_from(c, st);
}

/* Expected times may be far off, so they only order work of one priority. */
static bool will_miss_deadline(const struct cell *c, const struct cell_step *st)
{
	return !step_has_flag(st, STEP_LONG_RUNNING) &&
	       cell_step_slack_ms(c, st) <= 0;
}

struct cell_queued_step cell_queue_entry(const struct cell *c,
					 struct cell_step *st)
{
	const struct cell_job *j = st->job;
	bool long_running = step_has_flag(st, STEP_LONG_RUNNING);
	struct cell_queued_step r = {long_running ? 0 : cell_job_lateness(c, j),
				     j->spec->priority,
				     long_running,
				     0,
				     will_miss_deadline(c, st),
				     j->deadline_ms,
				     st};

	if (long_running && cell_is_long_unplaced(c, st)) {
		r.long_running = 0;
		r.deadline_ms = cell_step_unplaced_since(st);
	}
	if (j->spec->repeat)
		r.deadline_ms = j->occurrences[st->occurrence].opened_ms +
				(j->deadline_ms - j->entry->added_ms);
	return r;
}

static int compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int queued_step_cmp(const void *pa, const void *pb)
{
	const struct cell_queued_step *a = pa, *b = pb;
	int d = compare_u64(a->lateness, b->lateness);

	if (!d)
		d = compare_u64(a->priority, b->priority);
	if (!d)
		d = compare_u64(a->long_running, b->long_running);
	if (!d)
		d = compare_u64(a->over_share, b->over_share);
	if (!d)
		d = compare_u64(a->misses_deadline, b->misses_deadline);
	if (!d)
		d = (a->deadline_ms > b->deadline_ms) -
		    (a->deadline_ms < b->deadline_ms);
	if (!d)
		d = compare_u64(a->step->job->entry->id,
				b->step->job->entry->id);
	return d ? d : compare_u64(a->step->number, b->step->number);
}

bool cell_queue_is_before(const struct cell_queued_step *a,
			  const struct cell_queued_step *b)
{
	return queued_step_cmp(a, b) < 0;
}

/* The largest task of a moment is gone soon, and others like it come. */
#define LARGE_KEEP_MS 5000
/* Weight of one task in the mean of those that became ready. */
#define MEAN_WEIGHT 0.002

struct pool_demand *cell_pool_demand(struct cell *c, uint64_t service)
{
	size_t i;

	for (i = 0; i < c->demand_count; i++)
		if (c->demands[i].service == service)
			return &c->demands[i];
	if (i == POOL_DEMANDS_MAX)
		return NULL;
	c->demands[i].service = service;
	c->demand_count++;
	return &c->demands[i];
}

static void note_demand(struct cell *c, const struct cell_step *st)
{
	struct pool_demand *d;
	double weight;

	if (!c->opt.look_ahead || !step_is_short(st))
		return;
	d = cell_pool_demand(c, cell_step_service(c, st));
	if (!d)
		return;
	if (st->spec->cpu >= d->cpu_large ||
	    c->now_ms - d->large_at_ms >= LARGE_KEEP_MS) {
		d->cpu_large = st->spec->cpu;
		d->large_at_ms = c->now_ms;
	}
	if (st->ready_ms)
		return;
	weight = st->spec->count * MEAN_WEIGHT;
	if (!d->cpu || weight > 1)
		weight = 1;
	d->cpu += (st->spec->cpu - d->cpu) * weight;
}

static void queue_push(struct cell *c, size_t n, struct cell_step *st)
{
	if (n == c->queue_cap) {
		c->queue_cap = c->queue_cap ? c->queue_cap * 2 : 64;
		c->queue = xrealloc(c->queue, c->queue_cap * sizeof(*c->queue));
	}
	c->queue[n] = cell_queue_entry(c, st);
}

static size_t collect_job(struct cell *c, struct cell_job *j, size_t n)
{
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++) {
			struct cell_step *st = &j->occurrences[k].steps[s];

			if (!st->waiting || !cell_step_is_ready(st))
				continue;
			note_demand(c, st);
			if (!st->ready_ms)
				st->ready_ms = c->now_ms;
			queue_push(c, n++, st);
		}
	return n;
}

static void update_idle_since(const struct cell *c, struct cell_job *j)
{
	if (j->placed)
		j->idle_since_ms = 0;
	else if (!j->idle_since_ms)
		j->idle_since_ms = c->now_ms;
}

void cell_queue_sort(struct cell_queued_step *steps, size_t count)
{
	if (count)
		qsort(steps, count, sizeof(*steps), queued_step_cmp);
}

size_t cell_queue_fill(struct cell *c)
{
	struct cell_job *j;
	size_t n = 0;

	for (j = c->jobs; j; j = j->next) {
		update_idle_since(c, j);
		if (j->waiting && !job_state_is_terminal(j->state))
			n = collect_job(c, j, n);
	}
	cell_queue_sort(c->queue, n);
	return n;
}
