#include "cell/cell_progress.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"
#include "cell/cell_crash.h"
#include "cell/cell_job.h"
#include "cell/cell_quota.h"
#include "cell/cell_recovery.h"

/* Each epoch numbers the runs of a task from its own base, or from the last
 * number of the epoch before if that has used more than its RUNS_PER_EPOCH
 * numbers. The bases repeat after RUN_EPOCHS epochs. */
#define RUNS_PER_EPOCH 1000
#define RUN_EPOCHS 1000000
#define BITS 8
#define RUN_LOW_BYTES 2
#define WORKER_REF_BYTES 2
#define TASK_INDEX_BYTES 2
#define CHECKPOINT_HEADER (TASK_INDEX_BYTES + 1)
/* Checkpoints stored with one job, bytes; tasks beyond start from zero after a
 * change of the owner. */
#define CHECKPOINTS_STORED_MAX 16384

/*
 * Decode the failed runs of one task from the start of @p.
 *
 * Return: bytes used, or 0 when @p is too short.
 */
static size_t failures_read(struct cell_task *t, struct str p)
{
	const unsigned char *b = (const unsigned char *)p.data;
	size_t n = p.len ? b[0] : 0, kept, i;

	kept = n < FAILURES_KEPT ? n : FAILURES_KEPT;
	if (!p.len || p.len < 1 + kept * RUN_LOW_BYTES)
		return 0;
	t->failures = (uint8_t)n;
	for (i = 0; i < kept; i++)
		t->failed_runs[i] =
			(uint16_t)(b[1 + i * RUN_LOW_BYTES] |
				   b[2 + i * RUN_LOW_BYTES] << BITS);
	return 1 + kept * RUN_LOW_BYTES;
}

static size_t failures_write(const struct cell_task *t, char *p)
{
	size_t kept = t->failures < FAILURES_KEPT ? t->failures : FAILURES_KEPT;
	size_t i;

	p[0] = (char)t->failures;
	for (i = 0; i < kept; i++) {
		p[1 + i * RUN_LOW_BYTES] = (char)t->failed_runs[i];
		p[2 + i * RUN_LOW_BYTES] = (char)(t->failed_runs[i] >> BITS);
	}
	return 1 + kept * RUN_LOW_BYTES;
}

static bool has_bit(struct str bits, uint32_t i)
{
	return i / BITS < bits.len &&
	       ((unsigned char)bits.data[i / BITS] >> i % BITS & 1);
}

/* Takes the reference of a worker off the start of @refs. */
static uint16_t worker_ref_read(struct str *refs)
{
	const unsigned char *b = (const unsigned char *)refs->data;

	if (refs->len < WORKER_REF_BYTES)
		return WORKER_REF_UNKNOWN;
	refs->data += WORKER_REF_BYTES;
	refs->len -= WORKER_REF_BYTES;
	return (uint16_t)(b[0] | b[1] << BITS);
}

static void worker_ref_write(const struct cell_task *t, char *p)
{
	uint16_t ref = t->worker ? cell_worker_ref(t->worker) : t->doubt_ref;

	p[0] = (char)ref;
	p[1] = (char)(ref >> BITS);
}

/* Checkpoints of tasks that are not known, or longer than any, are skipped. */
static void checkpoints_read(struct cell_step *st, struct str p)
{
	while (p.len >= CHECKPOINT_HEADER) {
		const unsigned char *b = (const unsigned char *)p.data;
		uint32_t index = (uint32_t)(b[0] | b[1] << BITS);
		size_t len = b[TASK_INDEX_BYTES];

		p.data += CHECKPOINT_HEADER;
		p.len -= CHECKPOINT_HEADER;
		if (len > p.len)
			return;
		if (index < st->spec->count && len < CHECKPOINT_SIZE) {
			char *to = st->tasks[index].checkpoint;

			memcpy(to, p.data, len);
			to[len] = '\0';
		}
		p.data += len;
		p.len -= len;
	}
}

/* A worker that runs a task reports its checkpoint; of any other task, only
 * this owner knows it. */
static bool has_checkpoint_to_store(const struct cell_task *t)
{
	return t->checkpoint[0] && t->index <= UINT16_MAX &&
	       (t->state == TASK_WAITING || t->state == TASK_STORING ||
		t->state == TASK_STARTING);
}

/* @left: bytes of the job's checkpoints that may yet be stored */
static void checkpoints_write(const struct cell_step *st, struct arena *a,
			      size_t *left, struct str *out)
{
	size_t used = 0, max = 0, len;
	uint32_t i;
	char *p;

	for (i = 0; i < st->spec->count; i++)
		if (has_checkpoint_to_store(&st->tasks[i]))
			max += CHECKPOINT_HEADER +
			       strlen(st->tasks[i].checkpoint);
	if (max > *left)
		max = *left;
	if (!max)
		return;
	p = arena_alloc(a, max);
	for (i = 0; i < st->spec->count; i++) {
		const struct cell_task *t = &st->tasks[i];

		len = strlen(t->checkpoint);
		if (!has_checkpoint_to_store(t) ||
		    used + CHECKPOINT_HEADER + len > max)
			continue;
		p[used] = (char)i;
		p[used + 1] = (char)(i >> BITS);
		p[used + TASK_INDEX_BYTES] = (char)len;
		memcpy(p + used + CHECKPOINT_HEADER, t->checkpoint, len);
		used += CHECKPOINT_HEADER + len;
	}
	*left -= used;
	out->data = p;
	out->len = used;
}

