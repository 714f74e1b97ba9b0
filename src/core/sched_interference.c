#include "core/sched_internal.h"

/* Speed of a throttled task, in percent. */
#define THROTTLED_SPEED 30
#define FULL_SPEED 100

/* Limits on the slowdown of the latency-critical tasks of a worker. */
static const struct response_limits limits = {
	.upper = 1.30,
	.lower = 1.15,
	.count = 2,
};

static const struct service_doc *service_by_id(const struct sched *s,
					       uint64_t service)
{
	const struct document *d = index_get(&s->config.by_id, service);

	return d && d->kind == DOCUMENT_SERVICE ? &d->service : NULL;
}

static size_t collect_neighbours(const struct worker *w,
				 const struct commitment *excluded,
				 struct neighbour *out)
{
	const struct commitment *c;
	size_t n = 0;

	CK_LIST_FOREACH (c, &w->commitments, link) {
		if (c == excluded || c->state == COMMIT_OVER ||
		    n == INTERFERENCE_NEIGHBOURS_MAX)
			continue;
		out[n].service = c->service;
		out[n++].load = c->throttled ? THROTTLED_SPEED / 100.0 : 1.0;
	}
	return n;
}

double sched_interference_cost(const struct sched *s, const struct worker *w,
			       uint64_t service)
{
	struct neighbour n[INTERFERENCE_NEIGHBOURS_MAX];
	size_t count = collect_neighbours(w, NULL, n);

	return interference_cost(&s->interference, s->now_ms, service, n,
				 count);
}

static void send_throttle(struct sched *s, struct shard *sh,
			  struct commitment *c, uint32_t speed)
{
	struct msg m = {0};

	c->throttled = speed < FULL_SPEED;
	m.kind = MSG_WORKER_THROTTLE;
	m.rack = sh->id;
	m.epoch = sh->claim.epoch;
	m.job = c->job;
	m.attempt = c->attempt;
	m.speed = speed;
	sched_send(s, c->worker->id, &m);
}

/*
 * Returns the movable batch task with the largest estimated slowdown of the
 * latency-critical tasks on its worker, or NULL when none has a positive one.
 */
static struct commitment *find_interfering_task(const struct sched *s,
						const struct worker *w)
{
	const struct commitment *critical;
	struct commitment *c, *worst = NULL;
	const struct service_doc *doc;
	double max_slowdown = 0.0;

	CK_LIST_FOREACH (c, &w->commitments, link) {
		double slowdown = 0.0;

		doc = service_by_id(s, c->service);
		if (c->state != COMMIT_RUNNING || c->stop_requested ||
		    !c->movable || !doc || doc->latency_critical)
			continue;
		CK_LIST_FOREACH (critical, &w->commitments, link) {
			doc = service_by_id(s, critical->service);
			if (critical->state == COMMIT_RUNNING && doc &&
			    doc->latency_critical)
				slowdown +=
					interference_effect(&s->interference,
							    s->now_ms,
							    critical->service,
							    c->service);
		}
		if (slowdown > max_slowdown) {
			max_slowdown = slowdown;
			worst = c;
		}
	}
	return worst;
}

static void evict(struct sched *s, struct shard *sh, struct commitment *c)
{
	if (s->eviction_tokens_milli < 1000)
		return;
	s->eviction_tokens_milli -= 1000;
	c->stop_requested = true;
	sched_count(s, COUNTER_EVICTIONS, 1);
	sched_event(s, "evicted", c->job, c->attempt, "disturbs on %s",
		    c->worker->name);
	sched_stop_commitment(s, sh, c);
}

static void respond_to_slowdown(struct sched *s, struct shard *sh,
				struct worker *w, int64_t measured_ms,
				double worst)
{
	struct commitment *c = find_interfering_task(s, w);

	switch (response_step(&w->response, &limits, s->now_ms, measured_ms,
			      worst)) {
	case RESPONSE_THROTTLE:
		if (c)
			send_throttle(s, sh, c, THROTTLED_SPEED);
		break;
	case RESPONSE_EVICT:
		if (c)
			evict(s, sh, c);
		break;
	case RESPONSE_UNTHROTTLE:
		CK_LIST_FOREACH (c, &w->commitments, link) {
			if (c->throttled && c->state == COMMIT_RUNNING)
				send_throttle(s, sh, c, FULL_SPEED);
		}
		break;
	case RESPONSE_NONE:
		break;
	}
}

void sched_observe_interference(struct sched *s, struct shard *sh,
				struct worker *w, const struct msg *m)
{
	struct neighbour n[INTERFERENCE_NEIGHBOURS_MAX];
	const struct task_status *t = m->tasks.items;
	int64_t measured_ms = w->clock_recv_ms - (int64_t)(w->clock_ms) +
			      (int64_t)m->measured_ms;
	double worst = 1.0;
	size_t i, count;

	/*
	 * The tasks that shared the worker at an older measurement are not
	 * known.
	 */
	if (w->tasks_changed || measured_ms <= w->changed_ms)
		return;
	for (i = 0; i < m->tasks.count; i++) {
		const struct commitment *c =
			worker_table_commitment(&s->workers, t[i].job,
						t[i].attempt);
		const struct service_doc *doc;
		double slowdown = t[i].slowdown_milli / 1000.0;

		if (!c || c->state != COMMIT_RUNNING || !t[i].slowdown_milli)
			continue;
		count = collect_neighbours(w, c, n);
		interference_observe(&s->interference, s->now_ms, c->service,
				     1.0, slowdown, n, count);
		doc = service_by_id(s, c->service);
		if (doc && doc->latency_critical && slowdown > worst)
			worst = slowdown;
	}
	respond_to_slowdown(s, sh, w, measured_ms, worst);
}
