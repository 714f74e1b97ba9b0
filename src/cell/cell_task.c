#include "cell/cell_task.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_crash.h"
#include "cell/cell_fence.h"
#include "cell/cell_job.h"
#include "cell/cell_late.h"
#include "cell/cell_lease.h"
#include "cell/cell_plan.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_worker.h"

/* Back-off from a worker that did not reply to a start. */
#define UNANSWERED_BACKOFF_MS 2000
/* Back-off from a worker that refused a start for lack of free capacity. */
#define NO_ROOM_BACKOFF_MS 150

void cell_task_add_usage(struct cell_task *t, int sign)
{
	const struct job_step *s = t->step->spec;
	struct cell_worker *w = t->worker;
	uint32_t cpu = s->cpu * (uint32_t)sign;

	w->memory_used += s->memory_mb * (uint32_t)sign;
	w->accelerators_used += s->accelerators * (uint32_t)sign;
	if (s->flags & STEP_BEST_EFFORT)
		w->cpu_best_effort += cpu;
	else
		w->cpu_used += cpu;
	if (step_is_serving(t->step))
		w->cpu_serving += cpu;
	w->task_count += (uint32_t)sign;
	w->headroom_stale = true;
}

static void task_attach(struct cell *c, struct cell_task *t,
			struct cell_worker *w)
{
	t->worker = w;
	t->prev = NULL;
	t->next = w->first_task;
	if (w->first_task)
		w->first_task->prev = t;
	w->first_task = t;
	t->step->waiting--;
	t->step->job->waiting--;
	t->step->job->placed++;
	t->doubt_ref = WORKER_REF_NONE;
	t->start_held = false;
	t->stop_confirmed_ms = 0;
	t->stop_sent_ms = 0;
	t->reported_ms = 0;
	t->over_since_ms = 0;
	t->unproven_since_ms = 0;
	t->percent = 0;
	t->measure = 0;
	t->throttled_since_ms = 0;
	t->pace = PACE_FULL;
	t->pace_sent = PACE_FULL;
	t->pace_in_flight = false;
	t->is_timed = false;
	cell_task_add_usage(t, 1);
	cell_quota_hold(t);
	cell_crash_attach(c, t);
	if (w->poll_due_ms > c->now_ms && w->last_end == w->acked_end)
		w->poll_due_ms = c->now_ms;
}

/* The next owner learns from the job's progress that the run is over: the
 * worker forgets the end and may leave before that owner asks it. */
static void task_detach(struct cell *c, struct cell_task *t)
{
	if (!job_state_is_terminal(t->step->job->state))
		cell_job_mark_dirty(c, t->step->job);
	cell_task_add_usage(t, -1);
	cell_quota_release(c, t);
	cell_crash_detach(c, t);
	if (t->prev)
		t->prev->next = t->next;
	else
		t->worker->first_task = t->next;
	if (t->next)
		t->next->prev = t->prev;
	if (t->state == TASK_STOPPING)
		t->worker->stopping--;
	cell_worker_mark_changed(c, t->worker);
	t->worker = NULL;
	t->state = TASK_WAITING;
	t->step->waiting++;
	t->step->job->waiting++;
	t->step->job->placed--;
	c->place_due = true;
}

void cell_task_end_run(struct cell *c, struct cell_task *t, enum run_end how,
		       const char *checkpoint)
{
	task_detach(c, t);
	cell_task_apply_end(c, t, t->run, how, checkpoint);
}

static void order_init(const struct cell *c, const struct cell_task *t,
		       struct order *o)
{
	memset(o, 0, sizeof(*o));
	cell_task_ref(t, &o->ref);
	o->fence = cell_worker_fence(c, t->worker);
}

static void mark_running(struct cell *c, struct cell_task *t)
{
	struct cell_job *j = t->step->job;

	t->state = TASK_RUNNING;
	t->confirmed_ms = c->now_ms;
	if (j->state != JOB_QUEUED)
		return;
	j->state = JOB_RUNNING;
	cell_job_mark_dirty(c, j);
}

/*
 * Find the task whose current run is @ref on worker @w.
 *
 * Return: the task, or NULL when the run has ended, been replaced or is on
 * another worker.
 */
static struct cell_task *find_current_run(struct cell *c,
					  const struct worker_addr *w,
					  const struct task_ref *ref)
{
	struct cell_task *t = cell_task_find(c, ref);

	if (!t || !t->worker || t->run != ref->run ||
	    strcmp(t->worker->entry.addr.id, w->id))
		return NULL;
	return t;
}

