#include "cell/cell_poll.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"
#include "cell/cell_crash.h"
#include "cell/cell_fence.h"
#include "cell/cell_job.h"
#include "cell/cell_late.h"
#include "cell/cell_lease.h"
#include "cell/cell_pace.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_run_time.h"
#include "cell/cell_task.h"
#include "cell/cell_worker.h"

/* Long-poll wait for a worker that runs both latency-critical and best-effort
 * tasks: the tail latency that it reports covers half a second. Also for a
 * worker with a trial, which ends with a report of the run. */
#define POLL_SAMPLE_MS 500
/* Poll period of a worker that no task has been started on. */
#define POLL_IDLE_MS 1500
/* Runs of different jobs that fail in a row on a worker before the owner backs
 * off from it. */
#define FAIL_STREAK_MAX 3
/* Greatest number of ended runs in one reply: a list of this length may be
 * incomplete. */
#define ENDED_PAGE_MAX 500
/* Interval of polls while one of a former process is in flight. No poll waits
 * at the worker meanwhile: orders to it would have to wait as well. */
#define POLL_STALE_MS 50

/* Context of a poll in flight, sent at @extended_ms if it extends the lease. */
struct cell_poll {
	struct cell *cell;
	uint64_t seq;
	int64_t extended_ms;
};

static void record_failure(struct cell *c, struct cell_worker *w,
			   const struct cell_task *t)
{
	uint64_t job = t->step->job->entry->id;

	if (w->failed_job == job)
		return;
	w->failed_job = job;
	if (++w->fail_streak >= FAIL_STREAK_MAX)
		cell_worker_back_off(c, w);
}

static bool has_mixed_load(const struct cell_worker *w)
{
	return w->cpu_serving && w->cpu_best_effort;
}

/*
 * A listed run is active, whatever was concluded before: a start of its task
 * that has not been sent is not sent.
 *
 * Return: whether a run that a worker reports is the task's, or becomes it.
 */
static bool is_run_of(struct cell *c, struct cell_task *t,
		      struct cell_worker *w, const struct task_ref *ref,
		      uint64_t clock)
{
	if (!t || job_state_is_terminal(t->step->job->state))
		return t && t->worker == w && t->run == ref->run;
	if (t->state == TASK_STORING)
		cell_task_withdraw(c, t);
	if (t->worker == w && t->run == ref->run)
		return true;
	if (t->state != TASK_WAITING)
		return false;
	if (!t->step->job->recovered)
		log_line(LOG_WARN, "a run that counted as over is active",
			 "job=%016" PRIx64 " step=%u index=%u run=%u last=%u "
			 "worker=%s",
			 ref->job, ref->step, ref->index, ref->run, t->run,
			 w->entry.addr.id);
	cell_task_adopt(c, t, w, ref->run);
	cell_crash_started(t, clock);
	return true;
}

static void apply_running(struct cell *c, struct cell_worker *w,
			  const struct run_row *r,
			  const struct poll_reply *reply)
{
	struct cell_task *t = cell_task_find(c, &r->ref);

	if (!is_run_of(c, t, w, &r->ref, reply->clock)) {
		cell_quota_hold_orphan(c, w, &r->ref);
		cell_stop_orphan(c, w, &r->ref);
		return;
	}
	t->reported_ms = reply->sent_ms;
	t->percent = (uint8_t)r->progress_percent;
	t->measure = r->measure;
	if (r->checkpoint[0])
		name_set(t->checkpoint, r->checkpoint);
	cell_task_confirm(c, t);
	cell_crash_reported(c, t, reply->clock);
}

static void log_unfinished_end(const struct cell_worker *w,
			       const struct cell_task *t,
			       const struct ended_run *e)
{
	static const char *const names[] = {
		[RUN_STOPPED] = "stopped",
		[RUN_EXPIRED] = "expired",
		[RUN_GANG_BROKEN] = "gang_broken",
		[RUN_GANG_INCOMPLETE] = "gang_incomplete",
	};

	if (e->how == RUN_DONE || e->how == RUN_FAILED)
		return;
	log_line(LOG_INFO, "run ended unfinished",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s how=%s "
		 "current=%d in_doubt=%d",
		 e->ref.job, e->ref.step, e->ref.index, e->ref.run,
		 w->entry.addr.id, names[e->how], t->worker == w,
		 t->doubt_ref != WORKER_REF_NONE);
}

