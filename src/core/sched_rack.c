#include "core/sched_internal.h"

#include <errno.h>
#include <stdlib.h>

#define RACK_WORKERS_MAX 256
#define VICTIMS_MAX 16
/* Maximum number of tasks that one rack evacuates in one tick. */
#define EVACUATE_BATCH 8

void sched_rack_acquired(struct sched *s, struct shard *sh)
{
	struct worker *w;

	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		worker_reset(&s->workers, w);
		w->due_ms = s->now_ms;
		w->last_reply_ms = s->now_ms;
	}
}

bool sched_worker_is_usable(const struct sched *s, const struct worker *w)
{
	if (!w->fenced || w->leaving_listed || w->leaving_reported)
		return false;
	/* A quarantined worker runs one task at a time, as a probe. */
	return s->now_ms >= w->quarantine_until_ms || !w->tasks;
}

void sched_rack_free_capacity(const struct sched *s, const struct shard *sh,
			      struct owned_shard *o)
{
	const struct worker *w;

	if (s->draining || config_is_zone_out(&s->config, sh->zone))
		return;
	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		struct resources f;

		if (!sched_worker_is_usable(s, w))
			continue;
		f = worker_free_capacity(w);
		if (!f.slots)
			continue;
		if (f.cpu_milli > o->cpu_milli)
			o->cpu_milli = f.cpu_milli;
		if (f.mem_mb > o->mem_mb)
			o->mem_mb = f.mem_mb;
		if (f.accel > o->accel)
			o->accel = f.accel;
		o->slots += f.slots;
	}
}

/* True when a new task may be placed on this rack now. */
static bool rack_can_accept(const struct sched *s, const struct shard *sh)
{
	return sh && sh->kind == SHARD_RACK && sh->state == SHARD_OWNED &&
	       !s->draining && sched_can_start(s) &&
	       !config_is_zone_out(&s->config, sh->zone);
}

static struct worker *pick_worker(struct sched *s, const struct shard *sh,
				  const struct msg *m)
{
	struct candidate c[RACK_WORKERS_MAX];
	struct worker *workers[RACK_WORKERS_MAX], *w;
	size_t n = 0;
	int best;

	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		if (!sched_worker_is_usable(s, w) || n == RACK_WORKERS_MAX ||
		    w->id == m->worker)
			continue;
		if (s->now_ms < w->hold_until_ms &&
		    m->urgency < w->hold_urgency)
			continue;
		memset(&c[n], 0, sizeof(c[n]));
		c[n].free = worker_free_capacity(w);
		c[n].capacity = w->capacity;
		c[n].tasks = w->tasks;
		c[n].interference =
			sched_interference_cost(s, w, service_id(m->service));
		workers[n++] = w;
	}
	best = placement_pick(&placement_best, c, n, &m->res, &s->rng);
	return best < 0 ? NULL : workers[best];
}

void sched_on_reserve(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->rack);
	struct msg out = {0};
	struct commitment *c = NULL;
	struct worker *w;

	out.kind = MSG_RESERVED;
	out.corr = m->corr;
	out.rack = m->rack;
	out.shard = m->shard;
	out.job = m->job;
	out.state = TASK_REFUSED;
	if (rack_can_accept(s, sh)) {
		c = worker_table_commitment(&s->workers, m->job, m->attempt);
		w = c ? c->worker : pick_worker(s, sh, m);
		if (!c && w)
			c = worker_commit(&s->workers, w, m->job, m->attempt,
					  &m->res);
	}
	if (c && c->state == COMMIT_RESERVED) {
		c->since_ms = s->now_ms;
		c->urgency = m->urgency;
		out.state = TASK_NONE;
		out.worker = c->worker->id;
		out.boot = c->worker->boot;
	}
	sched_send(s, m->from, &out);
}

static void send_task_state(struct sched *s, const struct msg *m,
			    uint32_t state)
{
	struct msg out = {0};

	out.kind = MSG_TASK;
	out.shard = m->shard;
	out.rack = m->rack;
	out.job = m->job;
	out.attempt = m->attempt;
	out.worker = m->worker;
	out.state = state;
	out.progress = m->progress;
	sched_send(s, m->from, &out);
}