/*
 * Account for the reply to an order.
 *
 * Return: false when the worker has seen the fence of another owner, or the
 * cell was stopped; the cell may have been freed then.
 */
static bool order_end(struct cell *c, const struct worker_addr *w,
		      const struct order_reply *r)
{
	if (!cell_call_end(c))
		return false;
	return r->status != ORDER_FENCED || !cell_fence_refused(c, w);
}

/*
 * Return: the task whose current run the order was for; NULL when there is no
 * such task, or order_end() returns false.
 */
static struct cell_task *order_finish(struct cell *c,
				      const struct worker_addr *w,
				      const struct task_ref *ref,
				      const struct order_reply *r)
{
	return order_end(c, w, r) ? find_current_run(c, w, ref) : NULL;
}

static void handle_start_refusal(struct cell *c, struct cell_task *t,
				 const struct order_reply *r)
{
	struct cell_worker *w = t->worker;

	if (r->status == ORDER_NO_ROOM) {
		c->counts.no_room++;
		w->backoff_until_ms = c->now_ms + NO_ROOM_BACKOFF_MS;
	} else if (r->status == ORDER_UNHEALTHY ||
		   r->status == ORDER_NOT_SENT) {
		cell_worker_back_off(c, w);
	}
	log_line(LOG_INFO, "start refused",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s "
		 "status=%d cpu_used=%u memory_used=%u",
		 t->step->job->entry->id, t->step->number, t->index, t->run,
		 w->entry.addr.id, (int)r->status, w->cpu_used, w->memory_used);
	w->poll_due_ms = c->now_ms;
	task_detach(c, t);
	t->retry_at_ms = c->now_ms + RESTART_PAUSE_MS;
}

/* Also when the run has been replaced: the worker may have restarted and
 * confirmed a stop of it, and may do so again. */
static void handle_unanswered_start(struct cell *c, struct cell_task *t,
				    const struct worker_addr *w,
				    const struct task_ref *ref)
{
	c->counts.unanswered++;
	cell_late_note(c, w, ref);
	cell_lease_unanswered(c, w, c->now_ms);
	log_line(LOG_WARN, "start not answered",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s "
		 "current=%d",
		 ref->job, ref->step, ref->index, ref->run, w->id, t != NULL);
	if (!t)
		return;
	t->worker->backoff_until_ms = c->now_ms + UNANSWERED_BACKOFF_MS;
	cell_task_stop(c, t);
}

static void on_start(void *ctx, const struct worker_addr *w,
		     const struct task_ref *ref, const struct order_reply *r)
{
	struct cell *c = ctx;
	struct cell_task *t;

	if (!order_end(c, w, r))
		return;
	c->late.in_flight--;
	if (r->clock && r->status != ORDER_FENCED)
		cell_lease_answered(c, w);
	t = find_current_run(c, w, ref);
	if (t && r->status == ORDER_OK) {
		cell_crash_started(t, r->clock);
		cell_task_confirm(c, t);
		cell_lease_check_clock(c, t, r->clock);
	}
	/* A poll may have reported the run before this reply arrived. */
	if (r->status == ORDER_OK || (t && t->state == TASK_RUNNING))
		return;
	if (r->status == ORDER_UNKNOWN)
		handle_unanswered_start(c, t, w, ref);
	else if (t)
		handle_start_refusal(c, t, r);
}

static void send_start(struct cell *c, struct cell_task *t)
{
	struct cell_worker *w = t->worker;
	struct order o;

	t->state = TASK_STARTING;
	t->run = ++t->last_run;
	t->start_sent_ms = c->now_ms;
	t->confirmed_ms = 0;
	t->is_timed = !t->checkpoint[0];
	order_init(c, t, &o);
	o.lease_deadline_ms = cell_lease_extend(c, w);
	o.spec = t->step->job->spec->payload;
	o.checkpoint = t->checkpoint[0] ? t->checkpoint : NULL;
	if (w->poll_due_ms > c->now_ms && w->last_end == w->acked_end)
		w->poll_due_ms = c->now_ms;
	c->counts.starts++;
	c->late.in_flight++;
	cell_call_begin(c);
	c->worker_ops->start(c->port, &w->entry.addr, &o, on_start, c);
}

/* By the clock and not by the time of the last tick: the process may have been
 * paused since, and the permission to start tasks may have run out. */
static bool has_authority(const struct cell *c)
{
	return c->ops->now(c->ctx) < c->authority_until_ms;
}

static void intent_push(struct cell *c, struct cell_task *t)
{
	t->in_intents = true;
	t->storing_intent = false;
	t->next_intent = c->intents;
	c->intents = t;
}

