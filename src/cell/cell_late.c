#include "cell/cell_late.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"
#include "cell/cell_fence.h"
#include "cell/cell_job.h"
#include "cell/cell_worker.h"

/* A long-running task waits at most this long for a new process that does not
 * list its runs: one that stands still for 3 s counts as lost. */
#define LONG_RUNNING_HOLD_MS 2000

void cell_late_init(struct cell *c)
{
	index_init(&c->late.workers);
}

/* Takes the oldest start off the lists, which must not be in the list of those
 * that are due. */
static struct late_start *take_oldest(struct cell *c)
{
	struct late_start *s = c->late.first;
	struct late_worker *l = s->worker;

	c->late.first = s->next;
	if (!s->next)
		c->late.last = NULL;
	c->late.count--;
	l->first = s->next_of_worker;
	if (!l->first) {
		index_remove(&c->late.workers, l->id);
		free(l);
	}
	return s;
}

void cell_late_finish(struct cell *c)
{
	while (c->late.first)
		free(take_oldest(c));
	index_finish(&c->late.workers);
}

static size_t starts_max(const struct cell *c)
{
	size_t max = index_count(&c->worker_ids) * LATE_STARTS_PER_WORKER;

	return max > LATE_STARTS_MAX ? max : LATE_STARTS_MAX;
}

bool cell_late_has_room(const struct cell *c, size_t starts)
{
	return c->late.count + c->late.in_flight + starts <= starts_max(c);
}

static bool is_same_run(const struct task_ref *a, const struct task_ref *b)
{
	return a->job == b->job && a->occurrence == b->occurrence &&
	       a->step == b->step && a->index == b->index && a->run == b->run;
}

/* The run is stopped as that of its task. */
static bool is_current_run(const struct cell *c, const struct late_start *s)
{
	const struct cell_task *t = cell_task_find(c, &s->ref);

	return t && t->worker && t->worker->id == s->worker->id &&
	       t->run == s->ref.run && t->state != TASK_STORING;
}

/* A process that carries the start out at the latest moment grants the longest
 * lease, as the deadline lies far ahead on its clock. */
static int64_t last_end_ms(const struct cell *c, const struct late_start *s)
{
	return s->until_ms + cell_lease_bound_ms(c->opt.lease_max_ms);
}

static void hold(struct cell *c, const struct late_start *s)
{
	struct cell_task *t = cell_task_find(c, &s->ref);
	int64_t until_ms;

	if (!t)
		return;
	until_ms = step_has_flag(t->step, STEP_LONG_RUNNING)
			   ? c->now_ms + LONG_RUNNING_HOLD_MS
			   : last_end_ms(c, s);
	if (t->late_held_until_ms < until_ms)
		t->late_held_until_ms = until_ms;
}

static void count_hold(struct cell *c, const struct late_start *s)
{
	struct cell_task *t = cell_task_find(c, &s->ref);

	if (t)
		t->late_holds++;
}

/* The worker's new process has to be told to refuse the start. */
static void make_due(struct cell *c, struct late_start *s)
{
	if (!s->stop_due)
		count_hold(c, s);
	s->stop_due = true;
	s->stop_sent_ms = 0;
	s->stop_confirmed_ms = 0;
	hold(c, s);
	if (s->in_due)
		return;
	s->in_due = true;
	s->next_due = c->late.due;
	c->late.due = s;
}

/* The worker's new process will not carry the start out. */
static void settle(struct cell *c, struct late_start *s)
{
	struct cell_task *t = cell_task_find(c, &s->ref);

	s->stop_due = false;
	if (!t || --t->late_holds)
		return;
	t->late_held_until_ms = t->late_forgotten_until_ms;
	c->place_due = true;
}

static struct late_worker *worker_of(struct cell *c, uint64_t id)
{
	struct late_worker *l = index_get(&c->late.workers, id);

	if (l)
		return l;
	l = xcalloc(1, sizeof(*l));
	l->id = id;
	index_put(&c->late.workers, id, l);
	return l;
}

static struct late_start *start_add(struct cell *c, uint64_t worker)
{
	struct late_worker *l = worker_of(c, worker);
	struct late_start *s = xcalloc(1, sizeof(*s));

	s->worker = l;
	if (l->first)
		l->last->next_of_worker = s;
	else
		l->first = s;
	l->last = s;
	if (c->late.first)
		c->late.last->next = s;
	else
		c->late.first = s;
	c->late.last = s;
	c->late.count++;
	return s;
}

void cell_late_note(struct cell *c, const struct worker_addr *to,
		    const struct task_ref *ref)
{
	struct late_start *s = start_add(c, name_hash(to->id));
	const struct cell_worker *w = cell_worker_find(c, to->id);

	s->ref = *ref;
	s->until_ms = c->now_ms + LATE_MAX_MS;
	if (w && w->entry.born != to->born && !w->refuses_older_calls &&
	    !is_current_run(c, s))
		make_due(c, s);
}

static struct late_start *starts_of(const struct cell *c,
				    const struct cell_worker *w)
{
	const struct late_worker *l = index_get(&c->late.workers, w->id);

	return l ? l->first : NULL;
}

