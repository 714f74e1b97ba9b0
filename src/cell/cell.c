#include "cell/cell_types.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"
#include "cell/cell_account.h"
#include "cell/cell_crash.h"
#include "cell/cell_fence.h"
#include "cell/cell_job.h"
#include "cell/cell_late.h"
#include "cell/cell_load.h"
#include "cell/cell_place.h"
#include "cell/cell_plan.h"
#include "cell/cell_progress.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_sizes.h"
#include "cell/cell_task.h"
#include "cell/cell_usage.h"
#include "cell/cell_wait.h"
#include "cell/cell_worker.h"

/* The host calls cell_tick() after each round of events. Loops over all workers
 * and jobs run at most once in TICK_MIN_MS; the next call is asked for within
 * TICK_MAX_MS, or TICK_MIN_MS while a placement pass is due. */
#define TICK_MIN_MS 5
#define TICK_MAX_MS 50
/* Time between the starts of two placement passes, in durations of a pass. */
#define PLACE_GAP_FACTOR 4
#define PLACE_GAP_MAX_MS 200
/* Period of the search for terminal jobs whose retention time has passed. */
#define SWEEP_PERIOD_MS 5000
/* Period of the log lines about the state of the cell. */
#define LOAD_PERIOD_MS 1000
/* Greatest delay in opening a due occurrence and in freeing a job that is in a
 * terminal state. */
#define JOBS_PERIOD_MS 20
/* Period at which the effect model is stored. The next owner loads it, and
 * hosts that follow the log conclude from the record that the cell has an
 * owner. */
#define EFFECT_MODEL_PERIOD_MS 2000

bool cell_record_fits(const struct cell *c, size_t framed_bytes)
{
	return store_record_fits(framed_bytes, c->opt.record_max_bytes,
				 c->opt.append_max_bytes);
}

void cell_record_add(struct cell *c, struct str key, struct str value)
{
	size_t bytes = STORE_RECORD_HEADER + key.len + value.len;

	if (cell_record_fits(c, bytes)) {
		store_record_add(&c->pending_records, key, value);
		return;
	}
	log_line(LOG_ERROR, "record is too large to store, dropped",
		 "key=%.*s bytes=%zu record_max=%zu append_max=%zu",
		 (int)key.len, key.data, bytes, c->opt.record_max_bytes,
		 c->opt.append_max_bytes);
}

static void load_effect_model(struct cell *c)
{
	struct str text = {c->view->effect_model.data,
			   c->view->effect_model.len};

	if (text.len && effect_model_read(&c->effect_model, text))
		log_line(LOG_ERROR,
			 "stored interference effects cannot be decoded",
			 "bytes=%zu", text.len);
}

static void store_effect_model(struct cell *c)
{
	struct str value;
	struct buf b;

	buf_init(&b);
	effect_model_write(&c->effect_model, &b);
	value.data = b.data;
	value.len = b.len;
	cell_record_add(c, str_of(EFFECT_MODEL_KEY), value);
	buf_finish(&b);
}

struct cell *cell_new(const struct cell_options *o, uint64_t epoch,
		      struct job_view *view, const struct cell_ops *ops,
		      void *ctx, const struct worker_ops *workers, void *port,
		      int64_t now_ms, int64_t wall_ms)
{
	struct cell *c = xcalloc(1, sizeof(*c));
	struct known_worker *k;
	struct job_entry *e;

	c->opt = *o;
	c->epoch = epoch;
	c->view = view;
	c->ops = ops;
	c->ctx = ctx;
	c->worker_ops = workers;
	c->port = port;
	c->now_ms = now_ms;
	c->accounted_ms = now_ms;
	c->wall_ms = wall_ms;
	c->wall_offset_ms = wall_ms - now_ms;
	index_init(&c->worker_ids);
	quota_table_init(&c->quotas);
	cell_late_init(c);
	effect_model_init(&c->effect_model);
	run_time_table_init(&c->run_times);
	buf_init(&c->pending_records);
	load_effect_model(c);
	size_table_init(&c->sizes);
	size_table_copy(&c->sizes, &view->sizes);
	cell_load_init(c);
	c->former_named_workers = !view->owner.name[0] ||
				  view->owner.record_version >= RECORD_VERSION;
	c->raises_fences = view->raises_fences;
	for (k = view->known_workers; k; k = k->next)
		cell_worker_recover(c, k);
	for (e = view->jobs; e; e = e->next)
		if (e->spec && !job_state_is_terminal(e->state))
			cell_job_add(c, e, true);
	cell_progress_hold_runs(c);
	return c;
}

static void cell_free(struct cell *c)
{
	while (c->jobs)
		cell_job_free(c, c->jobs);
	while (c->workers) {
		struct cell_worker *w = c->workers;

		c->workers = w->next;
		cell_quota_release_orphans(c, w);
		free(w);
	}
	quota_table_finish(&c->quotas);
	cell_late_finish(c);
	index_finish(&c->worker_ids);
	effect_model_finish(&c->effect_model);
	run_time_table_finish(&c->run_times);
	size_table_finish(&c->sizes);
	cell_load_finish(c);
	buf_finish(&c->pending_records);
	free(c->queue);
	free(c->candidates);
	free(c->shares);
	free(c);
}