static void apply_end(struct cell *c, struct cell_worker *w,
		      const struct ended_run *e)
{
	struct cell_task *t = cell_task_find(c, &e->ref);

	if (e->number <= w->last_end)
		return;
	w->last_end = e->number;
	c->has_new_ends = true;
	if (!t)
		return;
	log_unfinished_end(w, t, e);
	if (t->worker == w && t->run == e->ref.run) {
		if (e->how == RUN_FAILED) {
			t->avoid_worker = w->id;
			record_failure(c, w, t);
		} else if (e->how == RUN_DONE) {
			w->fail_streak = 0;
			w->backoff_level = 0;
			cell_run_time_note(c, t);
		}
		cell_task_end_run(c, t, e->how, e->checkpoint);
		return;
	}
	/* A run of a former owner, or one marked lost before. */
	if (t->state == TASK_STORING && e->how == RUN_DONE)
		cell_task_withdraw(c, t);
	if (t->state == TASK_WAITING)
		cell_task_apply_end(c, t, e->ref.run, e->how, e->checkpoint);
	else if (e->how == RUN_FAILED)
		cell_task_count_failure(c, t, e->ref.run);
}

/*
 * Mark lost the runs that the worker no longer lists. A run whose start or stop
 * was confirmed after the poll was sent is checked against a later reply.
 */
static void mark_missing_runs_lost(struct cell *c, struct cell_worker *w,
				   int64_t sent_ms)
{
	struct cell_task *t, *next;

	for (t = w->first_task; t; t = next) {
		next = t->next;
		if (t->reported_ms == sent_ms)
			continue;
		if (t->state == TASK_RUNNING && t->confirmed_ms < sent_ms) {
			log_line(LOG_WARN, "worker no longer lists a run",
				 "job=%016" PRIx64 " step=%u index=%u run=%u "
				 "worker=%s",
				 t->step->job->entry->id, t->step->number,
				 t->index, t->run, w->entry.addr.id);
			cell_crash_charge_lost(c, t);
			cell_task_mark_lost(c, t);
		} else if (t->state == TASK_STOPPING && t->stop_confirmed_ms &&
			   t->stop_confirmed_ms < sent_ms) {
			cell_crash_charge_lost(c, t);
			cell_task_mark_lost(c, t);
		}
	}
}

/*
 * Under raised fences, a reply to a poll that was sent before the new process
 * was known does not exclude calls of before: the next poll does.
 *
 * Return: whether the reply counts for the worker's present process.
 */
static bool is_of_present_process(struct cell *c, struct cell_worker *w,
				  const struct poll_reply *r)
{
	if (r->born <= w->entry.born)
		return !r->born || r->born == w->entry.born;
	cell_worker_reset(c, w, r->born, "poll");
	w->poll_due_ms = c->now_ms;
	return !cell_fence_is_raised(c, w);
}

static void apply_poll_reply(struct cell *c, struct cell_worker *w,
			     const struct worker_addr *a,
			     const struct poll_reply *r)
{
	size_t i;

	if (!is_of_present_process(c, w, r))
		return;
	cell_fence_answered(c, w, a);
	cell_crash_answered(c, w);
	if (w->sent_ack)
		w->forgotten_end = w->sent_ack;
	w->clock = r->clock;
	w->clock_received_ms = c->now_ms;
	w->answered_ms = c->now_ms;
	w->missed_polls = 0;
	cell_lease_thaw(c, w);
	w->refused = false;
	if (!w->confirmed)
		cell_lease_adopt(c, w, r->clock);
	cell_quota_release_orphans(c, w);
	for (i = 0; i < r->running_count; i++)
		apply_running(c, w, &r->running[i], r);
	for (i = 0; i < r->ended_count; i++)
		apply_end(c, w, &r->ended[i]);
	if (r->ended_count < ENDED_PAGE_MAX) {
		mark_missing_runs_lost(c, w, r->sent_ms);
		cell_late_listed(c, w, r);
		cell_recovery_resolve(c, w);
	}
	if (!w->confirmed) {
		w->confirmed = true;
		c->place_due = true;
	}
	cell_pace_worker(c, w);
	cell_worker_mark_changed(c, w);
	w->poll_due_ms = c->now_ms;
	if (w->last_end != w->acked_end || w->orphans)
		w->poll_due_ms += POLL_STALLED_MS;
	else if (!cell_worker_has_runs(w))
		w->poll_due_ms += POLL_IDLE_MS;
	else if (w->stale_polls)
		w->poll_due_ms += POLL_STALE_MS;
	if (w->ack_held && w->acked_end != w->forgotten_end)
		w->poll_due_ms = c->now_ms;
	cell_task_start_held(c, w);
}

