#include "core/sched_internal.h"

#include <inttypes.h>

/* Epoch sent when fencing is switched off; every worker accepts it. */
#define EPOCH_ANY UINT64_MAX

static uint64_t order_epoch(const struct sched *s, const struct shard *sh)
{
	return sched_has_protection(s, PROTECT_FENCE) ? sh->claim.epoch
						      : EPOCH_ANY;
}

/*
 * Estimates the worker's clock at a local time. The estimate is never ahead of
 * that clock, because the newest sample was taken before it arrived here.
 */
static uint64_t worker_clock_at(const struct worker *w, int64_t local_ms)
{
	int64_t at = (int64_t)w->clock_ms + local_ms - w->clock_recv_ms;

	return at > 0 ? (uint64_t)at : 0;
}

static void order_init(const struct sched *s, const struct shard *sh,
		       const struct worker *w, struct msg *m)
{
	m->rack = sh->id;
	m->epoch = order_epoch(s, sh);
	m->worker = w->id;
	m->not_after_ms = worker_clock_at(w, s->now_ms + SCHED_ORDER_VALID_MS);
}

void sched_order_start(struct sched *s, struct shard *sh, struct commitment *c)
{
	struct worker *w = c->worker;
	int64_t until = sched_fresh_until(s);
	struct msg m = c->start;

	order_init(s, sh, w, &m);
	m.kind = MSG_WORKER_START;
	m.shard = c->shard;
	if (until > s->now_ms + SCHED_ORDER_VALID_MS)
		until = s->now_ms + SCHED_ORDER_VALID_MS;
	m.not_after_ms = worker_clock_at(w, until);
	if (!sched_has_protection(s, PROTECT_FRESH_READ))
		m.not_after_ms = UINT64_MAX;
	w->renewed_ms = s->now_ms;
	c->due_ms = s->now_ms + SCHED_RESEND_MS;
	/* The first renewal is due within a third of the lease. */
	if (w->due_ms > s->now_ms + c->lease_ms / 3)
		w->due_ms = s->now_ms + c->lease_ms / 3;
	sched_send(s, w->id, &m);
}

void sched_order_stop(struct sched *s, struct shard *sh, struct worker *w,
		      const struct stop_order *o)
{
	struct msg m = {0};

	order_init(s, sh, w, &m);
	m.kind = MSG_WORKER_STOP;
	m.shard = o->shard;
	m.job = o->job;
	m.attempt = o->attempt;
	sched_send(s, w->id, &m);
}

void sched_stop_commitment(struct sched *s, struct shard *sh,
			   const struct commitment *c)
{
	struct stop_order o = {c->shard, c->job, c->attempt};

	sched_order_stop(s, sh, c->worker, &o);
}

void sched_report_commitment(struct sched *s, struct commitment *c)
{
	struct shard *sh = sched_shard(s, c->shard), *rack;
	struct msg m = {0};

	c->due_ms = s->now_ms + SCHED_RESEND_MS;
	if (!sh)
		return;
	m.kind = MSG_TASK;
	m.shard = c->shard;
	m.rack = c->worker->rack;
	rack = sched_shard(s, m.rack);
	m.epoch = rack ? rack->claim.epoch : 0;
	m.job = c->job;
	m.attempt = c->attempt;
	m.worker = c->worker->id;
	m.state = c->task_state;
	m.progress = c->progress;
	m.cpu_ms = c->cpu_ms;
	m.result = c->result;
	sched_send(s, sched_shard_host(s, sh), &m);
}

static void update_failures(struct sched *s, struct worker *w,
			    const struct commitment *c)
{
	if (c->task_state == TASK_FINISHED) {
		w->failures = 0;
		w->quarantine_until_ms = 0;
		return;
	}
	if (c->task_state != TASK_FAILED || w->failed_job == c->job)
		return;
	w->failed_job = c->job;
	if (++w->failures < SCHED_WORKER_FAILURES)
		return;
	w->quarantine_until_ms = s->now_ms + SCHED_QUARANTINE_MS;
	sched_event(s, "quarantine", 0, 0, "%s", w->name);
}

static void end_and_report(struct sched *s, struct commitment *c,
			   uint32_t state)
{
	bool was_over = c->state == COMMIT_OVER;

	commitment_end(c, state);
	if (!was_over)
		update_failures(s, c->worker, c);
	sched_report_commitment(s, c);
}

static void apply_status(struct sched *s, struct worker *w,
			 const struct task_status *t)
{
	struct commitment *c =
		worker_table_commitment(&s->workers, t->job, t->attempt);
	bool started;

	if (!c && !sched_has_protection(s, PROTECT_INVENTORY))
		return;
	if (!c) {
		c = worker_adopt(&s->workers, w, t);
		c->lease_ms = t->lease_ms;
		sched_report_commitment(s, c);
		return;
	}
	if (c->state == COMMIT_OVER || c->worker != w)
		return;
	c->progress = t->progress > c->progress ? t->progress : c->progress;
	c->cpu_ms = t->cpu_ms;
	if (task_state_is_terminal(t->state)) {
		commitment_set_result(c, t->result);
		end_and_report(s, c, t->state);
		return;
	}
	started = c->state == COMMIT_STARTING;
	c->state = COMMIT_RUNNING;
	c->task_state = TASK_RUNNING;
	if (started)
		sched_report_commitment(s, c);
}

