#include "cell/cell_crash.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_contain.h"
#include "cell/cell_job.h"
#include "cell/cell_room.h"
#include "cell/cell_loss.h"

/* A run that its worker reports this long after its start has not crashed it.
 */
#define CRASH_SETTLE_MS 500
/* Crashes after which a task is contained, besides CRASHES_MIN if the last one
 * is conclusive. */
#define CRASHES_MAX 4
/* After this many crashes, whatever their cause, a task is contained if the
 * last one had no cause in common with others. */
#define CRASHES_SEEN_MAX 4
/* If at least one worker in this many may have ended at the same time, a task
 * is tried again up to CRASHES_SEEN_MAX crashes. */
#define LOST_SHARE 4
/* Within this time after a crash is known, so are the other losses of that
 * time, and most tasks that crash no workers have settled elsewhere; for the
 * others, the verdict waits up to VERDICT_MAX_MS. */
#define VERDICT_MS 2500
#define VERDICT_MAX_MS 5000
#define VERDICTS_PERIOD_MS 100
/* A task with CRASHES_CALM crashes, whatever their cause, is tried again once
 * no worker has been lost for this long, so that the next crash is conclusive;
 * but after CALM_WAIT_MAX_MS in any case. */
#define CRASHES_CALM 2
#define CALM_MS 1500
#define CALM_WAIT_MAX_MS 8000
/* After each crash from the second one on, a long-running task, or one that no
 * other worker suits, waits for one step more, up to the longest pause, before
 * it is tried again. */
#define PAUSE_STEP_MS 1000
#define PAUSE_MAX_MS 2000
/* A worker takes no other tasks during a trial, as long as no more than one
 * worker in this many has one. */
#define TRIAL_SHARE 4

static void trial_begin(struct cell *c, struct cell_task *t)
{
	t->on_trial = true;
	t->worker->trials++;
	c->trials++;
	c->contained_trials += t->contained;
}

static void trial_end(struct cell *c, struct cell_task *t)
{
	if (!t->on_trial)
		return;
	t->on_trial = false;
	t->worker->trials--;
	c->trials--;
	c->contained_trials -= t->contained;
	c->place_due = true;
}

void cell_crash_attach(struct cell *c, struct cell_task *t)
{
	t->settled = false;
	t->started_clock = 0;
	t->crash_doubt = DOUBT_NONE;
	if (t->suspected)
		trial_begin(c, t);
}

void cell_crash_detach(struct cell *c, struct cell_task *t)
{
	trial_end(c, t);
}

void cell_crash_started(struct cell_task *t, int64_t clock)
{
	if (!t->started_clock)
		t->started_clock = clock;
}

static void set_suspected(struct cell *c, struct cell_task *t, bool suspected)
{
	t->step->suspects += (uint32_t)suspected - (uint32_t)t->suspected;
	t->suspected = suspected;
	cell_job_mark_dirty(c, t->step->job);
}

/* The next owner knows of no loss before its time: a crash that is not charged
 * leaves the task suspected there. */
uint8_t cell_crash_stored(const struct cell_task *t)
{
	return t->suspected && !t->crashes ? 1 : t->crashes;
}

static bool is_long_running(const struct cell_task *t)
{
	return step_has_flag(t->step, STEP_LONG_RUNNING);
}

void cell_crash_recover(struct cell *c, struct cell_task *t, uint8_t crashes)
{
	t->crashes = crashes;
	t->crashes_seen = crashes;
	t->former_run = t->ordered;
	t->suspected = crashes != 0;
	t->step->suspects += t->suspected;
	if (crashes < CRASHES_MIN || is_long_running(t))
		return;
	t->crashed_ms = c->now_ms;
	cell_contain_task(c, t);
}

void cell_crash_reported(struct cell *c, struct cell_task *t, int64_t clock)
{
	cell_crash_started(t, clock);
	t->crash_doubt = DOUBT_NONE;
	if (t->settled || clock - t->started_clock < CRASH_SETTLE_MS)
		return;
	t->settled = true;
	t->former_run = false;
	trial_end(c, t);
	cell_contain_release(c, t);
	cell_loss_clear(c, t);
	t->crashes = 0;
	t->crashes_seen = 0;
	t->crashes_again = 0;
	if (t->suspected)
		set_suspected(c, t, false);
}

void cell_crash_ended(struct cell *c, struct cell_task *t, enum run_end how)
{
	if (how == RUN_DONE || how == RUN_FAILED)
		cell_loss_clear(c, t);
	if (how == RUN_DONE)
		cell_contain_release(c, t);
}

bool cell_crash_is_unsettled(const struct cell_task *t)
{
	return t->state != TASK_STORING && !t->settled;
}

