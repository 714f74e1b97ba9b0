#include "standins/world_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Times until a change has to be in force, milliseconds: a zone that is
 * declared out, a worker that is listed as leaving, and all changes for a
 * process after a pause.
 */
#define ZONE_OUT_GRACE_MS 3000
#define LEAVING_GRACE_MS 3000
#define CATCH_UP_MS 11000
#define RUNS_MAX 2048

/**
 * struct run - one attempt that a worker ran, in simulated time
 * @worker_crashed: the worker crashed later; the log may lack its last reports
 */
struct run {
	const struct model_task *task;
	const struct world_node *node;
	int64_t from_ms;
	int64_t to_ms;
	bool worker_crashed;
};

struct run_set {
	struct run runs[RUNS_MAX];
	size_t count;
};

static void collect_model_runs(struct run_set *set, const struct world *w,
			       const struct world_node *n,
			       const struct worker_model *m,
			       bool worker_crashed)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		const struct model_task *t = &m->tasks[i];
		struct run *r = &set->runs[set->count];

		if (t->state == TASK_NOT_STARTED || set->count == RUNS_MAX)
			continue;
		r->task = t;
		r->node = n;
		r->worker_crashed = worker_crashed;
		r->from_ms = t->start_ms - n->clock_offset_ms;
		r->to_ms = t->state == TASK_RUNNING
				   ? w->now_ms
				   : t->end_ms - n->clock_offset_ms;
		set->count++;
	}
}

static void collect_runs(struct run_set *set, const struct world *w)
{
	size_t k;
	int i;

	for (i = WORLD_SCHEDDS + WORLD_ENTRY_HOSTS; i < WORLD_NODES; i++) {
		const struct world_node *n = &w->nodes[i];

		for (k = 0; k < n->crashed_model_count; k++)
			collect_model_runs(set, w, n, &n->crashed_models[k],
					   true);
		if (n->alive)
			collect_model_runs(set, w, n, &n->worker, false);
	}
}

static bool runs_overlap(const struct run *a, const struct run *b)
{
	return a->from_ms < b->to_ms && b->from_ms < a->to_ms;
}

static void check_pairs(struct world *w, const struct run_set *set)
{
	size_t i, k;

	for (i = 0; i < set->count; i++) {
		for (k = i + 1; k < set->count; k++) {
			const struct run *a = &set->runs[i];
			const struct run *b = &set->runs[k];

			if (strcmp(a->task->key, b->task->key) ||
			    strcmp(a->task->service, b->task->service))
				continue;
			if (runs_overlap(a, b))
				world_violation(
					w,
					"%s: two attempts ran at the same time",
					a->task->key);
			if (a->task->job == b->task->job &&
			    a->task->attempt == b->task->attempt)
				world_violation(w, "%s: attempt %u ran twice",
						a->task->key, a->task->attempt);
			if (!a->task->movable)
				world_violation(w,
						"%s: is not idempotent, but "
						"ran more than once",
						a->task->key);
		}
	}
}

/*
 * An attempt starts at the last checkpoint of the attempt before it, or earlier
 * if that checkpoint may not be recorded in the log.
 */
static void check_resume(struct world *w, const struct run_set *set,
			 const struct run *r)
{
	const struct run *previous = NULL;
	size_t i;

	if (r->task->attempt <= 1 && r->task->start_progress)
		world_violation(
			w, "%s: the first attempt resumed from a checkpoint",
			r->task->key);
	for (i = 0; i < set->count; i++) {
		const struct run *o = &set->runs[i];

		if (o->task->job == r->task->job &&
		    o->task->attempt < r->task->attempt &&
		    (!previous || o->task->attempt > previous->task->attempt))
			previous = o;
	}
	if (previous && r->task->start_progress > previous->task->progress)
		world_violation(w, "%s: resumed after the last checkpoint",
				r->task->key);
	if (previous && previous->task->state == TASK_STOPPED &&
	    !previous->task->lease_expired && !previous->worker_crashed &&
	    r->task->start_progress != previous->task->progress)
		world_violation(w,
				"%s: did not resume from the last checkpoint",
				r->task->key);
}

static void check_zone(struct world *w, const struct run *r)
{
	size_t i;

	for (i = 0; i < w->outage_count; i++)
		if (w->outages[i].zone == r->node->zone &&
		    r->from_ms > w->outages[i].from_ms + ZONE_OUT_GRACE_MS &&
		    r->from_ms < w->outages[i].to_ms)
			world_violation(
				w,
				"%s: started in a zone that was declared out",
				r->task->key);
	if (r->node->leaving_ms &&
	    r->from_ms > r->node->leaving_ms + LEAVING_GRACE_MS &&
	    r->from_ms > w->list_stale_until_ms + LEAVING_GRACE_MS)
		world_violation(w, "%s: started on a worker listed as leaving",
				r->task->key);
}

static void check_capacity(struct world *w, const struct run_set *set,
			   const struct run *r)
{
	const struct worker_model *m = &r->node->worker;
	uint64_t cpu = 0, slots = 0;
	size_t i;

	for (i = 0; i < set->count; i++) {
		const struct run *o = &set->runs[i];

		if (o->node != r->node || o->from_ms > r->from_ms ||
		    o->to_ms <= r->from_ms)
			continue;
		cpu += o->task->res.cpu_milli;
		slots += o->task->res.slots;
	}
	if (cpu > m->size.cpu_milli || slots > m->size.slots)
		world_violation(w, "%s: active tasks exceed the capacity",
				r->node->name);
}