static void end_all_as_gone(struct sched *s, struct worker *w)
{
	struct commitment *c;

	CK_LIST_FOREACH (c, &w->commitments, link) {
		if (c->state == COMMIT_STARTING || c->state == COMMIT_RUNNING)
			end_and_report(s, c, TASK_GONE);
	}
}

static void drop_reservations(struct sched *s, struct worker *w)
{
	struct commitment *c = CK_LIST_FIRST(&w->commitments);

	while (c) {
		struct commitment *next = CK_LIST_NEXT(c, link);

		if (c->state == COMMIT_RESERVED)
			commitment_drop(&s->workers, c);
		c = next;
	}
}

static void update_from_reply(struct sched *s, struct worker *w,
			      const struct msg *m)
{
	w->last_reply_ms = s->now_ms;
	/* A delayed reply has an older clock; the newer sample is kept. */
	if (m->worker_clock_ms >= w->clock_ms || m->boot != w->boot) {
		w->clock_ms = m->worker_clock_ms;
		w->clock_recv_ms = s->now_ms;
	}
	w->leaving_reported = m->leaving;
}

void sched_on_inventory(struct sched *s, const struct msg *m)
{
	struct worker *w = worker_table_get(&s->workers, m->from);
	const struct task_status *t = m->tasks.items;
	struct shard *sh = w ? sched_shard(s, w->rack) : NULL;
	size_t i;

	if (!sh || sh->state != SHARD_OWNED)
		return;
	if (m->epoch != order_epoch(s, sh)) {
		/* The worker has restarted, or another owner has fenced it. */
		if (m->epoch > order_epoch(s, sh))
			stream_schedule_read(sh->stream, s->now_ms);
		w->fenced = false;
		w->due_ms = w->due_ms ? w->due_ms : s->now_ms;
		return;
	}
	update_from_reply(s, w, m);
	if (w->boot && w->boot != m->boot) {
		end_all_as_gone(s, w);
		drop_reservations(s, w);
	}
	w->boot = m->boot;
	w->capacity = m->res;
	if (!w->fenced)
		sched_event(s, "worker_fenced", 0, 0, "%s epoch %" PRIu64,
			    w->name, m->epoch);
	w->fenced = true;
	w->renew_ms = w->renew_ms ? w->renew_ms : SCHED_RENEW_MAX_MS;
	for (i = 0; i < m->tasks.count; i++)
		apply_status(s, w, &t[i]);
	if (m->full)
		sched_observe_interference(s, sh, w, m);
}

/*
 * Forwards to the job owner that the worker never started an attempt of which
 * this rack owner has no record. The worker's report proves it.
 */
static void forward_not_started(struct sched *s, const struct msg *m)
{
	struct msg out = *m;
	struct shard *sh = sched_shard(s, m->shard);

	out.kind = MSG_TASK;
	out.worker = m->from;
	if (sh)
		sched_send(s, sched_shard_host(s, sh), &out);
}

void sched_on_worker_task(struct sched *s, const struct msg *m)
{
	struct worker *w = worker_table_get(&s->workers, m->from);
	struct shard *sh = w ? sched_shard(s, w->rack) : NULL;
	struct commitment *c;
	struct task_status t = {0};

	if (!sh || sh->state != SHARD_OWNED || !w->fenced || m->boot != w->boot)
		return;
	if (m->epoch != order_epoch(s, sh)) {
		w->fenced = false;
		return;
	}
	update_from_reply(s, w, m);
	c = worker_table_commitment(&s->workers, m->job, m->attempt);
	if (m->state == TASK_REFUSED) {
		sched_count(s, COUNTER_STALE_ORDERS, 1);
		return; /* resent when due, if the task may still start */
	}
	if (!c && m->state == TASK_NOT_STARTED) {
		forward_not_started(s, m);
		return;
	}
	t.job = m->job;
	t.attempt = m->attempt;
	t.shard = m->shard;
	t.state = m->state;
	t.progress = m->progress;
	t.cpu_ms = m->cpu_ms;
	t.movable = m->movable;
	t.keep = m->keep;
	t.urgency = m->urgency;
	t.lease_ms = (uint32_t)m->lease_ms;
	t.service = service_id(m->service);
	t.res = m->res;
	t.result = m->result;
	apply_status(s, w, &t);
}

/* Ticks */

