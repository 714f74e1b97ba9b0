#include "cell/cell_worker.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/logger.h"
#include "cell/cell_crash.h"
#include "cell/cell_fence.h"
#include "cell/cell_job.h"
#include "cell/cell_late.h"
#include "cell/cell_lease.h"
#include "cell/cell_plan.h"
#include "cell/cell_loss.h"
#include "cell/cell_poll.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_sizes.h"
#include "cell/cell_task.h"

/* Back-off from a worker after starts that it refused or that did not reach it,
 * or a streak of failed runs: doubles from the first value up to the maximum.
 */
#define BACKOFF_FIRST_MS 300
#define BACKOFF_MAX_MS 4800
/* Period of the pass that sends stops and repeats unconfirmed ones. */
#define STOPS_PERIOD_MS 50
/* Workers looked at in each tick at least; of more, as many as are needed to
 * look at all of them in WORKERS_PERIOD_MS. */
#define WORKERS_TICK_MIN 500
#define WORKERS_PERIOD_MS 50
/* Time before a draining worker leaves at which its long-running and
 * checkpointing tasks are stopped. */
#define DRAIN_MARGIN_MS 1500

struct cell_worker *cell_worker_find(const struct cell *c, const char *id)
{
	return index_get(&c->worker_ids, name_hash(id));
}

bool cell_worker_has_address(const struct cell_worker *w,
			     const struct worker_addr *a)
{
	return !strcmp(w->entry.addr.address, a->address);
}

static void changed_list_remove(struct cell *c, struct cell_worker *w)
{
	if (w->newer)
		w->newer->older = w->older;
	else if (c->changed == w)
		c->changed = w->older;
	if (w->older)
		w->older->newer = w->newer;
	w->newer = NULL;
	w->older = NULL;
}

void cell_worker_mark_changed(struct cell *c, struct cell_worker *w)
{
	w->version = ++c->version;
	if (c->changed == w)
		return;
	changed_list_remove(c, w);
	w->older = c->changed;
	if (c->changed)
		c->changed->newer = w;
	c->changed = w;
}

static void unpolled_add(struct cell *c, struct cell_worker *w)
{
	w->prev_unpolled = NULL;
	w->next_unpolled = c->unpolled;
	if (c->unpolled)
		c->unpolled->prev_unpolled = w;
	c->unpolled = w;
}

static void unpolled_remove(struct cell *c, struct cell_worker *w)
{
	if (w->prev_unpolled)
		w->prev_unpolled->next_unpolled = w->next_unpolled;
	else
		c->unpolled = w->next_unpolled;
	if (w->next_unpolled)
		w->next_unpolled->prev_unpolled = w->prev_unpolled;
}

void cell_worker_set_polled(struct cell *c, struct cell_worker *w,
			    bool in_flight)
{
	if (in_flight == w->poll_in_flight)
		return;
	w->poll_in_flight = in_flight;
	if (in_flight)
		unpolled_remove(c, w);
	else
		unpolled_add(c, w);
}

static struct cell_worker *worker_add(struct cell *c, const char *id)
{
	struct cell_worker *w = xcalloc(1, sizeof(*w));

	w->id = name_hash(id);
	name_set(w->entry.addr.id, id);
	w->entry.addr.raises = c->least_raises;
	w->poll_due_ms = c->now_ms;
	w->answered_ms = c->now_ms - WORKER_REACHABLE_MS;
	w->next = c->workers;
	c->workers = w;
	unpolled_add(c, w);
	cell_worker_mark_changed(c, w);
	index_put(&c->worker_ids, w->id, w);
	return w;
}

static void mark_all_runs_lost(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t;

	while (w->first_task) {
		t = w->first_task;
		cell_crash_charge_lost(c, t);
		cell_task_mark_lost(c, t);
	}
}

void cell_worker_crashed(struct cell *c, struct cell_worker *w)
{
	cell_crash_charge(c, w);
	mark_all_runs_lost(c, w);
	cell_quota_release_orphans(c, w);
}