/*
 * The next owner learns only from the store that a task may run, and where. A
 * start is therefore sent once its intent, which names the worker, is stored.
 */
void cell_task_place(struct cell *c, struct cell_task *t, struct cell_worker *w)
{
	if (place_plan_exists(&w->plan))
		cell_plan_started(c, t, w);
	task_attach(c, t, w);
	t->state = TASK_STORING;
	t->ordered = true;
	cell_job_mark_dirty(c, t->step->job);
	if (!t->in_intents)
		intent_push(c, t);
}

void cell_task_withdraw(struct cell *c, struct cell_task *t)
{
	struct cell_step *st = t->step;
	uint32_t i;

	if (!step_has_flag(st, STEP_GANG)) {
		task_detach(c, t);
		return;
	}
	for (i = 0; i < st->spec->count; i++)
		if (st->tasks[i].state == TASK_STORING)
			task_detach(c, &st->tasks[i]);
}

static bool is_intent_stored(const struct cell_task *t)
{
	return t->storing_intent && t->storing_worker == t->worker->id;
}

static bool may_start(struct cell *c, const struct cell_task *t)
{
	const struct cell_worker *w = t->worker;

	return cell_quota_may_start(t) && !cell_late_holds(c, t) &&
	       has_authority(c) && !w->missed_polls && w->stored &&
	       !w->lease_frozen && !w->entry.draining &&
	       c->ops->zone_open(c->ctx, w->entry.zone);
}

/* A member that starts without the others would wait for them in vain. */
static bool may_start_with_gang(struct cell *c, const struct cell_task *t)
{
	const struct cell_step *st = t->step;
	uint32_t i;

	if (!step_has_flag(st, STEP_GANG))
		return may_start(c, t);
	for (i = 0; i < st->spec->count; i++)
		if (st->tasks[i].state == TASK_STORING &&
		    (!is_intent_stored(&st->tasks[i]) ||
		     !may_start(c, &st->tasks[i])))
			return false;
	return true;
}

static size_t count_to_start(const struct cell_task *t)
{
	const struct cell_step *st = t->step;
	size_t n = 0;
	uint32_t i;

	if (!step_has_flag(st, STEP_GANG))
		return 1;
	for (i = 0; i < st->spec->count; i++)
		n += st->tasks[i].state == TASK_STORING;
	return n;
}

/*
 * A restart of a worker that runs nothing shows only with its next answer. The
 * start would reach the new process with a deadline on the former clock, and
 * hold a longer lease than the owner counts. By the clock and not by the last
 * tick: the process may have been paused since.
 */
static bool has_answered_of_late(const struct cell *c,
				 const struct cell_worker *w)
{
	return cell_worker_has_runs(w) ||
	       c->ops->now(c->ctx) - w->answered_ms < WORKER_RESTART_MIN_MS;
}

static void start_stored_task(struct cell *c, struct cell_task *t)
{
	if (!step_has_flag(t->step, STEP_GANG) &&
	    !has_answered_of_late(c, t->worker)) {
		t->start_held = true;
		t->worker->poll_due_ms = c->now_ms;
		return;
	}
	if (!cell_late_has_room(c, count_to_start(t)))
		c->counts.starts_held_back++;
	else if (may_start_with_gang(c, t)) {
		send_start(c, t);
		return;
	}
	cell_task_withdraw(c, t);
}

void cell_task_start_held(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;

	for (t = w->first_task; t; t = next) {
		next = t->next;
		if (!t->start_held || t->state != TASK_STORING)
			continue;
		t->start_held = false;
		cell_quota_refresh(c);
		start_stored_task(c, t);
	}
}

void cell_task_withdraw_held(struct cell *c, struct cell_worker *w)
{
	struct cell_task *t, *next;

	for (t = w->first_task; t; t = next) {
		next = t->next;
		if (t->start_held && t->state == TASK_STORING)
			cell_task_withdraw(c, t);
	}
}

void cell_start_stored(struct cell *c)
{
	struct cell_task *t = c->intents, *next;

	c->intents = NULL;
	cell_quota_refresh(c);
	for (; t; t = next) {
		next = t->next_intent;
		t->in_intents = false;
		if (t->state != TASK_STORING)
			continue;
		if (is_intent_stored(t))
			start_stored_task(c, t);
		else
			intent_push(c, t);
	}
}

