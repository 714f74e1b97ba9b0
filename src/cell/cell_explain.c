#include "cell/cell_explain.h"

#include <stdlib.h>

#include "cell/cell_cost.h"
#include "cell/cell_gang.h"
#include "cell/cell_job.h"
#include "cell/cell_late.h"
#include "cell/cell_place.h"
#include "cell/cell_queue.h"
#include "cell/cell_quota.h"
#include "cell/cell_room.h"
#include "cell/cell_task.h"
#include "cell/cell_wait.h"

/**
 * struct trial_cell - a copy of what a placement pass changes of a cell
 * @cell: copy of the cell whose only job is the explained one, with workers,
 *	accounts and queues of its own. What it shares with the cell, such as
 *	the effect model and the lists of tasks on workers, is only read.
 * @workers: copies of the workers
 * @entry: stands for the job
 */
struct trial_cell {
	struct cell cell;
	struct cell_worker *workers;
	struct job_entry entry;
	struct job_spec spec;
};

/* Keeps the order of both lists of workers: it decides between equal costs, and
 * which rack a gang gets. */
static void copy_workers(struct trial_cell *x, const struct cell *c)
{
	struct cell_worker **next = &x->cell.workers;
	struct cell_worker **older = &x->cell.changed;
	const struct cell_worker *w;
	struct index copies;
	size_t n = 0;

	index_init(&copies);
	x->workers =
		xcalloc(index_count(&c->worker_ids) + 1, sizeof(*x->workers));
	for (w = c->workers; w; w = w->next) {
		struct cell_worker *own = &x->workers[n++];

		*own = *w;
		own->newer = NULL;
		own->accepts_tasks = cell_worker_block(c, w) == BLOCK_NONE;
		index_put(&copies, w->id, own);
		*next = own;
		next = &own->next;
	}
	*next = NULL;
	for (w = c->changed; w; w = w->older) {
		*older = index_get(&copies, w->id);
		older = &(*older)->older;
	}
	*older = NULL;
	index_finish(&copies);
}

/* The only account of the copy is that of the job. */
static void copy_quota(struct trial_cell *x, const struct cell *c)
{
	struct quota *own = x->cell.quotas.first;
	const struct quota *known;

	if (!own)
		return;
	known = index_get(&c->quotas.by_name, name_hash(own->name));
	if (known) {
		struct quota *next = own->next;

		*own = *known;
		own->next = next;
	}
	cell_quota_refresh(&x->cell);
}

static struct trial_cell *trial_cell_new(const struct cell *c,
					 const struct job_spec *spec)
{
	struct trial_cell *x = xcalloc(1, sizeof(*x));

	x->cell = *c;
	x->cell.jobs = NULL;
	x->cell.queue = NULL;
	x->cell.queue_cap = 0;
	x->cell.candidates = NULL;
	x->cell.candidate_count = 0;
	x->cell.candidate_cap = 0;
	quota_table_init(&x->cell.quotas);
	copy_workers(x, c);
	x->spec = *spec;
	x->entry.id = spec->id;
	x->entry.spec = &x->spec;
	x->entry.added_ms = c->now_ms;
	cell_job_add(&x->cell, &x->entry, false);
	copy_quota(x, c);
	return x;
}

static void trial_cell_free(struct trial_cell *x)
{
	cell_job_free(&x->cell, x->entry.cell_job);
	quota_table_finish(&x->cell.quotas);
	free(x->cell.queue);
	free(x->cell.candidates);
	free(x->workers);
	free(x);
}

/* Counts a task as placed on a copy of a worker. Unlike cell_task_place(), it
 * leaves the tasks alone that really are there. */
static void trial_place(struct cell_task *t, struct cell_worker *w)
{
	t->worker = w;
	t->next = w->first_task;
	w->first_task = t;
	cell_task_add_usage(t, 1);
	cell_quota_hold(t);
}

static enum explain_obstacle obstacle_of_block(enum cell_block b)
{
	static const enum explain_obstacle all[BLOCK_KINDS] = {
		[BLOCK_UNCONFIRMED] = OBSTRUCTED_BY_UNCONFIRMED,
		[BLOCK_DRAINING] = OBSTRUCTED_BY_DRAINING,
		[BLOCK_SILENT] = OBSTRUCTED_BY_SILENT,
		[BLOCK_BACKOFF] = OBSTRUCTED_BY_BACKOFF,
		[BLOCK_TRIAL] = OBSTRUCTED_BY_TRIAL,
		[BLOCK_ZONE] = OBSTRUCTED_BY_ZONE,
	};