/* Runs that the worker has not listed. Those whose start is confirmed are
 * @confirmed of them. */
static uint32_t count_unlisted(const struct cell_worker *w, uint32_t *confirmed)
{
	const struct cell_task *t;
	uint32_t n = 0;

	*confirmed = 0;
	for (t = w->first_task; t; t = t->next) {
		if (t->state == TASK_STORING || t->reported_ms)
			continue;
		n++;
		*confirmed += t->confirmed_ms != 0;
	}
	return n;
}

/*
 * Only a run that the former process has listed is known to have ended with it.
 * The new process may have confirmed any other, or may yet receive the order,
 * as it listens at the same address and knows of no stop. Its own answers
 * decide: its listings of a run that was confirmed, else a stop.
 */
static void end_runs_of_former_process(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;

	cell_crash_charge_listed(c, w);
	cell_crash_charge_ended(c, w);
	for (t = w->first_task; t; t = next) {
		next = t->next;
		if (t->state == TASK_STORING || t->reported_ms) {
			cell_task_mark_lost(c, t);
		} else if (t->state != TASK_RUNNING) {
			t->stop_sent_ms = 0;
			t->stop_confirmed_ms = 0;
			cell_task_stop(c, t);
		}
	}
}

void cell_worker_reset(struct cell *c, struct cell_worker *w, uint64_t born,
		       const char *source)
{
	uint32_t runs = w->task_count, confirmed;
	uint32_t unlisted = count_unlisted(w, &confirmed);
	uint64_t before = w->entry.born;

	w->entry.born = born;
	w->entry.addr.born = born;
	cell_fence_raise(w);
	end_runs_of_former_process(c, w);
	/* Until it is heard, what a former owner was stopping counts: the new
	 * process may have started it. */
	if (w->confirmed)
		cell_quota_release_orphans(c, w);
	if (w->first_task)
		cell_recovery_expect(c, w, 0);
	log_line(LOG_INFO, "worker restarted",
		 "worker=%s born=%" PRIu64 " before=%" PRIu64 " source=%s "
		 "runs=%u unlisted=%u confirmed=%u kept=%u",
		 w->entry.addr.id, born, before, source, runs, unlisted,
		 confirmed, w->task_count);
	w->stale_polls += w->poll_in_flight;
	cell_worker_set_polled(c, w, false);
	w->missed_polls = 0;
	w->clock = 0;
	w->clock_received_ms = 0;
	w->lease_end_ms = 0;
	w->new_clock_until_ms = 0;
	w->is_new_clock = true;
	w->former_answered_ms = w->answered_ms;
	w->late_lease_until_ms = 0;
	w->last_end = 0;
	w->round_end = 0;
	w->storing_end = 0;
	w->acked_end = 0;
	w->sent_ack = 0;
	w->forgotten_end = 0;
	w->confirmed = false;
	w->recorded = false;
	w->storing_record = false;
	w->stored = false;
	w->lease_frozen = false;
	w->backoff_level = 0;
	w->fail_streak = 0;
	cell_crash_restarted(w);
	cell_late_restarted(c, w);
}

struct cell_worker *cell_worker_recover(struct cell *c,
					const struct known_worker *k)
{
	struct cell_worker *w = worker_add(c, k->id);

	name_set(w->entry.addr.address, k->address);
	w->entry.born = k->born;
	w->entry.addr.born = k->born;
	w->recorded = true;
	w->stored = true;
	w->lease_frozen = k->leases_end_ms != 0;
	w->freeze_sent = w->lease_frozen;
	cell_recovery_expect(c, w,
			     c->former_named_workers ? k->leases_end_ms : 0);
	return w;
}

/*
 * The time left in an entry counts from its writing. An entry that is read for
 * the first time may be as old as the heartbeat; a later one is read soon after
 * it is written, unless the registry is listed again. The earliest estimate is
 * therefore the best.
 */