uint32_t cell_crash_unsettled(const struct cell_worker *w)
{
	const struct cell_task *t;
	uint32_t n = 0;

	for (t = w->first_task; t; t = t->next)
		n += cell_crash_is_unsettled(t);
	return n;
}

bool cell_crash_may_share(const struct cell_task *t,
			  const struct cell_worker *w)
{
	return !t->suspected || !w->trials;
}

bool cell_crash_trial_blocks(const struct cell *c, const struct cell_worker *w)
{
	return w->trials &&
	       (uint64_t)c->trials * TRIAL_SHARE <= index_count(&c->worker_ids);
}

/* The job whose runs are the only unsettled ones on a worker; NULL if there is
 * none or more than one. */
static const struct cell_job *only_unsettled_job(const struct cell_worker *w)
{
	const struct cell_job *j = NULL;
	const struct cell_task *t;

	for (t = w->first_task; t; t = t->next) {
		if (!cell_crash_is_unsettled(t))
			continue;
		if (j && j != t->step->job)
			return NULL;
		j = t->step->job;
	}
	return j;
}

/* A worker that has crashed under the task before may have a cause of its own.
 */
static bool is_conclusive(const struct cell_task *t,
			  const struct cell_job *only)
{
	return only == t->step->job && t->avoid_worker != t->worker->id;
}

/* A long-running task is restarted soon however its runs end. */
static bool is_enough(const struct cell_task *t, bool alone)
{
	return !is_long_running(t) && (t->crashes >= CRASHES_MAX ||
				       t->crashes_seen >= CRASHES_SEEN_MAX ||
				       (t->crashes >= CRASHES_MIN && alone));
}

/* No number of crashes fails a job: only ends that a worker lists do. */
static void contain(struct cell *c, struct cell_task *t, bool alone,
		    const struct loss_evidence *e)
{
	cell_contain_task(c, t);
	cell_loss_explain(c, t);
	log_line(LOG_WARN, "task contained: workers crashed under it",
		 "job=%016" PRIx64 " step=%u index=%u crashes=%u seen=%u "
		 "alone=%d others_lost=%u unexplained=%u silent=%u "
		 "recent=%u pause_ms=%lld",
		 t->step->job->entry->id, t->step->number, t->index, t->crashes,
		 t->crashes_seen, alone, e->others, e->unexplained, e->silent,
		 e->recent, (long long)cell_contain_pause_ms(t));
}

static bool can_host_step(const struct cell_worker *w, const struct job_step *s)
{
	return w->accepts_tasks && s->cpu <= w->entry.cpu &&
	       s->memory_mb <= w->entry.memory_mb &&
	       s->accelerators <= w->entry.accelerators &&
	       cell_worker_has_label(w, s->worker_label);
}

/*
 * Whether the worker has crashed under the task before, and the task had no
 * choice of another one. Such crashes tell nothing more about the task: the
 * worker may have a cause of its own.
 */
static bool is_only_worker_again(const struct cell *c,
				 const struct cell_task *t,
				 const struct cell_worker *w)
{
	const struct cell_worker *o;

	if (t->avoid_worker != w->id || !t->crashes_seen)
		return false;
	for (o = c->workers; o; o = o->next)
		if (o != w && o->service == w->service &&
		    can_host_step(o, t->step->spec))
			return false;
	return true;
}

/* Return: whether the crash counts against the task. */
static bool count_crash(struct cell *c, struct cell_task *t,
			const struct cell_worker *w, struct worker_loss *l,
			uint32_t i, bool alone)
{
	t->crashed_ms = c->now_ms;
	cell_contain_crashed(c, t);
	if (is_only_worker_again(c, t, w)) {
		t->crashes_again += t->crashes_again < UINT8_MAX;
		return false;
	}
	t->crashes += t->crashes < UINT8_MAX;
	t->crashes_seen += t->crashes_seen < UINT8_MAX;
	t->avoid_worker = w->id;
	set_suspected(c, t, true);
	if (l) {
		l->charged |= 1U << i;
		l->alone |= (uint32_t)alone << i;
	}
	return true;
}

static void log_crash(const struct cell_task *t, uint32_t run,
		      const struct cell_worker *w, bool alone)
{
	log_line(LOG_WARN, "worker crashed under a task",
		 "job=%016" PRIx64 " step=%u index=%u run=%u worker=%s "
		 "crashes=%u seen=%u again=%u alone=%d",
		 t->step->job->entry->id, t->step->number, t->index, run,
		 w->entry.addr.id, t->crashes, t->crashes_seen,
		 t->crashes_again, alone);
}

