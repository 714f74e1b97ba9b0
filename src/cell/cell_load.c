#include "cell/cell_load.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_place.h"
#include "cell/cell_queue.h"
#include "cell/cell_room.h"

/* Period at which the load is sampled. */
#define SAMPLE_PERIOD_MS 100
/* A sample that is late by more than this follows a pause of the process. */
#define PAUSE_MS 1000
/* Least time between two records. */
#define STORE_PERIOD_MS 1000
/* The peak of short work is that of the present period and the one before. */
#define PEAK_PERIOD_MS 5000
/* A short task that waits longer than this has found no worker. */
#define UNPLACED_MS 300

/**
 * struct load - one sample of the load of a row
 * @long_running: declared processors of long-running tasks
 * @short_work: of the short tasks that are ready or running
 * @unplaced: a step of which a task waits for a worker; NULL for none
 */
struct load {
	uint64_t long_running;
	uint64_t short_work;
	const struct cell_step *unplaced;
};

void cell_load_init(struct cell *c)
{
	struct cell_loads *l = &c->loads;
	size_t i;

	load_table_init(&l->table);
	load_table_init(&l->stored);
	load_table_copy(&l->table, &c->view->loads);
	load_table_copy(&l->stored, &c->view->loads);
	for (i = 0; i < l->table.count; i++)
		l->last_peak[i] = l->table.rows[i].short_peak;
	l->peak_due_ms = c->now_ms + PEAK_PERIOD_MS;
	l->stored_ms = c->now_ms;
	l->sample_due_ms = c->now_ms;
	/* Workers answer a new owner within this time. */
	l->store_due_ms = c->now_ms + WORKER_REACHABLE_MS;
}

void cell_load_finish(struct cell *c)
{
	load_table_finish(&c->loads.table);
	load_table_finish(&c->loads.stored);
}

/* Whether tasks of a job wait for a limit of its account, and for no worker. */
static bool is_limited(const struct cell_job *j)
{
	return j->quota && j->quota->is_blocked;
}

/* Processors declared by the tasks of a step that are not done, but for those
 * that a limit keeps from running. */
static uint64_t step_cpu(const struct cell_step *st)
{
	uint32_t count = st->spec->count - st->done;

	if (is_limited(st->job))
		count -= st->waiting;
	return (uint64_t)count * st->spec->cpu;
}

/* Whether placement has found no worker for a task of a step for some time. */
static bool is_unplaced(const struct cell *c, const struct cell_step *st)
{
	return st->waiting && st->ready_ms && !is_limited(st->job) &&
	       c->now_ms - st->ready_ms >= UNPLACED_MS &&
	       c->now_ms - cell_step_unplaced_since(st) >= UNPLACED_MS;
}

static void add_job(const struct cell *c, const struct cell_job *j,
		    struct load *sum)
{
	bool has_value = cell_job_has_value(c, j);
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->steps; s++) {
			const struct cell_step *st =
				&j->occurrences[k].steps[s];

			if (step_has_flag(st, STEP_BEST_EFFORT))
				continue;
			if (step_has_flag(st, STEP_LONG_RUNNING))
				sum->long_running += step_cpu(st);
			else if (has_value && st->tried_ms) {
				sum->short_work += step_cpu(st);
				if (!sum->unplaced && is_unplaced(c, st))
					sum->unplaced = st;
			}
		}
}

/* Whether a worker counts, though it may not have answered its last poll. */
static bool has_capacity(const struct cell *c, const struct cell_worker *w,
			 uint64_t service)
{
	return w->service == service && w->registered && w->confirmed &&
	       !w->entry.draining &&
	       (!w->missed_polls ||
		c->now_ms - w->answered_ms < WORKER_REACHABLE_MS) &&
	       c->ops->zone_open(c->ctx, w->entry.zone);
}

/* Whether a worker lacks nothing but free capacity for the tasks of a step. */
static bool can_use(const struct cell *c, const struct cell_worker *w,
		    const struct cell_step *st, uint64_t service)
{
	enum cell_obstacle o = cell_obstacle_of(c, w, st, service);

	return o == OBSTACLE_NONE || o == OBSTACLE_CAPACITY ||
	       o == OBSTACLE_RESERVED;
}