static int64_t estimate_leaving(const struct cell *c,
				const struct cell_worker *old,
				const struct worker_entry *e)
{
	bool was_draining = old->registered && old->entry.draining &&
			    old->entry.born == e->born;
	int64_t at = c->now_ms + e->leaving_ms;

	if (!e->draining)
		return 0;
	if (was_draining && (!e->leaving_ms || old->leaving_at_ms < at) &&
	    old->leaving_at_ms)
		return old->leaving_at_ms;
	if (!e->leaving_ms)
		return 0;
	return old->registered ? at : at - c->opt.heartbeat_ms;
}

static void set_entry(struct cell_worker *w, const struct worker_entry *e)
{
	uint32_t raises = w->entry.addr.raises;

	w->entry = *e;
	w->entry.addr.born = e->born;
	w->entry.addr.raises = raises;
}

void cell_worker_update(struct cell *c, const struct worker_entry *e)
{
	struct cell_worker *w = cell_worker_find(c, e->addr.id);
	struct cell_worker old;
	int64_t left_ms;

	if (!w) {
		w = worker_add(c, e->addr.id);
		w->entry.born = e->born;
		/* Removed after its leases had ended, it may have restarted. */
		cell_late_restarted(c, w);
	}
	if (e->born < w->entry.born)
		return;
	old = *w;
	if (e->born > w->entry.born) {
		cell_worker_reset(c, w, e->born, "registry");
		w->poll_due_ms = c->now_ms;
	}
	set_entry(w, e);
	w->service = name_hash(e->service);
	w->leaving_at_ms = estimate_leaving(c, &old, e);
	left_ms = w->leaving_at_ms ? w->leaving_at_ms - c->now_ms : 0;
	if (e->draining && !old.entry.draining)
		log_line(LOG_INFO, "worker is draining",
			 "worker=%s leaving_ms=%lld left_ms=%lld", e->addr.id,
			 (long long)e->leaving_ms, (long long)left_ms);
	if (!old.registered) {
		c->place_due = true;
		cell_sizes_note(c, w);
	}
	w->registered = true;
	cell_worker_mark_changed(c, w);
}

void cell_worker_gone(struct cell *c, const char *id)
{
	struct cell_worker *w = cell_worker_find(c, id);

	if (!w || !w->registered)
		return;
	w->registered = false;
	cell_loss_note(c, w);
	cell_crash_charge_ended(c, w);
	log_line(LOG_INFO, "worker left the registry", "worker=%s tasks=%u", id,
		 w->task_count);
}

void cell_workers_retain(struct cell *c, const struct index *ids)
{
	struct cell_worker *w;

	c->is_registry_read = true;
	for (w = c->workers; w; w = w->next)
		if (!index_get(ids, w->id))
			cell_worker_gone(c, w->entry.addr.id);
}

void cell_worker_back_off(struct cell *c, struct cell_worker *w)
{
	int64_t pause = BACKOFF_FIRST_MS;
	uint32_t i;

	for (i = 0; i < w->backoff_level && pause < BACKOFF_MAX_MS; i++)
		pause *= 2;
	w->backoff_level++;
	w->backoff_until_ms = c->now_ms + pause;
	log_line(LOG_INFO, "backing off from worker: no new tasks",
		 "worker=%s pause_ms=%lld", w->entry.addr.id, (long long)pause);
}

static void worker_remove(struct cell *c, struct cell_worker **at)
{
	char key[NAME_SIZE + sizeof(WORKER_KEY_PREFIX)];
	struct cell_worker *w = *at;
	struct str none = {NULL, 0};

	snprintf(key, sizeof(key), WORKER_KEY_PREFIX "%s", w->entry.addr.id);
	if (w->recorded)
		cell_record_add(c, str_of(key), none);
	*at = w->next;
	unpolled_remove(c, w);
	cell_recovery_resolve(c, w);
	cell_quota_release_orphans(c, w);
	cell_fence_removed(c, w);
	cell_plan_drop(c, w, "gone");
	changed_list_remove(c, w);
	index_remove(&c->worker_ids, w->id);
	free(w);
}