static void tick_commitment(struct sched *s, struct shard *sh,
			    struct commitment *c)
{
	struct worker *w = c->worker;

	if (c->state == COMMIT_RESERVED) {
		if (s->now_ms - c->since_ms >= SCHED_RESERVE_TTL_MS)
			commitment_drop(&s->workers, c);
		return;
	}
	if (c->state != COMMIT_OVER && !w->fenced && w->renewed_ms &&
	    s->now_ms >= w->renewed_ms + SCHED_ORDER_VALID_MS + c->lease_ms +
				 SCHED_LEASE_MARGIN_MS) {
		end_and_report(s, c, TASK_LOST);
		return;
	}
	if (s->now_ms < c->due_ms)
		return;
	if (c->state == COMMIT_OVER)
		sched_report_commitment(s, c);
	else if (!w->fenced)
		return;
	else if (c->stop_requested)
		sched_stop_commitment(s, sh, c);
	else if (c->state == COMMIT_STARTING && sched_can_start(s) &&
		 !config_is_zone_out(&s->config, sh->zone))
		sched_order_start(s, sh, c);
	if (c->state != COMMIT_OVER)
		c->due_ms = s->now_ms + SCHED_RESEND_MS;
}

static void send_fence(struct sched *s, struct shard *sh, struct worker *w)
{
	struct msg m = {0};

	order_init(s, sh, w, &m);
	m.kind = MSG_FENCE;
	w->due_ms = s->now_ms + SCHED_FENCE_RETRY_MS;
	sched_send(s, w->id, &m);
}

/* Returns a third of the shortest lease on the worker, within the bounds. */
static int64_t renew_interval_ms(const struct worker *w)
{
	int64_t ms = SCHED_RENEW_MAX_MS;
	const struct commitment *c;

	CK_LIST_FOREACH (c, &w->commitments, link) {
		if (c->state != COMMIT_OVER && c->lease_ms &&
		    c->lease_ms / 3 < ms)
			ms = c->lease_ms / 3;
	}
	return ms < SCHED_RENEW_MIN_MS ? SCHED_RENEW_MIN_MS : ms;
}

/*
 * True when the worker has sent no reply for two renewal intervals and the time
 * that a reply takes.
 */
static bool is_unreachable(const struct sched *s, const struct worker *w)
{
	return s->now_ms - w->last_reply_ms >=
	       w->renew_ms * 2 + SCHED_RENEW_MIN_MS;
}

/*
 * True when the claims cannot be read and a schedd that may claim the rack is
 * unreachable. That schedd may have claimed the rack and be waiting for the
 * renewals to end. In a zone that is cut off as a whole, the schedds still
 * reach each other, so this is false. A rack of another zone may be claimed by
 * schedds of that zone that have never been in contact.
 */
static bool is_isolated(const struct sched *s, const struct shard *sh)
{
	size_t i;

	if (s->now_ms - sched_claims_fresh_ms(s) <= SCHED_RENEW_STALENESS_MS)
		return false;
	if (strcmp(sh->zone, s->opts.zone))
		return true;
	for (i = 0; i < s->peer_count; i++) {
		const struct peer *p = s->peers[i];

		if (!strcmp(p->zone, s->opts.zone) && !p->draining &&
		    s->now_ms - p->last_contact_ms >= SCHED_ISOLATION_MS)
			return true;
	}
	return false;
}

static void send_renew(struct sched *s, struct shard *sh, struct worker *w)
{
	struct msg m = {0};

	order_init(s, sh, w, &m);
	m.kind = MSG_RENEW;
	m.keep_only = s->now_ms - s->config_stream.fresh_ms >
		      SCHED_RENEW_STALENESS_MS;
	w->renewed_ms = s->now_ms;
	w->renew_ms = renew_interval_ms(w);
	w->due_ms = s->now_ms + w->renew_ms;
	m.full = s->now_ms - w->full_inventory_ms >= SCHED_FULL_RENEW_MS;
	if (m.full)
		w->full_inventory_ms = s->now_ms;
	sched_send(s, w->id, &m);
}

void sched_worker_tick(struct sched *s, struct shard *sh, struct worker *w)
{
	struct commitment *c = CK_LIST_FIRST(&w->commitments);

	if (w->tasks_changed) {
		w->tasks_changed = false;
		w->changed_ms = s->now_ms;
	}
	if (w->fenced && is_unreachable(s, w)) {
		w->fenced = false;
		drop_reservations(s, w);
		sched_event(s, "worker_silent", 0, 0, "%s", w->name);
		c = CK_LIST_FIRST(&w->commitments);
	}
	while (c) {
		struct commitment *next = CK_LIST_NEXT(c, link);

		tick_commitment(s, sh, c);
		c = next;
	}
	if (s->now_ms < w->due_ms)
		return;
	if (w->fenced && !is_isolated(s, sh))
		send_renew(s, sh, w);
	else
		send_fence(s, sh, w);
}