void cell_late_restarted(struct cell *c, const struct cell_worker *w)
{
	struct late_start *s;

	for (s = starts_of(c, w); s; s = s->next_of_worker)
		if (!is_current_run(c, s))
			make_due(c, s);
}

void cell_late_expired(struct cell *c, const struct cell_worker *w)
{
	struct late_start *s;

	for (s = starts_of(c, w); s; s = s->next_of_worker) {
		const struct cell_task *t = cell_task_find(c, &s->ref);

		if (is_current_run(c, s) && !t->reported_ms)
			make_due(c, s);
	}
}

static bool is_listed(const struct late_start *s, const struct poll_reply *r)
{
	size_t i;

	for (i = 0; i < r->running_count; i++)
		if (is_same_run(&r->running[i].ref, &s->ref))
			return true;
	return false;
}

/* The process that has listed its runs will not carry the start out. */
static bool is_refused(const struct cell_worker *w, const struct late_start *s,
		       const struct poll_reply *r)
{
	return w->refuses_older_calls ||
	       (s->stop_confirmed_ms && s->stop_confirmed_ms < r->sent_ms);
}

void cell_late_listed(struct cell *c, const struct cell_worker *w,
		      const struct poll_reply *r)
{
	struct late_start *s;

	if (!c->late.due)
		return;
	for (s = starts_of(c, w); s; s = s->next_of_worker) {
		if (!s->stop_due)
			continue;
		if (is_current_run(c, s))
			settle(c, s);
		else if (is_listed(s, r))
			hold(c, s);
		else if (is_refused(w, s, r))
			settle(c, s);
	}
}

bool cell_late_holds(const struct cell *c, const struct cell_task *t)
{
	return c->now_ms < t->late_held_until_ms;
}

static void on_late_stop(void *ctx, const struct worker_addr *addr,
			 const struct task_ref *ref,
			 const struct order_reply *r)
{
	struct cell *c = ctx;
	struct cell_worker *w;
	struct late_start *s;

	if (!cell_call_end(c))
		return;
	if (r->status == ORDER_FENCED && cell_fence_refused(c, addr))
		return;
	w = cell_worker_find(c, addr->id);
	if (r->status != ORDER_OK || !w || w->entry.born != addr->born)
		return;
	w->poll_due_ms = c->now_ms;
	for (s = starts_of(c, w); s; s = s->next_of_worker)
		if (s->stop_due && is_same_run(&s->ref, ref))
			s->stop_confirmed_ms = c->now_ms;
}

static void send_stop(struct cell *c, struct late_start *s)
{
	const struct cell_worker *w = index_get(&c->worker_ids, s->worker->id);
	struct order o = {0};

	if (!w || cell_fence_is_raised(c, w))
		return;
	o.ref = s->ref;
	o.fence = cell_worker_fence(c, w);
	s->stop_sent_ms = c->now_ms;
	c->counts.late_stops++;
	log_line(LOG_INFO, "stopping a late start at a new process",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s",
		 o.ref.job, o.ref.step, o.ref.index, o.ref.run,
		 w->entry.addr.id);
	cell_call_begin(c);
	c->worker_ops->stop(c->port, &w->entry.addr, &o, on_late_stop, c);
}

static void send_due_stops(struct cell *c)
{
	struct late_start **at = &c->late.due, *s;

	while (*at) {
		s = *at;
		if (!s->stop_due || c->now_ms >= s->until_ms) {
			s->in_due = false;
			*at = s->next_due;
			continue;
		}
		if (!s->stop_confirmed_ms &&
		    c->now_ms - s->stop_sent_ms >= STOP_RETRY_MS)
			send_stop(c, s);
		at = &s->next_due;
	}
}

/* What a start holds stays held until the end of its latest run. */
static void note_forgotten(struct cell *c, const struct late_start *s)
{
	struct cell_task *t = cell_task_find(c, &s->ref);

	if (!t)
		return;
	t->late_holds--;
	if (!step_has_flag(t->step, STEP_LONG_RUNNING) &&
	    t->late_forgotten_until_ms < last_end_ms(c, s))
		t->late_forgotten_until_ms = last_end_ms(c, s);
}

static void forget_expired(struct cell *c)
{
	struct late_start *s;

	while (c->late.first && c->now_ms >= c->late.first->until_ms) {
		s = take_oldest(c);
		if (s->stop_due)
			note_forgotten(c, s);
		free(s);
	}
}

void cell_late_tick(struct cell *c)
{
	send_due_stops(c);
	forget_expired(c);
}

void cell_late_log(struct cell *c)
{
	uint64_t held_back = c->counts.starts_held_back;

	if (held_back == c->late.full_logged)
		return;
	log_line(LOG_WARN, "starts held back: too many have no answer",
		 "unanswered=%zu in_flight=%zu max=%zu held_back=%" PRIu64,
		 c->late.count, c->late.in_flight, starts_max(c),
		 held_back - c->late.full_logged);
	c->late.full_logged = held_back;
}
