#include "standins/grid_worker.h"

#include <stdlib.h>

#define RUN_MS_DEFAULT 200
#define RUN_MS_UNBOUNDED 1000000000
/* A longer lease is shortened to this. */
#define LEASE_MAX_MS 6000

static void runs_free(struct grid_run *r)
{
	while (r) {
		struct grid_run *next = r->next;

		free(r);
		r = next;
	}
}

void grid_worker_finish(struct grid_worker *w)
{
	runs_free(w->running);
	runs_free(w->ended);
	runs_free(w->tombstones);
}

static bool is_same_task(const struct task_ref *a, const struct task_ref *b)
{
	return a->job == b->job && a->occurrence == b->occurrence &&
	       a->step == b->step && a->index == b->index;
}

static void end_run(struct grid_worker *w, struct grid_run **at,
		    enum run_end outcome)
{
	struct grid_run *r = *at, **last = &w->ended;

	*at = r->next;
	r->next = NULL;
	r->end_seq = ++w->end_count;
	r->outcome = outcome;
	while (*last)
		last = &(*last)->next;
	*last = r;
	w->on_event(w->ctx, r, "end");
}

void grid_worker_tick(struct grid_worker *w, int64_t now_ms)
{
	struct grid_run **at = &w->running;
	bool expires = w->lease_until_ms && !w->lease_expired &&
		       now_ms >= w->lease_until_ms;

	while (*at) {
		struct grid_run *r = *at;

		if (now_ms >= w->lease_until_ms)
			end_run(w, at, RUN_EXPIRED);
		else if (now_ms >= r->ends_ms)
			end_run(w, at, r->should_fail ? RUN_FAILED : RUN_DONE);
		else
			at = &r->next;
	}
	if (!expires)
		return;
	w->lease_expired = true;
	w->on_event(w->ctx, NULL, "lapse");
}

static void extend_lease(struct grid_worker *w, int64_t now_ms,
			 int64_t until_ms)
{
	if (until_ms > now_ms + LEASE_MAX_MS)
		until_ms = now_ms + LEASE_MAX_MS;
	if (until_ms <= w->lease_until_ms)
		return;
	w->lease_until_ms = until_ms;
	w->lease_expired = false;
	w->on_event(w->ctx, NULL, "lease");
}

static enum order_status check_fence(struct grid_worker *w, uint64_t fence)
{
	if (fence < w->fence)
		return ORDER_FENCED;
	w->fence = fence;
	return ORDER_OK;
}

static const struct grid_run *newest_run(const struct grid_run *r,
					 const struct task_ref *ref)
{
	const struct grid_run *newest = NULL;

	for (; r; r = r->next)
		if (is_same_task(&r->ref, ref) &&
		    (!newest || r->ref.run > newest->ref.run))
			newest = r;
	return newest;
}

static bool is_stale_run(const struct grid_worker *w,
			 const struct task_ref *ref)
{
	const struct grid_run *a = newest_run(w->ended, ref);
	const struct grid_run *b = newest_run(w->tombstones, ref);

	return (a && a->ref.run >= ref->run) || (b && b->ref.run >= ref->run);
}

static long spec_number(struct str text, const char *name, long value)
{
	char *copy = xstrndup(text.data, text.len);
	char *at = strstr(copy, name);

	if (at)
		value = strtol(at + strlen(name), NULL, 10);
	free(copy);
	return value;
}

static struct grid_run *run_create(const struct task_ref *ref, int64_t now_ms)
{
	struct grid_run *r = xcalloc(1, sizeof(*r));

	r->ref = *ref;
	r->started_ms = now_ms;
	return r;
}

enum order_status grid_worker_start(struct grid_worker *w, int64_t now_ms,
				    const struct order *o)
{
	enum order_status s = check_fence(w, o->fence);
	const struct grid_run *active;
	struct grid_run *r;
	long ms;

	if (s)
		return s;
	if (o->lease_deadline_ms <= now_ms)
		return ORDER_EXPIRED;
	extend_lease(w, now_ms, o->lease_deadline_ms);
	active = newest_run(w->running, &o->ref);
	if (active)
		return active->ref.run == o->ref.run ? ORDER_OK
						     : ORDER_STALE_RUN;
	if (is_stale_run(w, &o->ref))
		return ORDER_STALE_RUN;
	r = run_create(&o->ref, now_ms);
	ms = spec_number(o->spec, "run_ms=", RUN_MS_DEFAULT);
	r->ends_ms = now_ms + (ms ? ms : RUN_MS_UNBOUNDED);
	r->should_fail = spec_number(o->spec, "fail=", 0) != 0;
	r->next = w->running;
	w->running = r;
	w->on_event(w->ctx, r, "start");
	return ORDER_OK;
}

enum order_status grid_worker_stop(struct grid_worker *w, int64_t now_ms,
				   const struct order *o)
{
	enum order_status s = check_fence(w, o->fence);
	struct grid_run **at, *r;

	if (s)
		return s;
	for (at = &w->running; *at; at = &(*at)->next)
		if (is_same_task(&(*at)->ref, &o->ref) &&
		    (*at)->ref.run <= o->ref.run) {
			end_run(w, at, RUN_STOPPED);
			return ORDER_OK;
		}
	if (is_stale_run(w, &o->ref))
		return ORDER_OK;
	r = run_create(&o->ref, now_ms);
	r->next = w->tombstones;
	w->tombstones = r;
	return ORDER_OK;
}

enum order_status grid_worker_poll(struct grid_worker *w, int64_t now_ms,
				   const struct poll_request *poll)
{
	enum order_status s = check_fence(w, poll->fence);

	if (s)
		return s;
	grid_worker_tick(w, now_ms);
	extend_lease(w, now_ms, poll->lease_deadline_ms);
	while (w->ended && w->ended->end_seq <= poll->ack) {
		struct grid_run *r = w->ended;

		w->on_event(w->ctx, r, "ack");

		w->ended = r->next;
		r->next = w->tombstones;
		w->tombstones = r;
	}
	return ORDER_OK;
}