static void charge(struct cell *c, struct cell_task *t, bool alone)
{
	struct cell_job *j = t->step->job;
	struct loss_evidence none = {0};
	struct worker_loss *l;
	uint32_t i = 0;
	bool is_counted;

	t->crash_doubt = DOUBT_NONE;
	if (job_state_is_terminal(j->state) || !cell_crash_is_unsettled(t))
		return;
	l = cell_loss_find(c, t, &i);
	is_counted = count_crash(c, t, t->worker, l, i, alone);
	log_crash(t, t->run, t->worker, alone);
	if (!is_counted || !is_enough(t, alone))
		return;
	if (!l) {
		/* Nothing is known that speaks for the task. */
		if (t->crashes_seen >= CRASHES_SEEN_MAX)
			contain(c, t, alone, &none);
		return;
	}
	t->held = true;
	l->pending |= 1U << i;
	l->charged_ms = c->now_ms;
	c->verdicts++;
}

static void release(struct cell *c, struct cell_task *t)
{
	t->held = false;
	c->place_due = true;
}

static void verdict_end(struct cell *c, struct worker_loss *l, uint32_t i)
{
	l->pending &= ~(1U << i);
	c->verdicts--;
}

static void excuse(struct cell *c, struct cell_task *t, struct worker_loss *l,
		   uint32_t i)
{
	l->excused |= 1U << i;
	if (!t->crashes)
		return;
	t->crashes--;
	cell_job_mark_dirty(c, t->step->job);
}

/* Whether a common cause of a crash is more likely than the task. After
 * CRASHES_SEEN_MAX crashes, it takes as many other losses. */
static bool has_common_cause(const struct cell_task *t,
			     const struct loss_evidence *e)
{
	return e->unexplained && (t->crashes_seen < CRASHES_SEEN_MAX ||
				  e->unexplained >= CRASHES_SEEN_MAX);
}

/* Take back the charges for crashes that others had in common. */
static void excuse_common(struct cell *c, struct cell_task *t)
{
	struct loss_evidence e;
	uint32_t i;
	size_t n;

	for (n = 0; n < LOSSES_MAX; n++) {
		struct worker_loss *l = &c->losses[n];

		if (!cell_loss_lists(l, t, &i) ||
		    !((l->charged & ~l->excused & ~l->cleared) >> i & 1))
			continue;
		cell_loss_weigh(c, l, &e);
		if (has_common_cause(t, &e))
			excuse(c, t, l, i);
	}
}

/*
 * Where a large share of the workers ends at once, and the tasks that they had
 * started are all held, nothing tells a common cause from tasks that crash
 * their workers. What the task does when it is tried once more decides.
 */
static bool is_undecided(const struct cell *c, const struct cell_task *t,
			 const struct loss_evidence *e)
{
	uint64_t lost = (uint64_t)e->others + e->silent + 1;

	return lost > 1 && lost * LOST_SHARE >= index_count(&c->worker_ids) &&
	       t->crashes_seen < CRASHES_SEEN_MAX;
}

/* Workers that have been lost one by one without the task make it likely that
 * its crashes were a coincidence. */
static bool may_coincide(const struct cell_task *t,
			 const struct loss_evidence *e)
{
	return e->recent && t->crashes_seen < CRASHES_SEEN_MAX;
}

/* Whether what is not known yet may speak for the task. */
static bool is_open(const struct cell *c, const struct worker_loss *l,
		    const struct loss_evidence *e)
{
	int64_t ms = c->now_ms - l->charged_ms;

	if (ms < VERDICT_MS)
		return e->others || e->awaited;
	return ms < VERDICT_MAX_MS && cell_loss_is_tried(c, l);
}

static void judge(struct cell *c, struct cell_task *t, struct worker_loss *l,
		  uint32_t i)
{
	bool alone = l->alone >> i & 1, is_guilty;
	struct loss_evidence e;

	excuse_common(c, t);
	cell_loss_weigh(c, l, &e);
	is_guilty = !(l->excused >> i & 1) && is_enough(t, alone);
	if (is_guilty && is_open(c, l, &e))
		return;
	verdict_end(c, l, i);
	release(c, t);
	if (is_guilty && !is_undecided(c, t, &e) && !may_coincide(t, &e)) {
		contain(c, t, alone, &e);
		return;
	}
	log_line(LOG_WARN, "task tried again though workers crashed under it",
		 "job=%016" PRIx64 " step=%u index=%u crashes=%u seen=%u "
		 "alone=%d others_lost=%u unexplained=%u silent=%u "
		 "recent=%u",
		 t->step->job->entry->id, t->step->number, t->index, t->crashes,
		 t->crashes_seen, alone, e.others, e.unexplained, e.silent,
		 e.recent);
}