static bool call_has_run(const struct run_set *set, const struct world_call *c,
			 int64_t until_ms)
{
	size_t i;

	for (i = 0; i < set->count; i++)
		if (!strcmp(set->runs[i].task->key, c->key) &&
		    !strcmp(set->runs[i].task->service, c->service) &&
		    set->runs[i].from_ms <= until_ms)
			return true;
	return false;
}

/* Without a live entry host no call can be answered. */
static bool has_live_entry_host(const struct world *w)
{
	int i;

	for (i = 0; i < WORLD_ENTRY_HOSTS; i++)
		if (w->nodes[WORLD_SCHEDDS + i].alive)
			return true;
	return false;
}

static void check_call(struct world *w, const struct run_set *set,
		       const struct world_call *c)
{
	size_t i;
	bool is_shared_key = false;

	for (i = 0; i < w->call_count; i++)
		is_shared_key |=
			&w->calls[i] != c && !strcmp(w->calls[i].key, c->key);
	if (c->wrong_result)
		world_violation(w, "%s: got the result of another call",
				c->key);
	if (!c->is_settled && c->action == ENTRY_SUBMIT &&
	    has_live_entry_host(w))
		world_violation(w, "%s: got no final answer", c->key);
	if (c->action != ENTRY_SUBMIT)
		return;
	if (c->reason == REASON_NO_ANSWER && has_live_entry_host(w))
		world_violation(w, "%s never gets its answer: the job is lost",
				c->key);
	if (c->verdict == VERDICT_NOT_RUN && !is_shared_key &&
	    call_has_run(set, c, INT64_MAX))
		world_violation(w, "%s: was answered not run, but ran", c->key);
	if (c->answered_not_run_ms &&
	    call_has_run(set, c, c->answered_not_run_ms))
		world_violation(w, "%s: had run when it was answered not run",
				c->key);
	if (c->verdict == VERDICT_RAN && !call_has_run(set, c, INT64_MAX))
		world_violation(w, "%s: was answered ran, but did not run",
				c->key);
	switch (c->verdict) {
	case VERDICT_RAN:
		w->result->ran++;
		break;
	case VERDICT_NOT_RUN:
		w->result->not_run++;
		break;
	default:
		w->result->unknown++;
		break;
	}
}

/* The zone version in force at a process must never decrease. */
void world_check_versions(struct world *w, struct world_node *n)
{
	const struct config *c =
		n->kind == NODE_SCHEDD ? &n->sched.config : &n->entry.config;
	const struct document *d;
	char name[8];
	int z;

	for (z = 0; z < WORLD_ZONES; z++) {
		snprintf(name, sizeof(name), "z%d", z);
		d = config_get(c, DOCUMENT_ZONE, name);
		if (!d)
			continue;
		if (d->version < n->zone_version[z])
			world_violation(w,
					"%s: zone version in force went back "
					"to %" PRIu64,
					n->name, d->version);
		n->zone_version[z] = d->version;
		if (d->version == w->zone_version[z] &&
		    d->zone.is_out != w->zone_out[z])
			world_violation(
				w,
				"%s: zone state differs from the accepted one",
				n->name);
		if (d->version > w->zone_version[z])
			world_violation(
				w,
				"%s: zone version is higher than the accepted",
				n->name);
	}
}

static void check_final_state(struct world *w)
{
	int i, z;

	for (i = 0; i < WORLD_SCHEDDS + WORLD_ENTRY_HOSTS; i++) {
		const struct world_node *n = &w->nodes[i];

		if (w->now_ms < n->paused_until_ms + CATCH_UP_MS)
			continue;
		for (z = 0; n->alive && z < WORLD_ZONES; z++)
			if (n->zone_version[z] != w->zone_version[z])
				world_violation(w,
						"%s: zone version in force is "
						"not the newest",
						n->name);
	}
	for (i = WORLD_SCHEDDS + WORLD_ENTRY_HOSTS; i < WORLD_NODES; i++)
		if (w->nodes[i].worker.over_capacity_orders)
			world_violation(
				w, "%s: got start orders beyond its capacity",
				w->nodes[i].name);
}

/* Each bill record must agree with the records before it in its stream. */
static void check_bill_records(struct world *w)
{
	struct config cfg;
	size_t i, k;

	config_init(&cfg);
	for (i = 0; i < w->stream_count; i++) {
		const struct world_stream *s = &w->streams[i];
		struct log_entry *e = xcalloc(s->count, sizeof(*e));
		struct log_read r = {LOG_OK, s->first + s->count, s->first, e,
				     s->count};
		struct ledger_mismatch m = {0};
		struct ledger l;

		for (k = 0; k < s->count; k++) {
			e[k].offset = s->first + k;
			e[k].body.data = s->entries[k].text.data;
			e[k].body.len = s->entries[k].text.len;
		}
		if (!strcmp(s->name, CONFIG_STREAM)) {
			config_load(&cfg, &r);
		} else if (!strncmp(s->name, "jobs", 4)) {
			ledger_init(&l, true);
			ledger_replay(&l, &cfg, &r, &m);
		}
		if (m.found)
			world_violation(w,
					"%s: bill record differs from the "
					"records before it",
					s->name);
		free(e);
	}
	config_finish(&cfg);
}

void world_check_invariants(struct world *w)
{
	struct run_set *set = xcalloc(1, sizeof(*set));
	size_t i;

	collect_runs(set, w);
	check_pairs(w, set);
	for (i = 0; i < set->count; i++) {
		check_resume(w, set, &set->runs[i]);
		check_zone(w, &set->runs[i]);
		check_capacity(w, set, &set->runs[i]);
	}
	for (i = 0; i < w->call_count; i++)
		check_call(w, set, &w->calls[i]);
	check_bill_records(w);
	check_final_state(w);
	free(set);
}
