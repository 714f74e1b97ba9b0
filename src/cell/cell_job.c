#include "cell/cell_job.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"
#include "cell/cell_account.h"
#include "cell/cell_crash.h"
#include "cell/cell_progress.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"
#include "cell/cell_task.h"

/* The part of a run number that failed_runs holds. */
#define RUN_LOW_MASK 0xffff

static void step_free_arrays(struct cell_step *st)
{
	free(st->curve);
	free(st->tasks);
}

void cell_job_free(struct cell *c, struct cell_job *j)
{
	uint32_t k;
	size_t s;

	cell_quota_remove_job(c, j);
	for (k = 0; k < j->count; k++) {
		struct cell_occurrence *o = &j->occurrences[k];

		for (s = 0; o->steps && s < j->steps; s++)
			step_free_arrays(&o->steps[s]);
		free(o->steps);
	}
	free(j->occurrences);
	if (j->prev)
		j->prev->next = j->next;
	else
		c->jobs = j->next;
	if (j->next)
		j->next->prev = j->prev;
	if (j->entry) {
		j->entry->cell_job = NULL;
		job_entry_shrink(j->entry);
	}
	c->counts.jobs--;
	free(j);
}

void cell_occurrence_open(struct cell *c, struct cell_job *j, uint32_t k)
{
	struct cell_occurrence *o = &j->occurrences[k];
	size_t n = j->spec->steps.count, s;
	uint32_t i;

	o->open = true;
	o->opened_ms = j->spec->repeat ? c->now_ms : j->entry->added_ms;
	o->steps = xcalloc(n, sizeof(*o->steps));
	for (s = 0; s < n; s++) {
		struct cell_step *st = &o->steps[s];

		st->job = j;
		st->spec = job_spec_step(j->spec, s);
		st->number = (uint32_t)s;
		st->occurrence = k;
		st->image = name_hash(st->spec->image);
		st->waiting = st->spec->count;
		if (step_is_serving(st)) {
			st->curve = xcalloc(1, sizeof(*st->curve));
			effect_model_curve_init(&c->effect_model, st->image,
						st->curve);
		}
		st->tasks = xcalloc(st->spec->count, sizeof(*st->tasks));
		for (i = 0; i < st->spec->count; i++) {
			st->tasks[i].step = st;
			st->tasks[i].index = i;
		}
		j->waiting += st->waiting;
	}
	c->place_due = true;
}

void cell_occurrence_step_done(struct cell_job *j, struct cell_occurrence *o)
{
	if (++o->steps_done < j->spec->steps.count)
		return;
	o->done = true;
	j->occurrences_done++;
}

void cell_job_open_due(struct cell *c, struct cell_job *j)
{
	uint32_t k;

	for (k = 0; k < j->count; k++) {
		int64_t due =
			j->spec->first_ms + (int64_t)k * j->spec->interval_ms;

		if (j->occurrences[k].open)
			continue;
		if (j->spec->repeat && c->wall_ms < due)
			return;
		cell_occurrence_open(c, j, k);
	}
}

void cell_job_add(struct cell *c, struct job_entry *e, bool recovered)
{
	struct cell_job *j = xcalloc(1, sizeof(*j));

	j->entry = e;
	j->spec = e->spec;
	j->queue = name_hash(e->spec->queue);
	j->steps = e->spec->steps.count;
	j->state = e->state;
	j->recovered = recovered;
	j->count = job_spec_occurrence_count(e->spec);
	j->occurrences = xcalloc(j->count, sizeof(*j->occurrences));
	j->deadline_ms = e->added_ms + e->spec->objective_ms +
			 (int64_t)job_spec_critical_path_ms(e->spec) *
				 e->spec->stretch_milli / 1000;
	j->next = c->jobs;
	if (c->jobs)
		c->jobs->prev = j;
	c->jobs = j;
	e->cell_job = j;
	c->counts.jobs++;
	cell_quota_add_job(c, j);
	if (recovered)
		cell_progress_recover(c, j);
	cell_job_open_due(c, j);
	if (j->occurrences_done == j->count)
		cell_job_settle(c, j, JOB_COMPLETED);
}

struct cell_job *cell_job_find(const struct cell *c, uint64_t id)
{
	struct job_entry *e = job_view_get(c->view, id);

