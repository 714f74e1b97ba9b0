#include "core/worker_table.h"

#include <stdlib.h>

static struct worker_list *rack_list(struct worker_table *t, uint64_t rack)
{
	struct worker_list *l = index_get(&t->racks, rack);

	if (!l) {
		l = xcalloc(1, sizeof(*l));
		CK_LIST_INIT(l);
		index_put(&t->racks, rack, l);
	}
	return l;
}

const struct worker_list *worker_table_rack(const struct worker_table *t,
					    uint64_t rack)
{
	static const struct worker_list none;
	const struct worker_list *l = index_get(&t->racks, rack);

	return l ? l : &none;
}

void worker_table_init(struct worker_table *t)
{
	memset(t, 0, sizeof(*t));
	index_init(&t->by_id);
	index_init(&t->commitments);
	index_init(&t->racks);
	CK_LIST_INIT(&t->workers);
}

void worker_table_finish(struct worker_table *t)
{
	while (!CK_LIST_EMPTY(&t->workers)) {
		struct worker *w = CK_LIST_FIRST(&t->workers);

		worker_reset(t, w);
		CK_LIST_REMOVE(w, rack_link);
		if (CK_LIST_EMPTY(rack_list(t, w->rack)))
			free(index_remove(&t->racks, w->rack));
		CK_LIST_REMOVE(w, link);
		free(w);
	}
	index_finish(&t->commitments);
	index_finish(&t->racks);
	index_finish(&t->by_id);
}

struct worker *worker_table_get(const struct worker_table *t, uint64_t id)
{
	return index_get(&t->by_id, id);
}

struct worker *worker_table_add(struct worker_table *t, uint64_t id,
				const char *name, uint64_t rack)
{
	struct worker *w = worker_table_get(t, id);

	if (w)
		return w;
	w = xcalloc(1, sizeof(*w));
	w->id = id;
	w->rack = rack;
	name_set(w->name, name);
	CK_LIST_INIT(&w->commitments);
	CK_LIST_INSERT_HEAD(&t->workers, w, link);
	CK_LIST_INSERT_HEAD(rack_list(t, rack), w, rack_link);
	index_put(&t->by_id, id, w);
	return w;
}

void worker_reset(struct worker_table *t, struct worker *w)
{
	while (!CK_LIST_EMPTY(&w->commitments))
		commitment_drop(t, CK_LIST_FIRST(&w->commitments));
	w->fenced = false;
	w->renewed_ms = 0;
	w->due_ms = 0;
	w->failures = 0;
	w->quarantine_until_ms = 0;
	w->hold_until_ms = 0;
}

bool worker_has_capacity(const struct worker *w, const struct resources *r)
{
	const struct resources *u = &w->used, *s = &w->capacity;

	return (uint64_t)u->cpu_milli + r->cpu_milli <= s->cpu_milli &&
	       (uint64_t)u->mem_mb + r->mem_mb <= s->mem_mb &&
	       (uint64_t)u->accel + r->accel <= s->accel &&
	       (uint64_t)u->slots + r->slots <= s->slots &&
	       (uint64_t)u->conns + r->conns <= s->conns;
}

static uint32_t remaining(uint32_t size, uint32_t used)
{
	return size > used ? size - used : 0;
}

struct resources worker_free_capacity(const struct worker *w)
{
	struct resources f = {
		remaining(w->capacity.cpu_milli, w->used.cpu_milli),
		remaining(w->capacity.mem_mb, w->used.mem_mb),
		remaining(w->capacity.accel, w->used.accel),
		remaining(w->capacity.slots, w->used.slots),
		remaining(w->capacity.conns, w->used.conns),
	};

	return f;
}

static void add_usage(struct worker *w, const struct resources *r)
{
	resources_add(&w->used, r);
	w->tasks++;
	w->tasks_changed = true;
}

static void remove_usage(struct worker *w, const struct resources *r)
{
	resources_sub(&w->used, r);
	w->tasks--;
	w->tasks_changed = true;
}

struct commitment *worker_table_commitment(const struct worker_table *t,
					   uint64_t job, uint32_t attempt)
{
	return index_get(&t->commitments, attempt_id(job, attempt));
}

static struct commitment *commitment_new(struct worker_table *t,
					 struct worker *w, uint64_t job,
					 uint32_t attempt,
					 const struct resources *r)
{
	struct commitment *c = xcalloc(1, sizeof(*c));

	c->id = attempt_id(job, attempt);
	c->job = job;
	c->attempt = attempt;
	c->worker = w;
	c->res = *r;
	CK_LIST_INSERT_HEAD(&w->commitments, c, link);
	index_put(&t->commitments, c->id, c);
	return c;
}

struct commitment *worker_commit(struct worker_table *t, struct worker *w,
				 uint64_t job, uint32_t attempt,
				 const struct resources *r)
{
	struct commitment *c;

	if (!worker_has_capacity(w, r) ||
	    worker_table_commitment(t, job, attempt))
		return NULL;
	c = commitment_new(t, w, job, attempt, r);
	add_usage(w, r);
	return c;
}

struct commitment *worker_adopt(struct worker_table *t, struct worker *w,
				const struct task_status *s)
{
	struct commitment *c =
		commitment_new(t, w, s->job, s->attempt, &s->res);

	c->shard = s->shard;
	c->task_state = s->state;
	c->service = s->service;
	c->urgency = s->urgency;
	c->movable = s->movable;
	c->keep = s->keep;
	c->progress = s->progress;
	c->cpu_ms = s->cpu_ms;
	commitment_set_result(c, s->result);
	if (s->state == TASK_RUNNING) {
		c->state = COMMIT_RUNNING;
		add_usage(w, &c->res);
	} else {
		c->state = COMMIT_OVER;
	}
	return c;
}

void commitment_end(struct commitment *c, uint32_t task_state)
{
	c->task_state = task_state;
	if (c->state == COMMIT_OVER)
		return;
	remove_usage(c->worker, &c->res);
	c->state = COMMIT_OVER;
	c->due_ms = 0;
}

void commitment_drop(struct worker_table *t, struct commitment *c)
{
	commitment_end(c, c->task_state);
	CK_LIST_REMOVE(c, link);
	index_remove(&t->commitments, c->id);
	free((char *)c->start.payload.data);
	free((char *)c->result.data);
	free(c);
}

void commitment_set_result(struct commitment *c, struct str result)
{
	free((char *)c->result.data);
	c->result.data = result.len ? xstrndup(result.data, result.len) : NULL;
	c->result.len = result.len;
}

void commitment_set_start(struct commitment *c, const struct msg *m)
{
	free((char *)c->start.payload.data);
	c->start = *m;
	c->start.payload.data =
		m->payload.len ? xstrndup(m->payload.data, m->payload.len)
			       : NULL;
	c->start.result.data = NULL;
	c->start.result.len = 0;
	c->start.owned.count = 0;
	c->start.tasks.count = 0;
}