void cell_stop(struct cell *c)
{
	struct cell_job *j;

	for (j = c->jobs; j; j = j->next) {
		j->entry->cell_job = NULL;
		j->entry = NULL;
	}
	c->stopped = true;
	if (!c->calls)
		cell_free(c);
}

void cell_call_begin(struct cell *c)
{
	c->calls++;
}

bool cell_call_end(struct cell *c)
{
	c->calls--;
	if (!c->stopped) {
		c->now_ms = c->ops->now(c->ctx);
		return true;
	}
	if (!c->calls)
		cell_free(c);
	return false;
}

void cell_set_authority(struct cell *c, int64_t until_ms)
{
	c->authority_until_ms = until_ms;
	c->renew_until_ms = until_ms + c->opt.renew_after_ms;
}

void cell_limit_renewals(struct cell *c, int64_t until_ms)
{
	if (until_ms < c->renew_until_ms)
		c->renew_until_ms = until_ms;
}

void cell_hand_over(struct cell *c, int64_t now_ms)
{
	c->handover_began_ms = now_ms;
}

static size_t batch_room(const struct cell *c, const struct buf *out)
{
	size_t max = c->opt.append_max_bytes;

	if (!max)
		return SIZE_MAX;
	return out->len < max ? max - out->len : 0;
}

static void take_pending_records(struct cell *c, struct buf *out)
{
	struct buf *p = &c->pending_records;
	struct str records = {p->data, p->len};
	size_t n = store_records_fitting(records, batch_room(c, out));

	buf_add(out, p->data, n);
	buf_drop(p, n);
	c->taken_bytes += n;
}

/*
 * Add the progress of a job to a batch. A job whose progress cannot be stored
 * is given up: its tasks cannot be started safely.
 *
 * Return: false when it does not fit in the rest of the batch.
 */
static bool take_progress(struct cell *c, struct cell_job *j, struct buf *out)
{
	size_t before = out->len, room = batch_room(c, out);

	cell_progress_write(c, j, out);
	if (!cell_record_fits(c, out->len - before)) {
		log_line(LOG_ERROR, "progress of a job is too large to store",
			 "job=%016" PRIx64 " bytes=%zu record_max=%zu",
			 j->entry->id, out->len - before,
			 c->opt.record_max_bytes);
		out->len = before;
		cell_job_settle(c, j, JOB_FAILED);
		cell_progress_write(c, j, out);
	}
	if (out->len - before <= room)
		return true;
	out->len = before;
	return false;
}

/*
 * Progress is stored in rounds: all jobs that are dirty when a round begins are
 * stored before any that become dirty later, so that none of them waits for
 * ever, and the ends that workers had reported by then can be acknowledged.
 *
 * Return: true when a round has begun.
 */
static bool take_round(struct cell *c, struct buf *out)
{
	bool begins = !c->round;
	struct cell_job *j;

	if (begins) {
		c->round = c->dirty;
		c->dirty = NULL;
		c->has_new_ends = false;
	}
	while (c->round && take_progress(c, c->round, out)) {
		j = c->round;
		c->round = j->next_dirty;
		j->dirty = false;
		j->storing = true;
	}
	return begins;
}

/* While the last record of a worker waits for a later batch, the store may say
 * of its leases what does not hold any more. */
static void note_worker_record(const struct cell *c, struct cell_worker *w)
{
	bool is_taken = w->record_end <= c->taken_bytes;

	w->storing_record = w->recorded && is_taken;
	w->freeze_sent = w->lease_frozen && is_taken;
	if (!is_taken)
		w->stored = false;
}

static bool has_nothing_to_store(const struct cell *c)
{
	return !c->pending_records.len && !c->round && !c->dirty &&
	       !c->intents && !c->has_new_ends;
}

bool cell_take_batch(struct cell *c, struct buf *out)
{
	struct cell_worker *w;
	struct cell_task *t;
	bool round_begins;

	if (c->batch_open || (!out->len && has_nothing_to_store(c)))
		return false;
	take_pending_records(c, out);
	cell_fences_taken(c);
	round_begins = take_round(c, out);
	for (t = c->intents; t; t = t->next_intent) {
		t->storing_intent = !t->step->job->dirty;
		t->storing_worker = t->worker ? t->worker->id : 0;
	}
	for (w = c->workers; w; w = w->next) {
		if (round_begins)
			w->round_end = w->last_end;
		if (!c->round)
			w->storing_end = w->round_end;
		note_worker_record(c, w);
	}
	c->batch_open = true;
	if (out->len)
		return true;
	cell_batch_stored(c);
	return false;
}