	return e ? e->cell_job : NULL;
}

struct cell_task *cell_task_find(const struct cell *c, const struct task_ref *r)
{
	struct cell_job *j = cell_job_find(c, r->job);
	struct cell_occurrence *o;

	if (!j || r->occurrence >= j->count || r->step >= j->spec->steps.count)
		return NULL;
	o = &j->occurrences[r->occurrence];
	if (!o->open || r->index >= o->steps[r->step].spec->count)
		return NULL;
	return &o->steps[r->step].tasks[r->index];
}

struct step_ref cell_step_ref(const struct cell_step *st)
{
	struct step_ref r = {st->job->entry->id, st->occurrence, st->number};

	return r;
}

void cell_task_ref(const struct cell_task *t, struct task_ref *out)
{
	out->job = t->step->job->entry->id;
	out->occurrence = t->step->occurrence;
	out->step = t->step->number;
	out->index = t->index;
	out->run = t->run;
}

void cell_job_mark_dirty(struct cell *c, struct cell_job *j)
{
	if (j->dirty)
		return;
	j->dirty = true;
	j->next_dirty = c->dirty;
	c->dirty = j;
}

static void step_for_each_task(struct cell *c, struct cell_step *st,
			       void (*fn)(struct cell *c, struct cell_task *t))
{
	uint32_t i;

	for (i = 0; i < st->spec->count; i++)
		fn(c, &st->tasks[i]);
}

static void job_for_each_task(struct cell *c, struct cell_job *j,
			      void (*fn)(struct cell *c, struct cell_task *t))
{
	uint32_t k;
	size_t s;

	for (k = 0; k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < j->spec->steps.count;
		     s++)
			step_for_each_task(c, &j->occurrences[k].steps[s], fn);
}

static void count_completed(struct cell *c, const struct cell_job *j)
{
	int64_t size = (int64_t)job_spec_core_seconds(j->spec);

	if (!job_spec_is_short(j->spec))
		return;
	histogram_add(&c->counts.short_completed, size);
	if (c->now_ms <= j->deadline_ms)
		histogram_add(&c->counts.short_in_time, size);
}

void cell_job_settle(struct cell *c, struct cell_job *j, uint32_t state)
{
	char spent[ACCOUNT_SIZE];

	if (job_state_is_terminal(j->state))
		return;
	j->state = state;
	cell_job_mark_dirty(c, j);
	job_for_each_task(c, j, cell_task_stop);
	if (state == JOB_COMPLETED)
		count_completed(c, j);
	cell_account_write(j, spent, sizeof(spent));
	log_line(LOG_INFO, "job settled",
		 "job=%016" PRIx64 " queue=%s state=%s age_ms=%lld "
		 "objective_ms=%lld core_seconds=%" PRIu64 " epoch=%" PRIu64
		 " runs_lost=%u runs_failed=%u%s",
		 j->entry->id, j->spec->queue, job_state_name(state),
		 (long long)(c->now_ms - j->entry->added_ms),
		 (long long)(j->deadline_ms - j->entry->added_ms),
		 job_spec_core_seconds(j->spec), c->epoch, j->runs_lost,
		 j->runs_failed, spent);
}

static void task_mark_done(struct cell *c, struct cell_task *t)
{
	struct cell_step *st = t->step;
	struct cell_job *j = st->job;

	t->state = TASK_DONE;
	st->done++;
	/* Done by an earlier run, it may have a later one that is in doubt. */
	if (!cell_task_is_in_doubt(c, t))
		cell_quota_release(c, t);
	cell_job_mark_dirty(c, j);
	c->place_due = true;
	if (st->done < st->spec->count)
		return;
	cell_occurrence_step_done(j, &j->occurrences[st->occurrence]);
	if (j->occurrences_done == j->count)
		cell_job_settle(c, j, JOB_COMPLETED);
}

static void gang_finish(struct cell *c, struct cell_task *t)
{
	uint32_t i;

	for (i = 0; i < t->step->spec->count; i++) {
		struct cell_task *m = &t->step->tasks[i];

		if (m == t || m->state == TASK_DONE)
			continue;
		if (m->worker)
			cell_task_mark_lost(c, m);
		if (m->state == TASK_WAITING) {
			m->step->waiting--;
			m->step->job->waiting--;
		}
		task_mark_done(c, m);
	}
}