static void on_stop(void *ctx, const struct worker_addr *w,
		    const struct task_ref *ref, const struct order_reply *r)
{
	struct cell *c = ctx;
	struct cell_task *t = order_finish(c, w, ref, r);

	if (!t || t->state != TASK_STOPPING)
		return;
	/* A stop has been sent to the new process since. */
	if (w->born != t->worker->entry.born)
		return;
	t->worker->poll_due_ms = c->now_ms;
	if (r->status == ORDER_OK)
		t->stop_confirmed_ms = c->now_ms;
	else if (r->status == ORDER_RESTARTED &&
		 cell_worker_has_address(t->worker, w))
		cell_worker_crashed(c, t->worker);
}

static void send_stop(struct cell *c, struct cell_task *t)
{
	struct order o;

	order_init(c, t, &o);
	t->stop_sent_ms = c->now_ms;
	cell_call_begin(c);
	c->worker_ops->stop(c->port, &t->worker->entry.addr, &o, on_stop, c);
}

void cell_task_stop(struct cell *c, struct cell_task *t)
{
	if (!t->worker)
		return;
	if (t->state == TASK_STORING) {
		task_detach(c, t);
		return;
	}
	if (t->state == TASK_STOPPING &&
	    (t->stop_confirmed_ms ||
	     c->now_ms - t->stop_sent_ms < STOP_RETRY_MS))
		return;
	if (t->state != TASK_STOPPING)
		t->worker->stopping++;
	t->state = TASK_STOPPING;
	send_stop(c, t);
}

static void on_orphan_stopped(void *ctx, const struct worker_addr *w,
			      const struct task_ref *ref,
			      const struct order_reply *r)
{
	(void)ref;
	order_end(ctx, w, r);
}

void cell_stop_orphan(struct cell *c, struct cell_worker *w,
		      const struct task_ref *ref)
{
	struct order o = {0};

	o.ref = *ref;
	o.fence = cell_worker_fence(c, w);
	log_line(LOG_INFO, "stopping a run that the cell has not placed",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s",
		 ref->job, ref->step, ref->index, ref->run, w->entry.addr.id);
	cell_call_begin(c);
	c->worker_ops->stop(c->port, &w->entry.addr, &o, on_orphan_stopped, c);
}

void cell_task_mark_lost(struct cell *c, struct cell_task *t)
{
	if (!t->worker)
		return;
	log_line(LOG_INFO, "run marked lost",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s "
		 "answered_ms_ago=%lld checkpoint=%d",
		 t->step->job->spec->id, t->step->number, t->index, t->run,
		 t->worker->entry.addr.id,
		 (long long)(c->now_ms - t->worker->answered_ms),
		 t->checkpoint[0] != 0);
	cell_task_end_run(c, t, RUN_EXPIRED, NULL);
}

void cell_task_confirm(struct cell *c, struct cell_task *t)
{
	if (t->state == TASK_STARTING)
		mark_running(c, t);
}

void cell_task_adopt(struct cell *c, struct cell_task *t, struct cell_worker *w,
		     uint32_t run)
{
	if (t->doubt_ref != cell_worker_ref(w))
		cell_job_mark_dirty(c, t->step->job);
	task_attach(c, t, w);
	t->ordered = true;
	t->run = run;
	if (run > t->last_run)
		t->last_run = run;
	t->pace_sent = PACE_UNKNOWN;
	/* It may have been over its target for long under the former owner. */
	t->over_since_ms = c->now_ms - c->opt.violation_ms;
	t->unproven_since_ms = t->over_since_ms;
	mark_running(c, t);
}

static void on_pace(void *ctx, const struct worker_addr *w,
		    const struct task_ref *ref, const struct order_reply *r)
{
	struct cell *c = ctx;
	struct cell_task *t = order_finish(c, w, ref, r);

	if (!t)
		return;
	t->pace_in_flight = false;
	t->paced_ms = c->now_ms;
	/* The worker may not have received the order: the next call of
	 * cell_task_set_pace() sends it again. */
	if (r->status != ORDER_OK)
		t->pace_sent = PACE_UNKNOWN;
	else
		cell_task_set_pace(c, t, t->pace);
}

/* Orders may overtake each other, so one is in flight at a time. */
void cell_task_set_pace(struct cell *c, struct cell_task *t, uint8_t percent)
{
	struct order o;

	t->pace = percent;
	t->is_timed &= percent == PACE_FULL;
	if (t->pace_in_flight || t->pace_sent == percent ||
	    t->state != TASK_RUNNING)
		return;
	order_init(c, t, &o);
	o.speed_percent = percent;
	t->pace_sent = percent;
	t->pace_in_flight = true;
	c->counts.paces++;
	cell_call_begin(c);
	c->worker_ops->throttle(c->port, &t->worker->entry.addr, &o, on_pace,
				c);
}