void cell_batch_stored(struct cell *c)
{
	struct cell_worker *w;
	struct cell_job *j;

	c->batch_open = false;
	for (j = c->jobs; j; j = j->next)
		j->storing = false;
	for (w = c->workers; w; w = w->next) {
		if (w->storing_end > w->acked_end && !w->poll_in_flight)
			w->poll_due_ms = c->now_ms;
		w->acked_end = w->storing_end;
		w->stored |= w->storing_record;
	}
	cell_fences_stored(c);
	cell_start_stored(c);
}

static void drop_terminal_jobs(struct cell *c)
{
	struct str none = {NULL, 0};
	char key[JOB_KEY_SIZE];
	struct job_entry *e;

	for (e = c->view->jobs; e; e = e->next) {
		if (!e->terminal_ms || e->cell_job ||
		    c->now_ms - e->terminal_ms < c->opt.terminal_retention_ms)
			continue;
		cell_record_add(c, job_key(e->id, 'c', key), none);
		cell_record_add(c, job_key(e->id, 'p', key), none);
		cell_record_add(c, job_key(e->id, 0, key), none);
	}
}

static void jobs_tick(struct cell *c)
{
	struct cell_job *j, *next;

	if (c->now_ms < c->jobs_due_ms)
		return;
	c->jobs_due_ms = c->now_ms + JOBS_PERIOD_MS;
	for (j = c->jobs; j; j = next) {
		next = j->next;
		if (j->spec->repeat && !job_state_is_terminal(j->state))
			cell_job_open_due(c, j);
		if (job_state_is_terminal(j->state) && !j->placed && !j->held &&
		    !j->dirty && !j->storing)
			cell_job_free(c, j);
	}
}

/* On a host that is short of processor time, polls and stored batches must not
 * wait for placement passes that follow each other without a gap. */
static void place(struct cell *c)
{
	c->placed_at_ms = c->now_ms;
	cell_place(c);
	c->place_gap_ms = (c->ops->now(c->ctx) - c->now_ms) * PLACE_GAP_FACTOR;
	if (c->place_gap_ms < PLACE_PERIOD_MS)
		c->place_gap_ms = PLACE_PERIOD_MS;
	/* A pass that took longer was interrupted by a pause of the process. */
	if (c->place_gap_ms > PLACE_GAP_MAX_MS)
		c->place_gap_ms = PLACE_GAP_MAX_MS;
}

int64_t cell_tick(struct cell *c, int64_t now_ms, int64_t wall_ms)
{
	c->now_ms = now_ms;
	c->wall_ms = wall_ms;
	c->wall_offset_ms = wall_ms - now_ms;
	if (now_ms < c->ticked_ms + TICK_MIN_MS)
		return c->ticked_ms + TICK_MIN_MS - now_ms;
	c->ticked_ms = now_ms;
	if (now_ms >= c->sweep_due_ms && !c->pending_records.len) {
		c->sweep_due_ms = now_ms + SWEEP_PERIOD_MS;
		drop_terminal_jobs(c);
		quota_table_drop_unused(&c->quotas);
	}
	if (now_ms >= c->effect_model_due_ms && !c->batch_open) {
		c->effect_model_due_ms = now_ms + EFFECT_MODEL_PERIOD_MS;
		store_effect_model(c);
	}
	if (now_ms >= c->load_due_ms) {
		c->load_due_ms = now_ms + LOAD_PERIOD_MS;
		cell_usage_update(c);
		cell_recovery_log(c);
		cell_wait_update(c);
		cell_late_log(c);
		cell_plans_log(c);
	}
	cell_account_update(c);
	cell_workers_tick(c);
	cell_sizes_tick(c);
	cell_load_tick(c);
	cell_recovery_tick(c);
	cell_crash_tick(c);
	cell_late_tick(c);
	jobs_tick(c);
	if (now_ms - c->placed_at_ms >= PLACE_RECHECK_MS)
		c->place_due = true;
	if (now_ms < c->authority_until_ms && c->place_due &&
	    now_ms - c->placed_at_ms >= c->place_gap_ms)
		place(c);
	return c->place_due ? TICK_MIN_MS : TICK_MAX_MS;
}

void cell_get_counts(const struct cell *c, struct cell_counts *out)
{
	const struct cell_worker *w;
	const struct cell_job *j;
	const struct quota *q;

	*out = c->counts;
	out->epoch = c->epoch;
	out->in_doubt = cell_recovery_count_tasks(c);
	out->unheard = c->unheard;
	out->late_starts = c->late.count;
	out->oldest_wait_ms = (uint64_t)cell_wait_oldest_ms(c);
	for (w = c->workers; w; w = w->next) {
		out->workers++;
		out->usable += w->registered && w->confirmed &&
			       c->now_ms - w->answered_ms < WORKER_REACHABLE_MS;
	}
	for (j = c->jobs; j; j = j->next) {
		out->waiting += j->waiting;
		out->placed += j->placed;
		out->contained += j->contained;
		if (j->quota && j->quota->is_blocked)
			out->waiting_quota += j->waiting;
	}
	for (q = c->quotas.first; q; q = q->next)
		out->accounts_blocked += q->is_blocked;
}