	return all[b];
}

static enum explain_obstacle obstacle_for(const struct cell *c,
					  struct cell_worker *w,
					  const struct cell_task *t,
					  uint64_t service, double *cost)
{
	static const enum explain_obstacle all[OBSTACLE_KINDS] = {
		[OBSTACLE_SERVICE] = OBSTRUCTED_BY_POOL,
		[OBSTACLE_CAPACITY] = OBSTRUCTED_BY_CAPACITY,
		[OBSTACLE_RESERVED] = OBSTRUCTED_BY_RESERVED,
		[OBSTACLE_LABEL] = OBSTRUCTED_BY_LABEL,
	};
	enum cell_obstacle o = cell_obstacle_of(c, w, t->step, service);

	if (o == OBSTACLE_BLOCKED)
		return obstacle_of_block(cell_worker_block(c, w));
	if (o != OBSTACLE_NONE)
		return all[o];
	return cell_placement_cost(c, t, w, false, cost)
		       ? OBSTRUCTED_BY_INTERFERENCE
		       : OBSTRUCTED_BY_NOTHING;
}

/* Inserts a worker by its cost, and drops the one that is too many. */
static void add_best(struct explain_step *s, const struct cell_worker *w,
		     double cost)
{
	size_t i = s->best_count;

	if (i == EXPLAIN_WORKERS_MAX) {
		if (cost >= s->best[i - 1].cost)
			return;
		i--;
	} else {
		s->best_count++;
	}
	for (; i > 0 && cost < s->best[i - 1].cost; i--)
		s->best[i] = s->best[i - 1];
	name_set(s->best[i].id, w->entry.addr.id);
	s->best[i].cost = cost;
	s->best[i].cpu_free = cell_worker_cpu_free(w);
}

static void compare_workers(const struct trial_cell *x,
			    const struct cell_task *t, uint64_t service,
			    struct explain_step *s)
{
	struct cell_worker *w;

	for (w = x->cell.workers; w; w = w->next) {
		uint32_t cpu_free = cell_worker_cpu_free(w);
		double cost = 0;
		enum explain_obstacle o =
			obstacle_for(&x->cell, w, t, service, &cost);

		s->workers[o]++;
		if (o == OBSTRUCTED_BY_NOTHING)
			add_best(s, w, cost);
		if (w->service == service && w->accepts_tasks &&
		    cpu_free > s->cpu_free_max)
			s->cpu_free_max = cpu_free;
	}
}

/* Equal costs are chosen from in another order than that of the list, and a
 * gang in one rack may not get the cheapest worker. */
static void move_chosen_first(struct explain_step *s, struct cell_worker *w,
			      double cost)
{
	struct explain_worker chosen = {{0}, cost, cell_worker_cpu_free(w)};
	size_t i = 0;

	name_set(chosen.id, w->entry.addr.id);
	while (i < s->best_count && strcmp(s->best[i].id, chosen.id))
		i++;
	if (i == s->best_count && i < EXPLAIN_WORKERS_MAX)
		s->best_count++;
	if (i == EXPLAIN_WORKERS_MAX)
		i--;
	for (; i > 0; i--)
		s->best[i] = s->best[i - 1];
	s->best[0] = chosen;
}

static enum explain_verdict place_tasks(struct trial_cell *x,
					struct cell_step *st, uint64_t service,
					struct explain_step *s)
{
	struct cell *c = &x->cell;
	uint32_t i;

	cell_candidates_fill(c, &st->tasks[0], service, 0);
	for (i = 0; i < st->spec->count; i++) {
		struct cell_worker *w;

		if (!cell_quota_fits(c, st, 1))
			return i ? EXPLAIN_STARTS : EXPLAIN_LIMIT;
		w = cell_candidates_take(c, &st->tasks[i]);
		if (!w)
			return i ? EXPLAIN_STARTS : EXPLAIN_NO_WORKER;
		if (!i)
			move_chosen_first(s, w, c->candidates[0].cost);
		trial_place(&st->tasks[i], w);
		s->starts++;
	}
	return EXPLAIN_STARTS;
}

static enum explain_verdict place_gang(struct trial_cell *x,
				       struct cell_step *st, uint64_t service,
				       struct explain_step *s)
{
	uint32_t count = st->spec->count, i;
	struct cell_worker **chosen;
	double cost = 0;
	bool found;