static uint32_t first_run_of(uint64_t epoch)
{
	return (uint32_t)(epoch % RUN_EPOCHS) * RUNS_PER_EPOCH;
}

static uint32_t last_run_of_former_owners(const struct cell *c,
					  const struct step_progress *p)
{
	uint32_t first = first_run_of(c->epoch);

	return p->last_run > first ? p->last_run : first;
}

static void progress_apply(struct cell *c, struct cell_job *j,
			   const struct step_progress *p)
{
	struct cell_occurrence *o;
	struct str failures = p->failures;
	struct str workers = p->workers;
	struct cell_step *st;
	uint32_t i;

	if (p->occurrence >= j->count || p->step >= j->spec->steps.count) {
		log_line(LOG_ERROR, "progress record names an unknown step",
			 "job=%016" PRIx64 " occurrence=%u step=%u",
			 j->entry->id, p->occurrence, p->step);
		return;
	}
	o = &j->occurrences[p->occurrence];
	if (!o->open)
		cell_occurrence_open(c, j, p->occurrence);
	st = &o->steps[p->step];
	if (st->is_recovered) {
		log_line(LOG_ERROR, "progress record names a step twice",
			 "job=%016" PRIx64 " occurrence=%u step=%u",
			 j->entry->id, p->occurrence, p->step);
		return;
	}
	st->is_recovered = true;
	checkpoints_read(st, p->checkpoints);
	for (i = 0; i < st->spec->count; i++) {
		struct cell_task *t = &st->tasks[i];
		bool is_done = p->all_done || has_bit(p->done, i);
		uint8_t crashes = 0;
		size_t used = failures_read(t, failures);

		failures.data += used;
		failures.len -= used;
		if (p->all_done || has_bit(p->ordered, i)) {
			t->ordered = true;
			t->last_run = last_run_of_former_owners(c, p);
		}
		if (!is_done) {
			if (t->ordered)
				t->doubt_ref = worker_ref_read(&workers);
			if (t->ordered && !c->former_named_workers)
				t->doubt_ref = WORKER_REF_UNKNOWN;
			if (cell_task_is_in_doubt(c, t))
				cell_quota_hold(t);
			if (i < p->crashes.len)
				crashes = (uint8_t)p->crashes.data[i];
			cell_crash_recover(c, t, crashes);
			continue;
		}
		t->state = TASK_DONE;
		st->done++;
		st->waiting--;
		j->waiting--;
	}
	if (st->done == st->spec->count)
		cell_occurrence_step_done(j, o);
}

void cell_progress_recover(struct cell *c, struct cell_job *j)
{
	struct job_progress p = {0};
	struct str text = {j->entry->progress.data, j->entry->progress.len};
	struct arena a;
	size_t i;

	if (!text.len)
		return;
	arena_init(&a);
	if (job_progress_read(text, &p, &a)) {
		log_line(LOG_ERROR, "progress record cannot be decoded",
			 "job=%016" PRIx64, j->entry->id);
		p.steps.count = 0;
	}
	for (i = 0; i < p.steps.count; i++)
		progress_apply(c, j, (struct step_progress *)p.steps.items + i);
	arena_finish(&a);
}

static void step_hold_runs(struct cell *c, const struct job_spec *spec,
			   const struct step_progress *p,
			   struct cell_worker *const *by_ref)
{
	struct str workers = p->workers;
	struct task_ref ref = {spec->id, p->occurrence, p->step, 0, 0};
	uint32_t i;

	if (p->all_done || p->step >= spec->steps.count)
		return;
	for (i = 0; i < job_spec_step(spec, p->step)->count; i++) {
		uint16_t r;

		if (!has_bit(p->ordered, i) || has_bit(p->done, i))
			continue;
		r = worker_ref_read(&workers);
		if (r != WORKER_REF_UNKNOWN && by_ref[r])
			cell_quota_hold_orphan(c, by_ref[r], &ref);
	}
}

static void entry_hold_runs(struct cell *c, const struct job_entry *e,
			    struct cell_worker *const *by_ref)
{
	struct str text = {e->progress.data, e->progress.len};
	struct job_progress p = {0};
	const struct job_spec *s;
	struct arena a;
	size_t i;

	arena_init(&a);
	s = job_entry_spec(e, &a);
	if (job_progress_read(text, &p, &a)) {
		log_line(LOG_ERROR, "progress record cannot be decoded",
			 "job=%016" PRIx64, e->id);
		p.steps.count = 0;
	}
	for (i = 0; s && s->account[0] && i < p.steps.count; i++)
		step_hold_runs(c, s, (struct step_progress *)p.steps.items + i,
			       by_ref);
	arena_finish(&a);
}