static void stop_due_tasks(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;
	bool leave = w->leaving_at_ms &&
		     w->leaving_at_ms - c->now_ms < DRAIN_MARGIN_MS;

	if (!leave && !w->stopping)
		return;
	for (t = w->first_task; t; t = next) {
		next = t->next;
		if (t->state == TASK_STOPPING ||
		    (leave && t->state == TASK_RUNNING &&
		     step_has_flag(t->step,
				   STEP_LONG_RUNNING | STEP_CHECKPOINTS)))
			cell_task_stop(c, t);
	}
}

static bool is_poll_due(const struct cell *c, const struct cell_worker *w)
{
	return !w->poll_in_flight && c->now_ms >= w->poll_due_ms &&
	       c->now_ms < c->renew_until_ms;
}

static void worker_tick(struct cell *c, struct cell_worker *w, bool stops_due)
{
	cell_recovery_expire(c, w);
	if (w->first_task && cell_lease_is_expired(c, w)) {
		log_line(LOG_WARN, "lease expired, runs marked lost",
			 "worker=%s tasks=%u answered_ms_ago=%lld",
			 w->entry.addr.id, w->task_count,
			 (long long)(c->now_ms - w->answered_ms));
		cell_loss_note(c, w);
		if (w->refused || !w->registered)
			cell_crash_charge(c, w);
		cell_late_expired(c, w);
		mark_all_runs_lost(c, w);
	}
	if (w->orphans && cell_lease_is_expired(c, w))
		cell_quota_release_orphans(c, w);
	cell_lease_tick(c, w);
	if (stops_due)
		stop_due_tasks(c, w);
	if (is_poll_due(c, w))
		cell_poll_send(c, w);
}

static bool should_remove(const struct cell *c, const struct cell_worker *w)
{
	return !w->registered && !w->first_task && !w->poll_in_flight &&
	       w->missed_polls && cell_lease_is_expired(c, w);
}

/* Of the workers that this tick has not looked at. */
static void send_due_polls(struct cell *c)
{
	struct cell_worker *w, *next;

	for (w = c->unpolled; w; w = next) {
		next = w->next_unpolled;
		if (is_poll_due(c, w))
			cell_poll_send(c, w);
	}
}

static void log_renewals(struct cell *c)
{
	bool renews = c->now_ms < c->renew_until_ms;

	if (renews != c->renews)
		log_line(LOG_INFO, "renewal of leases",
			 "epoch=%" PRIu64 " active=%d left_ms=%lld "
			 "authority_left_ms=%lld",
			 c->epoch, renews,
			 (long long)(c->renew_until_ms - c->now_ms),
			 (long long)(c->authority_until_ms - c->now_ms));
	c->renews = renews;
}

static size_t workers_due(struct cell *c)
{
	size_t all = index_count(&c->worker_ids);
	int64_t passed = c->now_ms - c->workers_ms;

	c->workers_ms = c->now_ms;
	if (all <= WORKERS_TICK_MIN || passed >= WORKERS_PERIOD_MS)
		return all;
	all = all * (size_t)passed / WORKERS_PERIOD_MS + 1;
	return all > WORKERS_TICK_MIN ? all : WORKERS_TICK_MIN;
}

static void begin_pass(struct cell *c)
{
	c->workers_at = &c->workers;
	c->stops_due = c->now_ms >= c->stops_due_ms;
	if (c->stops_due)
		c->stops_due_ms = c->now_ms + STOPS_PERIOD_MS;
}

void cell_workers_tick(struct cell *c)
{
	size_t n = workers_due(c);

	log_renewals(c);
	if (!c->workers_at)
		begin_pass(c);
	for (; n && *c->workers_at; n--) {
		struct cell_worker *w = *c->workers_at;

		c->workers_seen++;
		worker_tick(c, w, c->stops_due);
		if (should_remove(c, w))
			worker_remove(c, c->workers_at);
		else
			c->workers_at = &w->next;
	}
	if (!*c->workers_at)
		c->workers_at = NULL;
	send_due_polls(c);
}
