#include "core/job.h"

#include <stdlib.h>

uint64_t job_id(const char *service, const char *key)
{
	return pair_hash(service, key);
}

const char *job_phase_name(enum job_phase p)
{
	static const char *const names[] = {
		"queued",  "reserving", "recording", "starting",
		"running", "stopping",  "ending",    "done",
	};

	return p <= JOB_DONE ? names[p] : "unknown";
}

void job_table_init(struct job_table *t)
{
	memset(t, 0, sizeof(*t));
	index_init(&t->by_id);
	index_init(&t->team_open);
	CK_LIST_INIT(&t->active);
	CK_LIST_INIT(&t->done);
}

static void str_set(struct str *dst, struct str src)
{
	free((char *)dst->data);
	dst->data = src.len ? xstrndup(src.data, src.len) : NULL;
	dst->len = src.len;
}

uint32_t job_table_team_open(const struct job_table *t, uint64_t team)
{
	return (uint32_t)(uintptr_t)index_get(&t->team_open, team);
}

static void adjust_team_open(struct job_table *t, uint64_t team, int n)
{
	uint32_t open = job_table_team_open(t, team) + (uint32_t)n;

	if (open)
		index_put(&t->team_open, team, (void *)(uintptr_t)open);
	else
		index_remove(&t->team_open, team);
}

void job_table_set_team(struct job_table *t, struct job *j, uint64_t team)
{
	if (j->team || j->done)
		return;
	j->team = team;
	adjust_team_open(t, team, 1);
}

static void leave_team(struct job_table *t, struct job *j)
{
	if (!j->team)
		return;
	adjust_team_open(t, j->team, -1);
	j->team = 0;
}

static void job_free(struct job *j)
{
	free((char *)j->payload.data);
	free((char *)j->result.data);
	free(j->waiters);
	free(j);
}

void job_table_remove(struct job_table *t, struct job *j)
{
	CK_LIST_REMOVE(j, link);
	leave_team(t, j);
	if (j->done)
		t->done_count--;
	else
		t->active_count--;
	index_remove(&t->by_id, j->id);
	job_free(j);
}

void job_table_clear(struct job_table *t)
{
	while (!CK_LIST_EMPTY(&t->active))
		job_table_remove(t, CK_LIST_FIRST(&t->active));
	while (!CK_LIST_EMPTY(&t->done))
		job_table_remove(t, CK_LIST_FIRST(&t->done));
}

void job_table_finish(struct job_table *t)
{
	job_table_clear(t);
	index_finish(&t->by_id);
	index_finish(&t->team_open);
}

struct job *job_table_get(const struct job_table *t, uint64_t id)
{
	return index_get(&t->by_id, id);
}

struct job *job_table_add(struct job_table *t, uint64_t id, const char *service,
			  const char *key, struct str payload)
{
	struct job *j = xcalloc(1, sizeof(*j));

	j->id = id;
	name_set(j->service, service);
	name_set(j->key, key);
	str_set(&j->payload, payload);
	index_put(&t->by_id, id, j);
	CK_LIST_INSERT_HEAD(&t->active, j, link);
	t->active_count++;
	return j;
}

static void mark_done(struct job_table *t, struct job *j)
{
	struct str none = {NULL, 0};

	if (j->done)
		return;
	leave_team(t, j);
	j->done = true;
	j->attempt_open = false;
	j->phase = JOB_DONE;
	CK_LIST_REMOVE(j, link);
	CK_LIST_INSERT_HEAD(&t->done, j, link);
	t->active_count--;
	t->done_count++;
	str_set(&j->payload, none);
}

static struct job *apply_accept(struct job_table *t, const struct record *r)
{
	struct job *j = job_table_get(t, r->job);

	if (!j)
		j = job_table_add(t, r->job, r->service, r->key, r->payload);
	if (j->accepted)
		return NULL;
	j->accepted = true;
	j->digest = r->digest;
	j->accepted_at_ms = r->at_ms;
	j->deadline_ms = r->deadline_ms;
	return j;
}