void cell_progress_hold_runs(struct cell *c)
{
	struct cell_worker **by_ref, *w;
	const struct job_entry *e;

	if (!c->unheard)
		return;
	by_ref = xcalloc(WORKER_REF_COUNT, sizeof(struct cell_worker *));
	for (w = c->workers; w; w = w->next)
		if (w->unheard)
			by_ref[cell_worker_ref(w)] = w;
	for (e = c->view->jobs; e; e = e->next)
		if (e->is_accepted && e->progress.len &&
		    job_state_is_terminal(e->state))
			entry_hold_runs(c, e, by_ref);
	free(by_ref);
}

/* Including a start that is sent once this record is stored. */
static uint32_t last_run_to_store(const struct cell *c,
				  const struct cell_step *st)
{
	uint32_t last = 0, i;

	for (i = 0; i < st->spec->count; i++)
		if (st->tasks[i].last_run >= last)
			last = st->tasks[i].last_run + 1;
	return last < first_run_of(c->epoch) + RUNS_PER_EPOCH ? 0 : last;
}

static void progress_of_step(const struct cell *c, const struct cell_step *st,
			     struct arena *a, size_t *checkpoints_left,
			     struct step_progress *out)
{
	uint32_t n = st->spec->count, i;
	size_t bytes = (n + BITS - 1) / BITS;
	size_t used = 0, named = 0;
	char *done, *ordered, *failures, *workers, *crashes;
	bool failed = false, any = false;

	out->occurrence = st->occurrence;
	out->step = st->number;
	out->all_done = st->done == n;
	if (out->all_done)
		return;
	done = arena_alloc(a, bytes);
	ordered = arena_alloc(a, bytes);
	workers = arena_alloc(a, (size_t)n * WORKER_REF_BYTES);
	crashes = arena_alloc(a, n);
	failures =
		arena_alloc(a, (size_t)n * (1 + FAILURES_KEPT * RUN_LOW_BYTES));
	for (i = 0; i < n; i++) {
		if (st->tasks[i].state == TASK_DONE)
			done[i / BITS] |= (char)(1 << i % BITS);
		if (st->tasks[i].ordered)
			ordered[i / BITS] |= (char)(1 << i % BITS);
		any |= st->tasks[i].ordered;
		if (st->tasks[i].ordered && st->tasks[i].state != TASK_DONE)
			worker_ref_write(&st->tasks[i],
					 workers + WORKER_REF_BYTES * named++);
		crashes[i] = (char)cell_crash_stored(&st->tasks[i]);
		used += failures_write(&st->tasks[i], failures + used);
		failed |= st->tasks[i].failures > 0;
	}
	out->done.data = done;
	out->done.len = st->done ? bytes : 0;
	out->ordered.data = ordered;
	out->ordered.len = any ? bytes : 0;
	out->workers.data = workers;
	out->workers.len = named * WORKER_REF_BYTES;
	out->failures.data = failures;
	out->failures.len = failed ? used : 0;
	out->crashes.data = crashes;
	out->crashes.len = st->suspects ? n : 0;
	checkpoints_write(st, a, checkpoints_left, &out->checkpoints);
	out->last_run = last_run_to_store(c, st);
}

static void write_record(const struct cell *c, const struct cell_job *j,
			 bool has_steps, size_t checkpoints_max,
			 struct buf *out)
{
	struct job_progress p = {c->epoch, j->state, {NULL, 0}};
	size_t n = j->spec->steps.count, s;
	struct step_progress *rows;
	char key[JOB_KEY_SIZE];
	struct str value;
	struct arena a;
	struct buf b;
	uint32_t k;

	arena_init(&a);
	buf_init(&b);
	rows = arena_alloc(&a, n * j->count * sizeof(*rows));
	p.steps.items = rows;
	for (k = 0; has_steps && k < j->count; k++)
		for (s = 0; j->occurrences[k].open && s < n; s++)
			progress_of_step(c, &j->occurrences[k].steps[s], &a,
					 &checkpoints_max,
					 &rows[p.steps.count++]);
	job_progress_write(&p, &b);
	value.data = b.data;
	value.len = b.len;
	store_record_add(out, job_key(j->entry->id, 'p', key), value);
	buf_finish(&b);
	arena_finish(&a);
}

/*
 * Checkpoints save work, but what else the record says is needed to run a task
 * in one place only. Of a job that has ended, the next owner counts the runs
 * that are being stopped, see cell_progress_hold_runs(); without them it may
 * exceed the limits of the account until they end.
 */
void cell_progress_write(const struct cell *c, const struct cell_job *j,
			 struct buf *out)
{
	bool is_terminal = job_state_is_terminal(j->state);
	bool has_steps = !is_terminal || j->held;
	size_t before = out->len;

	write_record(c, j, has_steps, CHECKPOINTS_STORED_MAX, out);
	if (cell_record_fits(c, out->len - before))
		return;
	out->len = before;
	write_record(c, j, has_steps, 0, out);
	if (cell_record_fits(c, out->len - before) || !is_terminal)
		return;
	out->len = before;
	write_record(c, j, false, 0, out);
}