void sched_on_start(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->rack);
	struct commitment *c;
	struct worker *w;

	if (!sh || sh->kind != SHARD_RACK || sh->state != SHARD_OWNED)
		return;
	c = worker_table_commitment(&s->workers, m->job, m->attempt);
	if (c && c->state != COMMIT_RESERVED) {
		c->shard = m->shard;
		if (c->state != COMMIT_STARTING)
			sched_report_commitment(s, c);
		return;
	}
	w = worker_table_get(&s->workers, m->worker);
	if (!w || !w->fenced)
		return; /* the job owner resends until the worker is fenced */
	if (!rack_can_accept(s, sh) || w->boot != m->boot ||
	    w->leaving_listed || w->leaving_reported) {
		send_task_state(s, m, TASK_REFUSED);
		return;
	}
	if (!c)
		c = worker_commit(&s->workers, w, m->job, m->attempt, &m->res);
	if (!c || c->worker != w) {
		send_task_state(s, m, TASK_REFUSED);
		return;
	}
	commitment_set_start(c, m);
	c->state = COMMIT_STARTING;
	c->shard = m->shard;
	c->service = service_id(m->service);
	c->urgency = m->urgency;
	c->movable = m->movable;
	c->keep = m->keep;
	c->progress = m->progress;
	c->lease_ms = m->lease_ms;
	c->since_ms = s->now_ms;
	sched_count(s, COUNTER_STARTS, 1);
	sched_order_start(s, sh, c);
}

/*
 * True when the previous owner has certainly stopped renewing leases: there
 * was none, it released the rack, or its process has ended, as it ran on this
 * host or its host has another incarnation now.
 */
static bool is_previous_owner_gone(const struct sched *s, const struct claim *c)
{
	const struct peer *p;

	if (!c->previous_owner || c->previous_host == s->host_id)
		return true;
	if (c->previous_owner == CLAIM_OWNER_UNKNOWN)
		return false;
	p = index_get(&s->peer_by_id, c->previous_host);
	return p && p->incarnation != c->previous_owner;
}

/*
 * Latest time at which the previous owner may have sent a renewal, if it can
 * neither read the log nor reach this schedd. For services that keep their
 * tasks it follows from is_isolated(): an owner of another zone than the rack's
 * stops renewing like for all services, and an owner of the rack's zone does so
 * when it misses a schedd of that zone that it has been in contact with. For
 * any other there is no bound for such services.
 */
static int64_t last_renewal_ms(const struct sched *s, const struct shard *sh,
			       bool keep)
{
	const struct peer *p;

	if (is_previous_owner_gone(s, &sh->claim))
		return sh->owned_ms;
	if (!keep)
		return sh->owned_ms + SCHED_RENEW_STALENESS_MS;
	p = sched_peer_of_owner(s, sh->claim.previous_owner);
	if (p && strcmp(p->zone, sh->zone))
		return sh->owned_ms + SCHED_RENEW_STALENESS_MS;
	if (p && !strcmp(p->zone, s->opts.zone))
		return sh->owned_ms + SCHED_RENEW_STALENESS_MS +
		       SCHED_ISOLATION_MS;
	return INT64_MAX / 2;
}

/*
 * Time at which the last lease on an unreachable worker has expired. @w is NULL
 * when the worker is not known.
 */
static int64_t lease_expiry_ms(const struct sched *s, const struct shard *sh,
			       const struct worker *w, int64_t lease_ms,
			       bool keep)
{
	int64_t base = w ? w->renewed_ms : 0;

	if (!base || base < sh->owned_ms)
		base = last_renewal_ms(s, sh, keep);
	return base + SCHED_ORDER_VALID_MS + lease_ms + SCHED_LEASE_MARGIN_MS;
}

void sched_on_stop(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->rack);
	struct stop_order o = {m->shard, m->job, m->attempt};
	struct commitment *c;
	struct worker *w;

	if (!sh || sh->kind != SHARD_RACK || sh->state != SHARD_OWNED)
		return;
	c = worker_table_commitment(&s->workers, m->job, m->attempt);
	w = worker_table_get(&s->workers, m->worker);
	if (c) {
		c->shard = m->shard;
		c->stop_requested = true;
		if (c->state == COMMIT_OVER) {
			sched_report_commitment(s, c);
			return;
		}
	}
	if (w && w->fenced && w->boot == m->boot) {
		sched_order_stop(s, sh, w, &o);
		return;
	}
	if (w && w->fenced) {
		send_task_state(s, m, TASK_GONE);
		return;
	}
	if (!c && s->now_ms >= lease_expiry_ms(s, sh, w, m->lease_ms, m->keep))
		send_task_state(s, m, TASK_LOST);
}

