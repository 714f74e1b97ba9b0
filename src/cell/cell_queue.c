#include "cell/cell_types.h"

#include <stdlib.h>

/* A task that lasts and is away for so long goes before short work, and room
 * is kept for it: the platform bears six seconds, and three with room. */
#define AWAY_MS 4000
/* Work that ends past this multiple of its objective earns its caller
 * nothing: it waits behind all other work. */
#define HOPELESS_MULTIPLE 3

bool cell_step_ready(const struct cell_step *st)
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
 * late already: the order by due time alone would make all of it late.
 */
static uint32_t lateness_of(const struct cell *c, const struct cell_job *j)
{
	int64_t objective = j->due_ms - j->entry->seen_ms;

	if (j->spec->repeat || c->now_ms < j->due_ms)
		return 0;
	return c->now_ms < j->entry->seen_ms + objective * HOPELESS_MULTIPLE
		       ? 1
		       : 2;
}

/* Since when the task of a lasting step that is away longest waits. */
static int64_t away_since(const struct cell_step *st)
{
	int64_t since = INT64_MAX;
	uint32_t i;

	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];
		int64_t from = t->retry_ms > st->job->entry->seen_ms
				       ? t->retry_ms
				       : st->job->entry->seen_ms;

		if (t->state == TASK_WAITING && from < since)
			since = from;
	}
	return since;
}

bool cell_is_away_long(const struct cell *c, const struct cell_step *st)
{
	return step_is(st, STEP_LONG_RUNNING) &&
	       c->now_ms - away_since(st) >= AWAY_MS;
}

static struct cell_waiting rank_of(const struct cell *c, struct cell_step *st)
{
	const struct cell_job *j = st->job;
	bool lasting = step_is(st, STEP_LONG_RUNNING);
	struct cell_waiting r = {lasting ? 0 : lateness_of(c, j),
				 j->spec->priority, lasting, j->due_ms, st};

	if (lasting && cell_is_away_long(c, st)) {
		r.lasting = 0;
		r.due_ms = away_since(st);
	}
	if (j->spec->repeat)
		r.due_ms = j->occurrences[st->occurrence].due_ms +
			   (j->due_ms - j->entry->seen_ms);
	return r;
}

static int order_of(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int waiting_cmp(const void *pa, const void *pb)
{
	const struct cell_waiting *a = pa, *b = pb;
	int d = order_of(a->late, b->late);

	if (!d)
		d = order_of(a->priority, b->priority);
	if (!d)
		d = order_of(a->lasting, b->lasting);
	if (!d)
		d = (a->due_ms > b->due_ms) - (a->due_ms < b->due_ms);
	if (!d)
		d = order_of(a->step->job->entry->id, b->step->job->entry->id);
	return d ? d : order_of(a->step->number, b->step->number);
}

static void queue_push(struct cell *c, size_t n, struct cell_step *st)
{
	if (n == c->queue_cap) {
		c->queue_cap = c->queue_cap ? c->queue_cap * 2 : 64;
		c->queue = xrealloc(c->queue, c->queue_cap * sizeof(*c->queue));
	}
	c->queue[n] = rank_of(c, st);
}

static size_t collect_job(struct cell *c, struct cell_job *j, size_t n)
{
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++) {
			struct cell_step *st = &j->occurrences[k].steps[s];

			if (st->waiting && cell_step_ready(st))
				queue_push(c, n++, st);
		}
	return n;
}

static void note_idle(const struct cell *c, struct cell_job *j)
{
	if (j->placed)
		j->idle_ms = 0;
	else if (!j->idle_ms)
		j->idle_ms = c->now_ms;
}

size_t cell_queue_fill(struct cell *c)
{
	struct cell_job *j;
	size_t n = 0;

	for (j = c->jobs; j; j = j->next) {
		note_idle(c, j);
		if (j->waiting && !job_state_is_terminal(j->state))
			n = collect_job(c, j, n);
	}
	if (n)
		qsort(c->queue, n, sizeof(*c->queue), waiting_cmp);
	return n;
}