	if (!cell_quota_fits(&x->cell, st, count))
		return EXPLAIN_LIMIT;
	chosen = xcalloc(count, sizeof(struct cell_worker *));
	found = cell_gang_choose(&x->cell, st, service, chosen);
	if (found && !cell_placement_cost(&x->cell, &st->tasks[0], chosen[0],
					  false, &cost))
		move_chosen_first(s, chosen[0], cost);
	for (i = 0; found && i < count; i++)
		trial_place(&st->tasks[i], chosen[i]);
	s->starts = found ? count : 0;
	free(chosen);
	if (found)
		return EXPLAIN_STARTS;
	return s->best_count ? EXPLAIN_GANG : EXPLAIN_NO_WORKER;
}

static bool may_place(const struct cell *c)
{
	return c->now_ms < c->authority_until_ms && cell_late_has_room(c, 1);
}

static void explain_ready_step(struct trial_cell *x, const struct cell *c,
			       const struct cell_queued_step *e,
			       struct explain_step *s)
{
	uint64_t service = cell_step_service(c, e->step);
	struct queue_place place = {*e};

	s->number = e->step->number;
	s->count = e->step->spec->count;
	s->lateness = e->lateness;
	s->priority = e->priority;
	s->long_running = e->long_running;
	s->misses_deadline = e->misses_deadline;
	cell_wait_place(c, &place);
	s->ahead = place.ahead;
	s->ahead_cpu = place.ahead_cpu;
	compare_workers(x, &e->step->tasks[0], service, s);
	if (!may_place(c))
		s->verdict = EXPLAIN_PAUSED;
	else if (step_has_flag(e->step, STEP_GANG))
		s->verdict = place_gang(x, e->step, service, s);
	else
		s->verdict = place_tasks(x, e->step, service, s);
}

static void add_dependent_steps(const struct cell_job *j,
				struct explanation *out)
{
	const struct cell_occurrence *o = &j->occurrences[0];
	size_t k;

	for (k = 0; o->open && k < j->steps; k++) {
		struct explain_step *s = &out->steps[out->step_count];

		if (cell_step_is_ready(&o->steps[k]))
			continue;
		s->number = (uint32_t)k;
		s->count = o->steps[k].spec->count;
		s->verdict = EXPLAIN_DEPENDS;
		s->priority = j->spec->priority;
		out->step_count++;
	}
}

void cell_explain(const struct cell *c, const struct job_spec *spec,
		  struct explanation *out)
{
	struct trial_cell *x = trial_cell_new(c, spec);
	size_t n = cell_queue_fill(&x->cell), i;

	memset(out, 0, sizeof(*out));
	if (x->cell.quotas.first)
		out->quota = *x->cell.quotas.first;
	out->quota.next = NULL;
	for (i = 0; i < n; i++)
		if (!x->cell.queue[i].step->occurrence)
			explain_ready_step(x, c, &x->cell.queue[i],
					   &out->steps[out->step_count++]);
	add_dependent_steps(x->entry.cell_job, out);
	trial_cell_free(x);
}

const char *explain_verdict_name(enum explain_verdict v)
{
	static const char *const names[] = {
		[EXPLAIN_STARTS] = "starts",
		[EXPLAIN_DEPENDS] = "waits for the steps before it",
		[EXPLAIN_PAUSED] = "waits: the owner starts nothing at present",
		[EXPLAIN_LIMIT] = "waits: limit of its account",
		[EXPLAIN_GANG] = "waits: no room for all tasks at once",
		[EXPLAIN_NO_WORKER] = "waits: no worker can take a task",
	};

	return names[v];
}

const char *explain_obstacle_name(enum explain_obstacle o)
{
	static const char *const names[OBSTRUCTED_BY_KINDS] = {
		[OBSTRUCTED_BY_NOTHING] = "suitable",
		[OBSTRUCTED_BY_POOL] = "other_pool",
		[OBSTRUCTED_BY_UNCONFIRMED] = "unconfirmed",
		[OBSTRUCTED_BY_DRAINING] = "draining",
		[OBSTRUCTED_BY_SILENT] = "silent",
		[OBSTRUCTED_BY_BACKOFF] = "back_off",
		[OBSTRUCTED_BY_TRIAL] = "crash_trial",
		[OBSTRUCTED_BY_ZONE] = "zone_evacuated",
		[OBSTRUCTED_BY_CAPACITY] = "capacity",
		[OBSTRUCTED_BY_RESERVED] = "reserved",
		[OBSTRUCTED_BY_LABEL] = "label",
		[OBSTRUCTED_BY_INTERFERENCE] = "interference",
	};

	return names[o];
}