/*
 * Processors that are free while a short task waits lie in pieces that are too
 * small for it, and count as needed by short work.
 */
static void update_row(struct cell *c, size_t i, const struct load *sum)
{
	struct cell_loads *l = &c->loads;
	struct load_row *row = &l->table.rows[i];
	uint64_t needed = sum->short_work;
	const struct cell_worker *w;

	row->capacity = 0;
	for (w = c->workers; w; w = w->next) {
		if (!has_capacity(c, w, row->service))
			continue;
		row->capacity += w->entry.cpu;
		if (sum->unplaced && can_use(c, w, sum->unplaced, row->service))
			needed += cell_worker_cpu_free(w);
	}
	if (l->peak[i] < needed)
		l->peak[i] = needed;
	row->short_peak =
		l->peak[i] > l->last_peak[i] ? l->peak[i] : l->last_peak[i];
	row->long_running = sum->long_running;
}

static void sample(struct cell *c)
{
	struct load sums[LOAD_ROWS_MAX] = {{0}};
	struct load_table *t = &c->loads.table;
	const struct cell_job *j;
	struct load_row *row;
	size_t i;

	for (j = c->jobs; j; j = j->next) {
		if (job_state_is_terminal(j->state))
			continue;
		row = load_table_get(t, cell_job_service(c, j),
				     j->spec->priority);
		if (row)
			add_job(c, j, &sums[row - t->rows]);
	}
	for (i = 0; i < t->count; i++)
		update_row(c, i, &sums[i]);
}

static void begin_peak_period(struct cell *c)
{
	struct cell_loads *l = &c->loads;

	l->peak_due_ms = c->now_ms + PEAK_PERIOD_MS;
	memcpy(l->last_peak, l->peak, sizeof(l->last_peak));
	memset(l->peak, 0, sizeof(l->peak));
}

static void store(struct cell *c)
{
	const struct load_table *t = &c->loads.table;
	struct str value;
	struct buf b;
	size_t i;

	for (i = 0; i < t->count; i++)
		log_line(LOG_INFO, "load stored",
			 "service=%016" PRIx64 " priority=%u capacity=%" PRIu64
			 " long_running=%" PRIu64 " short_peak=%" PRIu64,
			 t->rows[i].service, t->rows[i].priority,
			 t->rows[i].capacity / 1000,
			 t->rows[i].long_running / 1000,
			 t->rows[i].short_peak / 1000);
	buf_init(&b);
	load_table_write(t, &b);
	value.data = b.data;
	value.len = b.len;
	cell_record_add(c, str_of(LOADS_KEY), value);
	buf_finish(&b);
	c->loads.record_end = c->taken_bytes + c->pending_records.len;
	c->loads.stored_ms = c->now_ms;
	load_table_copy(&c->loads.stored, t);
}

static bool is_store_due(const struct cell *c)
{
	const struct cell_loads *l = &c->loads;

	/* The last record waits for a batch. */
	if (!c->is_registry_read || c->now_ms < l->store_due_ms ||
	    l->record_end > c->taken_bytes)
		return false;
	return c->now_ms - l->stored_ms >= LOAD_STORE_MAX_MS ||
	       load_table_differs(&l->table, &l->stored);
}

void cell_load_tick(struct cell *c)
{
	struct cell_loads *l = &c->loads;

	if (c->now_ms < l->sample_due_ms)
		return;
	/* After a pause of the process, no worker has answered for some time.
	 */
	if (c->now_ms - l->sample_due_ms > PAUSE_MS)
		l->store_due_ms = c->now_ms + WORKER_REACHABLE_MS;
	l->sample_due_ms = c->now_ms + SAMPLE_PERIOD_MS;
	if (c->now_ms >= l->peak_due_ms)
		begin_peak_period(c);
	sample(c);
	if (!is_store_due(c))
		return;
	l->store_due_ms = c->now_ms + STORE_PERIOD_MS;
	store(c);
}