void sched_on_verify(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->rack);
	struct commitment *c;

	if (!sh || sh->kind != SHARD_RACK || sh->state != SHARD_OWNED)
		return;
	c = worker_table_commitment(&s->workers, m->job, m->attempt);
	if (c && c->state != COMMIT_RESERVED) {
		c->shard = m->shard;
		sched_report_commitment(s, c);
		return;
	}
	/* The attempt is not known here: stopping it proves its outcome. */
	sched_on_stop(s, m);
}

/* Preemption */

static bool may_displace(const struct service_doc *doc,
			 const struct commitment *c)
{
	size_t i;

	if (c->state != COMMIT_RUNNING || c->stop_requested || !c->movable ||
	    c->displaced || c->urgency >= doc->urgency)
		return false;
	for (i = 0; i < doc->displace_count; i++)
		if (service_id(doc->displaces[i]) == c->service)
			return true;
	return false;
}

/*
 * Picks the tasks of one worker to preempt, those with the least progress
 * first. Returns their number; 0 when no preemption is needed or not enough
 * capacity can be freed.
 */
static size_t pick_victims(const struct worker *w,
			   const struct service_doc *doc,
			   struct commitment **out)
{
	struct resources free_res = worker_free_capacity(w);
	struct commitment *c, *best;
	size_t n = 0, i;

	while (!resources_fit(&doc->res, &free_res) && n < VICTIMS_MAX) {
		best = NULL;
		CK_LIST_FOREACH (c, &w->commitments, link) {
			for (i = 0; i < n && out[i] != c; i++)
				;
			if (i < n || !may_displace(doc, c))
				continue;
			if (!best || c->progress < best->progress)
				best = c;
		}
		if (!best)
			return 0;
		out[n++] = best;
		resources_add(&free_res, &best->res);
	}
	return n;
}

void sched_on_displace(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->rack);
	const struct service_doc *doc = sched_service(s, m->service);
	struct commitment *victims[VICTIMS_MAX], *chosen[VICTIMS_MAX];
	struct worker *w, *best = NULL;
	size_t i, n, best_count = 0;

	if (!rack_can_accept(s, sh) || !doc || s->eviction_tokens_milli < 1000)
		return;
	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		if (!sched_worker_is_usable(s, w) ||
		    s->now_ms < w->hold_until_ms)
			continue;
		n = pick_victims(w, doc, victims);
		if (!n || (best && n >= best_count))
			continue;
		best = w;
		best_count = n;
		memcpy(chosen, victims, n * sizeof(*victims));
	}
	for (i = 0; i < best_count; i++) {
		chosen[i]->stop_requested = true;
		chosen[i]->displaced = true;
		s->eviction_tokens_milli -= 1000;
		sched_count(s, COUNTER_EVICTIONS, 1);
		sched_event(s, "displaced", chosen[i]->job, chosen[i]->attempt,
			    "for %s", m->service);
		sched_stop_commitment(s, sh, chosen[i]);
	}
	if (best) {
		best->hold_urgency = doc->urgency;
		best->hold_until_ms = s->now_ms + SCHED_HOLD_MS;
	}
}

void sched_on_forget(struct sched *s, const struct msg *m)
{
	struct commitment *c =
		worker_table_commitment(&s->workers, m->job, m->attempt);
	struct shard *sh = sched_shard(s, m->rack);
	struct msg out = {0};

	if (!c || c->state != COMMIT_OVER || !sh || sh->state != SHARD_OWNED)
		return;
	out.kind = MSG_WORKER_FORGET;
	out.epoch = sh->claim.epoch;
	out.job = m->job;
	out.attempt = m->attempt;
	sched_send(s, c->worker->id, &out);
	commitment_drop(&s->workers, c);
}

/*
 * Stops the movable tasks of a zone that was taken out of service. Their job
 * owners place them elsewhere.
 */
static void evacuate_tasks(struct sched *s, struct shard *sh)
{
	struct commitment *c;
	struct worker *w;
	int n = 0;

	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		if (!w->fenced)
			continue;
		CK_LIST_FOREACH (c, &w->commitments, link) {
			if (c->state != COMMIT_RUNNING || !c->movable ||
			    c->stop_requested)
				continue;
			c->stop_requested = true;
			sched_count(s, COUNTER_ZONE_MOVES, 1);
			sched_event(s, "moved", c->job, c->attempt,
				    "zone %s is out", sh->zone);
			sched_stop_commitment(s, sh, c);
			if (++n == EVACUATE_BATCH)
				return;
		}
	}
}

void sched_rack_tick(struct sched *s, struct shard *sh)
{
	struct worker *w;

	if (config_is_zone_out(&s->config, sh->zone))
		evacuate_tasks(s, sh);
	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		sched_worker_tick(s, sh, w);
	}
}
