#include "cell/cell_loss.h"

#include "cell/cell_crash.h"
#include "cell/cell_job.h"

/* Ends of workers this far apart may have a cause in common: the power of a
 * zone does not fail on all of its workers at once. */
#define LOSS_SPREAD_MS 500
/* For so long, a loss shows that workers are being lost one by one. */
#define LOSS_RECENT_MS 10000

static bool is_task(const struct task_ref *r, const struct cell_task *t)
{
	return r->job == t->step->job->entry->id &&
	       r->occurrence == t->step->occurrence &&
	       r->step == t->step->number && r->index == t->index;
}

static void list_tasks(struct worker_loss *l, struct cell_worker *w,
		       bool suspected)
{
	struct cell_task *t;

	for (t = w->first_task; t; t = t->next) {
		if (!cell_crash_is_unsettled(t) || t->suspected != suspected)
			continue;
		if (l->count == LOSS_TASKS_MAX) {
			l->has_others = true;
			return;
		}
		cell_task_ref(t, &l->tasks[l->count++]);
		t->in_loss = true;
	}
}

bool cell_loss_is_expected(const struct cell *c, const struct cell_worker *w)
{
	return w->entry.draining && !w->loss_noted &&
	       c->now_ms >= w->leaving_at_ms;
}

void cell_loss_note(struct cell *c, struct cell_worker *w)
{
	struct worker_loss *l;

	if (w->loss_noted || cell_loss_is_expected(c, w))
		return;
	w->loss_noted = true;
	if (!w->confirmed && !w->first_task)
		return;
	l = &c->losses[c->losses_noted++ % LOSSES_MAX];
	cell_crash_forget_loss(c, l);
	l->worker = w->id;
	l->from_ms = w->answered_ms;
	l->to_ms = w->missed_polls ? w->silent_ms : c->now_ms;
	/* Runs of a former owner that this one does not know of. */
	l->has_others = !w->confirmed || w->unheard || w->orphans;
	list_tasks(l, w, true);
	list_tasks(l, w, false);
	c->lost_ms = c->now_ms;
}

bool cell_loss_lists(const struct worker_loss *l, const struct cell_task *t,
		     uint32_t *i)
{
	for (*i = 0; l->worker && *i < l->count; ++*i)
		if (is_task(&l->tasks[*i], t))
			return true;
	return false;
}

struct worker_loss *cell_loss_of(struct cell *c, const struct cell_worker *w)
{
	size_t n;

	for (n = 1; n <= LOSSES_MAX && n <= c->losses_noted; n++) {
		struct worker_loss *l =
			&c->losses[(c->losses_noted - n) % LOSSES_MAX];

		if (l->worker == w->id)
			return l;
	}
	return NULL;
}

struct worker_loss *cell_loss_find(struct cell *c, const struct cell_task *t,
				   uint32_t *i)
{
	size_t n;

	for (n = 1; n <= LOSSES_MAX && n <= c->losses_noted; n++) {
		struct worker_loss *l =
			&c->losses[(c->losses_noted - n) % LOSSES_MAX];

		if (l->worker == t->worker->id && cell_loss_lists(l, t, i) &&
		    l->tasks[*i].run == t->run)
			return l;
	}
	return NULL;
}

void cell_loss_clear(struct cell *c, struct cell_task *t)
{
	uint32_t i;
	size_t n;

	if (!t->in_loss)
		return;
	t->in_loss = false;
	for (n = 0; n < LOSSES_MAX; n++)
		if (cell_loss_lists(&c->losses[n], t, &i))
			c->losses[n].cleared |= 1U << i;
}

void cell_loss_explain(struct cell *c, struct cell_task *t)
{
	uint32_t i;
	size_t n;

	for (n = 0; n < LOSSES_MAX; n++)
		if (cell_loss_lists(&c->losses[n], t, &i))
			c->losses[n].explained = true;
}

static bool is_unexplained(const struct worker_loss *l)
{
	return !l->has_others && l->cleared == (1U << l->count) - 1;
}

static bool may_be_together(const struct worker_loss *l, int64_t from_ms,
			    int64_t to_ms)
{
	return from_ms <= l->to_ms + LOSS_SPREAD_MS &&
	       to_ms + LOSS_SPREAD_MS >= l->from_ms;
}

/* Whether a worker other than that of @l may have ended at the same time, for a
 * cause that is not known. */
static bool is_beside(const struct worker_loss *l, const struct worker_loss *o)
{
	return o->worker && o->worker != l->worker && !o->explained &&
	       may_be_together(l, o->from_ms, o->to_ms);
}

/* Whether a task that is listed with a loss will yet show what it does. */
static bool is_tried(const struct cell *c, const struct worker_loss *l)
{
	const struct cell_task *t;
	uint32_t i;

	for (i = 0; i < l->count; i++) {
		if (l->cleared >> i & 1)
			continue;
		t = cell_task_find(c, &l->tasks[i]);
		if (t && !t->held && t->state != TASK_DONE &&
		    !job_state_is_terminal(t->step->job->state))
			return true;
	}
	return false;
}

bool cell_loss_is_tried(const struct cell *c, const struct worker_loss *l)
{
	size_t n;

	for (n = 0; n < LOSSES_MAX; n++)
		if (is_beside(l, &c->losses[n]) && is_tried(c, &c->losses[n]))
			return true;
	return false;
}

static bool is_recent(const struct cell *c, const struct worker_loss *l)
{
	return l->worker && !l->explained &&
	       c->now_ms - l->to_ms < LOSS_RECENT_MS;
}

void cell_loss_weigh(const struct cell *c, const struct worker_loss *l,
		     struct loss_evidence *out)
{
	const struct cell_worker *w;
	size_t n;

	memset(out, 0, sizeof(*out));
	for (n = 0; n < LOSSES_MAX; n++) {
		const struct worker_loss *o = &c->losses[n];

		if (!is_beside(l, o)) {
			out->recent += is_recent(c, o) && is_unexplained(o);
			continue;
		}
		out->others++;
		out->unexplained += is_unexplained(o);
	}
	for (w = c->workers; w; w = w->next) {
		if (w->loss_noted || !w->registered || w->entry.draining ||
		    w->id == l->worker)
			continue;
		out->silent += w->missed_polls &&
			       may_be_together(l, w->answered_ms, w->silent_ms);
		out->awaited += w->answered_ms <= l->to_ms + LOSS_SPREAD_MS;
	}
}