static bool is_failure_counted(const struct cell_task *t, uint32_t run)
{
	size_t i;

	for (i = 0; i < t->failures && i < FAILURES_KEPT; i++)
		if (t->failed_runs[i] == (run & RUN_LOW_MASK))
			return true;
	return false;
}

void cell_task_count_failure(struct cell *c, struct cell_task *t, uint32_t run)
{
	struct cell_step *st = t->step;
	struct cell_job *j = st->job;

	if (step_has_flag(st, STEP_LONG_RUNNING) || t->state == TASK_DONE ||
	    job_state_is_terminal(j->state) || is_failure_counted(t, run))
		return;
	if (t->failures < FAILURES_KEPT)
		t->failed_runs[t->failures] = run & RUN_LOW_MASK;
	if (t->failures < UINT8_MAX)
		t->failures++;
	cell_job_mark_dirty(c, j);
	log_line(LOG_INFO, "run failed",
		 "job=%016" PRIx64 " step=%u index=%u run=%u failures=%u "
		 "max=%u",
		 j->entry->id, st->number, t->index, run, t->failures,
		 j->spec->attempts_max);
	if (t->failures >= j->spec->attempts_max)
		cell_job_settle(c, j, JOB_FAILED);
}

/* The caller has detached the task from its worker: unless the task is done, it
 * is in TASK_WAITING. */
void cell_task_apply_end(struct cell *c, struct cell_task *t, uint32_t run,
			 enum run_end how, const char *checkpoint)
{
	struct cell_job *j = t->step->job;

	cell_crash_ended(c, t, how);
	if (checkpoint && checkpoint[0])
		name_set(t->checkpoint, checkpoint);
	if (how == RUN_DONE)
		c->counts.ends_done++;
	else if (how == RUN_FAILED)
		c->counts.ends_failed++;
	else
		c->counts.ends_other++;
	j->runs_failed += how == RUN_FAILED;
	j->runs_lost += how != RUN_FAILED && how != RUN_DONE;
	if (job_state_is_terminal(j->state) || t->state == TASK_DONE)
		return;
	if (how == RUN_DONE && !step_has_flag(t->step, STEP_LONG_RUNNING)) {
		t->step->waiting--;
		j->waiting--;
		if (step_has_flag(t->step, STEP_GANG))
			gang_finish(c, t);
		task_mark_done(c, t);
		return;
	}
	if (how == RUN_FAILED)
		cell_task_count_failure(c, t, run);
	t->retry_at_ms = c->now_ms + RESTART_PAUSE_MS;
	c->place_due = true;
}

void cell_job_accepted(struct cell *c, struct job_entry *e)
{
	if (e->cell_job || job_state_is_terminal(e->state))
		return;
	if (job_spec_is_short(e->spec))
		histogram_add(&c->counts.short_accepted,
			      (int64_t)job_spec_core_seconds(e->spec));
	cell_job_add(c, e, false);
}

void cell_job_cancelled(struct cell *c, struct job_entry *e)
{
	struct cell_job *j = e->cell_job;

	if (!j || job_state_is_terminal(j->state))
		return;
	cell_job_settle(c, j, JOB_CANCELLED);
}

static void dirty_list_remove(struct cell_job **at, const struct cell_job *j)
{
	while (*at && *at != j)
		at = &(*at)->next_dirty;
	if (*at)
		*at = j->next_dirty;
}

static void job_unlist(struct cell *c, const struct cell_job *j)
{
	struct cell_task **at = &c->intents;

	dirty_list_remove(&c->dirty, j);
	dirty_list_remove(&c->round, j);
	while (*at) {
		if ((*at)->step->job == j)
			*at = (*at)->next_intent;
		else
			at = &(*at)->next_intent;
	}
}

void cell_job_dropped(struct cell *c, struct job_entry *e)
{
	struct cell_job *j = e->cell_job;

	if (!j)
		return;
	job_for_each_task(c, j, cell_task_mark_lost);
	job_unlist(c, j);
	cell_job_free(c, j);
}