static struct job *apply_job(struct job_table *t, const struct record *r)
{
	struct job *j = job_table_get(t, r->job);

	if (!j)
		j = job_table_add(t, r->job, r->service, r->key, r->payload);
	j->accepted = true;
	j->digest = r->digest;
	j->accepted_at_ms = r->at_ms;
	j->deadline_ms = r->deadline_ms;
	j->attempt = r->attempt;
	j->worker = r->worker;
	j->rack = r->rack;
	j->boot = r->boot;
	j->failures = r->failures;
	j->reason = r->reason;
	j->verdict = r->verdict;
	j->progress = r->progress;
	j->cpu_ms = r->cpu_ms;
	j->attempt_open = r->open & 1;
	j->may_have_run = r->open & 2;
	str_set(&j->result, r->result);
	if (r->done) {
		mark_done(t, j);
		j->done_at_ms = r->done_at_ms;
	}
	return j;
}

struct job *job_table_apply(struct job_table *t, const struct record *r)
{
	struct job *j;

	if (r->kind == RECORD_ACCEPT)
		return apply_accept(t, r);
	if (r->kind == RECORD_JOB)
		return apply_job(t, r);
	j = job_table_get(t, r->job);
	if (!j || j->done)
		return NULL;
	switch (r->kind) {
	case RECORD_START:
		if (j->attempt_open || r->attempt != j->attempt + 1)
			return NULL;
		j->attempt = r->attempt;
		j->worker = r->worker;
		j->rack = r->rack;
		j->boot = r->boot;
		j->attempt_open = true;
		return j;
	case RECORD_OVER:
		if (!j->attempt_open || r->attempt != j->attempt)
			return NULL;
		j->attempt_open = false;
		j->may_have_run |= r->state != TASK_NOT_STARTED;
		j->failures = r->failures;
		j->progress = r->progress;
		j->cpu_ms += r->cpu_ms;
		return j;
	case RECORD_FINISH:
		j->verdict = r->verdict;
		j->reason = r->reason;
		j->cpu_ms += r->cpu_ms;
		j->done_at_ms = r->at_ms;
		str_set(&j->result, r->result);
		mark_done(t, j);
		return j;
	default:
		return NULL;
	}
}

void job_table_expire(struct job_table *t, int64_t before_ms)
{
	struct job *j = CK_LIST_FIRST(&t->done);

	while (j) {
		struct job *next = CK_LIST_NEXT(j, link);

		if (j->done_at_ms < before_ms)
			job_table_remove(t, j);
		j = next;
	}
}

void job_to_record(const struct job *j, struct record *r)
{
	memset(r, 0, sizeof(*r));
	r->kind = RECORD_JOB;
	r->job = j->id;
	name_set(r->service, j->service);
	name_set(r->key, j->key);
	r->digest = j->digest;
	r->payload = j->payload;
	r->result = j->result;
	r->at_ms = j->accepted_at_ms;
	r->deadline_ms = j->deadline_ms;
	r->attempt = j->attempt;
	r->worker = j->worker;
	r->rack = j->rack;
	r->boot = j->boot;
	r->failures = j->failures;
	r->reason = j->reason;
	r->verdict = j->verdict;
	r->progress = j->progress;
	r->cpu_ms = j->cpu_ms;
	r->open = (uint32_t)j->attempt_open | (uint32_t)j->may_have_run << 1;
	r->done = j->done;
	r->done_at_ms = j->done_at_ms;
}

void job_add_waiter(struct job *j, uint64_t host, uint64_t corr,
		    int64_t deadline_ms)
{
	struct waiter *w;
	size_t i;

	for (i = 0; i < j->waiter_count; i++)
		if (j->waiters[i].host == host && j->waiters[i].corr == corr)
			return;
	j->waiters = xrealloc(j->waiters,
			      (j->waiter_count + 1) * sizeof(*j->waiters));
	w = &j->waiters[j->waiter_count++];
	w->host = host;
	w->corr = corr;
	w->deadline_ms = deadline_ms;
}