static void on_poll_reply(void *ctx, const struct worker_addr *a,
			  const struct poll_reply *r)
{
	struct cell_poll *p = ctx;
	struct cell *c = p->cell;
	uint64_t seq = p->seq;
	int64_t extended_ms = p->extended_ms;
	struct cell_worker *w;

	free(p);
	if (!cell_call_end(c))
		return;
	if (extended_ms && r->begun_ms > extended_ms)
		extended_ms = r->begun_ms;
	if (extended_ms && r->status == ORDER_UNKNOWN)
		cell_lease_unanswered(c, a, extended_ms);
	if (extended_ms && r->status == ORDER_OK && r->born != a->born)
		cell_lease_answered(c, a);
	if (r->status == ORDER_FENCED && cell_fence_refused(c, a))
		return;
	w = cell_worker_find(c, a->id);
	if (!w)
		return;
	if (!w->poll_in_flight || w->poll_seq != seq) {
		if (w->stale_polls)
			w->stale_polls--;
		return;
	}
	cell_worker_set_polled(c, w, false);
	if (r->status == ORDER_OK) {
		apply_poll_reply(c, w, a, r);
		return;
	}
	if (r->status == ORDER_FENCED || !cell_worker_has_address(w, a)) {
		w->poll_due_ms = c->now_ms;
		return;
	}
	w->poll_due_ms = c->now_ms + POLL_RETRY_MS;
	if (!w->missed_polls++)
		w->silent_ms = c->now_ms;
	w->refused = r->refused;
	cell_task_withdraw_held(c, w);
	if (r->status == ORDER_RESTARTED) {
		/* No worker with this id listens at the address any more. */
		cell_worker_crashed(c, w);
		w->confirmed = true;
		w->clock_received_ms = c->now_ms;
		w->lease_end_ms = w->clock;
		cell_recovery_resolve(c, w);
		return;
	}
	log_line(LOG_DEBUG, "worker did not answer", "worker=%s status=%d",
		 a->id, (int)r->status);
}

/*
 * A new process numbers its ends anew, and would forget those up to an
 * acknowledgement meant for the former one. It is therefore sent soon after an
 * answer, else after one poll more.
 */
static uint64_t take_ack(struct cell *c, struct cell_worker *w)
{
	bool is_due = !w->missed_polls && w->acked_end != w->forgotten_end;
	bool is_fresh = w->ack_held ||
			c->now_ms - w->answered_ms < WORKER_RESTART_MIN_MS;

	w->ack_held = is_due && !is_fresh;
	w->sent_ack = is_due && is_fresh ? w->acked_end : 0;
	return w->sent_ack;
}

void cell_poll_send(struct cell *c, struct cell_worker *w)
{
	struct cell_poll *p = xcalloc(1, sizeof(*p));
	struct poll_request h = {0};

	p->cell = c;
	p->seq = ++c->poll_seq;
	h.fence = cell_worker_fence(c, w);
	/* An unanswered renewal may have arrived and extended the lease. A
	 * worker that does not answer gets no further renewals, so that its
	 * lease runs out and its runs end within a known time. */
	if (!w->missed_polls && w->stored && !w->lease_frozen)
		h.lease_deadline_ms = cell_lease_extend(c, w);
	p->extended_ms = h.lease_deadline_ms ? c->now_ms : 0;
	h.ack = take_ack(c, w);
	/* After a missed poll, tasks and leases wait for the reply. */
	if (w->confirmed && cell_worker_has_runs(w) && !w->missed_polls &&
	    !w->stale_polls && !w->ack_held && w->last_end == w->acked_end)
		h.wait_ms = w->trials || has_mixed_load(w)
				    ? POLL_SAMPLE_MS
				    : c->opt.poll_wait_ms;
	cell_worker_set_polled(c, w, true);
	w->poll_seq = p->seq;
	cell_call_begin(c);
	c->worker_ops->poll(c->port, &w->entry.addr, &h, on_poll_reply, p);
}
