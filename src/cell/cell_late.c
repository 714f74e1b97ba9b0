#include "cell/cell_late.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_job.h"
#include "cell/cell_worker.h"

/* The platform carries out an order at most this late. */
#define LATE_MAX_MS 12000
/* A task waits at most this long for a new process that does not list its runs:
 * a job that stands still for 3 s counts as lost. */
#define HOLD_MAX_MS 2000

static bool is_same_run(const struct task_ref *a, const struct task_ref *b)
{
	return a->job == b->job && a->occurrence == b->occurrence &&
	       a->step == b->step && a->index == b->index && a->run == b->run;
}

void cell_late_note(struct cell *c, const char *worker,
		    const struct task_ref *ref)
{
	struct late_start *s =
		&c->late_starts[c->late_noted++ % LATE_STARTS_MAX];

	memset(s, 0, sizeof(*s));
	s->ref = *ref;
	s->worker = name_hash(worker);
	s->until_ms = c->now_ms + LATE_MAX_MS;
	c->late_until_ms = s->until_ms;
}

/* The run is stopped as that of its task. */
static bool is_current_run(const struct cell *c, const struct late_start *s)
{
	const struct cell_task *t = cell_task_find(c, &s->ref);

	return t && t->worker && t->worker->id == s->worker &&
	       t->run == s->ref.run && t->state != TASK_STORING;
}

static void hold(struct cell *c, struct late_start *s)
{
	s->held_until_ms = c->now_ms + HOLD_MAX_MS;
	if (c->late_held_until_ms < s->held_until_ms)
		c->late_held_until_ms = s->held_until_ms;
}

void cell_late_restarted(struct cell *c, const struct cell_worker *w)
{
	size_t n;

	if (c->now_ms >= c->late_until_ms)
		return;
	for (n = 0; n < LATE_STARTS_MAX; n++) {
		struct late_start *s = &c->late_starts[n];

		if (s->worker != w->id || c->now_ms >= s->until_ms ||
		    is_current_run(c, s))
			continue;
		s->stop_due = true;
		s->stop_sent_ms = 0;
		s->stop_confirmed_ms = 0;
		hold(c, s);
	}
}

void cell_late_listed(struct cell *c, const struct cell_worker *w,
		      const struct poll_reply *r)
{
	size_t n, i;

	if (c->now_ms >= c->late_until_ms)
		return;
	for (n = 0; n < LATE_STARTS_MAX; n++) {
		struct late_start *s = &c->late_starts[n];

		if (s->worker != w->id || !s->stop_due)
			continue;
		if (is_current_run(c, s)) {
			s->stop_due = false;
			s->held_until_ms = 0;
			continue;
		}
		for (i = 0; i < r->running_count; i++)
			if (is_same_run(&r->running[i].ref, &s->ref))
				break;
		if (i < r->running_count) {
			hold(c, s);
		} else if (s->stop_confirmed_ms &&
			   s->stop_confirmed_ms < r->sent_ms) {
			s->stop_due = false;
			s->held_until_ms = 0;
			c->place_due = true;
		}
	}
}

static bool is_start_of(const struct late_start *s, const struct cell_task *t)
{
	return s->ref.index == t->index && s->ref.step == t->step->number &&
	       s->ref.occurrence == t->step->occurrence &&
	       s->ref.job == t->step->job->spec->id;
}

bool cell_late_holds(const struct cell *c, const struct cell_task *t)
{
	size_t n;

	if (c->now_ms >= c->late_held_until_ms)
		return false;
	for (n = 0; n < LATE_STARTS_MAX; n++)
		if (c->now_ms < c->late_starts[n].held_until_ms &&
		    is_start_of(&c->late_starts[n], t))
			return true;
	return false;
}

static void on_late_stop(void *ctx, const struct worker_addr *addr,
			 const struct task_ref *ref,
			 const struct order_reply *r)
{
	struct cell *c = ctx;
	struct cell_worker *w;
	size_t n;

	if (!cell_call_end(c))
		return;
	if (r->status == ORDER_FENCED) {
		c->ops->fenced(c->ctx);
		return;
	}
	w = cell_worker_find(c, addr->id);
	if (r->status != ORDER_OK || !w || w->entry.born != addr->born)
		return;
	w->poll_due_ms = c->now_ms;
	for (n = 0; n < LATE_STARTS_MAX; n++) {
		struct late_start *s = &c->late_starts[n];

		if (s->stop_due && s->worker == w->id &&
		    is_same_run(&s->ref, ref))
			s->stop_confirmed_ms = c->now_ms;
	}
}

static void send_stop(struct cell *c, struct late_start *s)
{
	const struct cell_worker *w = index_get(&c->worker_ids, s->worker);
	struct order o = {0};

	if (!w)
		return;
	o.ref = s->ref;
	o.fence = c->epoch;
	s->stop_sent_ms = c->now_ms;
	log_line(LOG_INFO, "stopping a late start at a new process",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s",
		 o.ref.job, o.ref.step, o.ref.index, o.ref.run,
		 w->entry.addr.id);
	cell_call_begin(c);
	c->worker_ops->stop(c->port, &w->entry.addr, &o, on_late_stop, c);
}

void cell_late_tick(struct cell *c)
{
	size_t n;

	if (c->now_ms >= c->late_until_ms)
		return;
	for (n = 0; n < LATE_STARTS_MAX; n++) {
		struct late_start *s = &c->late_starts[n];

		if (s->stop_due && !s->stop_confirmed_ms &&
		    c->now_ms < s->until_ms &&
		    c->now_ms - s->stop_sent_ms >= STOP_RETRY_MS)
			send_stop(c, s);
	}
}