static void judge_pending(struct cell *c, struct worker_loss *l)
{
	uint32_t i;

	for (i = 0; l->pending && i < l->count; i++) {
		struct cell_task *t;

		if (!(l->pending >> i & 1))
			continue;
		t = cell_task_find(c, &l->tasks[i]);
		if (t && t->held && t->state == TASK_WAITING &&
		    !job_state_is_terminal(t->step->job->state)) {
			judge(c, t, l, i);
			continue;
		}
		verdict_end(c, l, i);
		if (t)
			release(c, t);
	}
}

void cell_crash_tick(struct cell *c)
{
	size_t n;

	if (!c->verdicts || c->now_ms < c->verdicts_due_ms)
		return;
	c->verdicts_due_ms = c->now_ms + VERDICTS_PERIOD_MS;
	for (n = 0; n < LOSSES_MAX; n++)
		judge_pending(c, &c->losses[n]);
}

static bool is_pausing(const struct cell *c, const struct cell_task *t,
		       uint32_t steps)
{
	int64_t ms = (int64_t)steps * PAUSE_STEP_MS;

	return c->now_ms - t->crashed_ms <
	       (ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS);
}

bool cell_crash_is_held(const struct cell *c, const struct cell_task *t)
{
	uint32_t again = t->crashes_again;

	if (is_long_running(t))
		return t->crashes_seen &&
		       is_pausing(c, t, t->crashes_seen - 1U + again);
	return t->held || cell_contain_holds(c, t) ||
	       (again && is_pausing(c, t, again)) ||
	       (t->crashes_seen >= CRASHES_CALM &&
		c->now_ms - c->lost_ms < CALM_MS &&
		c->now_ms - t->retry_at_ms < CALM_WAIT_MAX_MS);
}

void cell_crash_charge_ended(struct cell *c, const struct cell_worker *w)
{
	struct worker_loss *l;
	struct cell_task *t;
	uint32_t i;

	if (!w->loss_noted || w->first_task)
		return;
	l = cell_loss_of(c, w);
	for (i = 0; l && i < l->count; i++) {
		t = cell_task_find(c, &l->tasks[i]);
		if (!t || (l->charged | l->cleared) >> i & 1 ||
		    t->state == TASK_DONE ||
		    job_state_is_terminal(t->step->job->state))
			continue;
		count_crash(c, t, w, l, i, false);
		log_crash(t, l->tasks[i].run, w, false);
	}
}

/* Empty an entry of the losses; the charges of the tasks in the bit mask @tasks
 * are taken back. */
static void forget(struct cell *c, struct worker_loss *l, uint32_t tasks)
{
	uint32_t i;

	for (i = 0; i < l->count; i++) {
		struct cell_task *t = cell_task_find(c, &l->tasks[i]);

		if (t && (tasks & ~l->excused & ~l->cleared) >> i & 1)
			excuse(c, t, l, i);
		if (!(l->pending >> i & 1))
			continue;
		verdict_end(c, l, i);
		if (t)
			release(c, t);
	}
	memset(l, 0, sizeof(*l));
}

void cell_crash_forget_loss(struct cell *c, struct worker_loss *l)
{
	forget(c, l, l->pending);
}

void cell_crash_restarted(struct cell_worker *w)
{
	w->loss_noted = false;
}

void cell_crash_answered(struct cell *c, struct cell_worker *w)
{
	size_t n;

	if (!w->loss_noted)
		return;
	w->loss_noted = false;
	for (n = 0; n < LOSSES_MAX; n++)
		if (c->losses[n].worker == w->id &&
		    c->losses[n].from_ms == w->answered_ms)
			forget(c, &c->losses[n], c->losses[n].charged);
}

void cell_crash_charge(struct cell *c, struct cell_worker *w)
{
	const struct cell_job *only = only_unsettled_job(w);
	struct cell_task *t, *next;

	if (cell_loss_is_expected(c, w))
		return;
	cell_loss_note(c, w);
	for (t = w->first_task; t; t = next) {
		next = t->next;
		charge(c, t, is_conclusive(t, only));
	}
}

void cell_crash_charge_listed(struct cell *c, struct cell_worker *w)
{
	const struct cell_job *only = only_unsettled_job(w);
	struct cell_task *t, *next;

	if (cell_loss_is_expected(c, w))
		return;
	cell_loss_note(c, w);
	for (t = w->first_task; t; t = next) {
		bool alone = is_conclusive(t, only);

		next = t->next;
		if (t->reported_ms)
			charge(c, t, alone);
		else if (t->state != TASK_STORING)
			t->crash_doubt = alone ? DOUBT_ALONE : DOUBT_SHARED;
	}
}

void cell_crash_charge_lost(struct cell *c, struct cell_task *t)
{
	if (t->crash_doubt)
		charge(c, t, t->crash_doubt == DOUBT_ALONE);
}
