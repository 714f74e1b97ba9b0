#include "cell/job_view.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell/job_cancel.h"

#define JOB_ID_DIGITS 16
#define KIND_CANCEL 'c'
#define KIND_PROGRESS 'p'
/* Longest stored lease: one day, far above the bound of the settings. */
#define LEASE_LEFT_MAX_MS 86400000

struct queue_count {
	uint32_t pending;
};

static const struct field known_rows[] = {
	FIELD_OF(NAME, known_worker, address),
	FIELD_OF(U64, known_worker, born),
	FIELD_OF(U64, known_worker, lease_left_ms),
};

static const struct shape known_shape = SHAPE_OF(known_rows, known_worker);

static const struct field owner_rows[] = {
	FIELD_OF(NAME, cell_owner, name),
	FIELD_OF(NAME, cell_owner, address),
	FIELD_OF(U32, cell_owner, record_version),
};

static const struct shape owner_shape = SHAPE_OF(owner_rows, cell_owner);

void job_view_init(struct job_view *v, const struct job_view_ops *ops,
		   void *ctx)
{
	memset(v, 0, sizeof(*v));
	arena_init(&v->memory);
	buf_init(&v->effect_model);
	size_table_init(&v->sizes);
	load_table_init(&v->loads);
	index_init(&v->by_id);
	index_init(&v->queues);
	index_init(&v->workers);
	v->ops = ops;
	v->ctx = ctx;
}

static struct queue_count *queue_get_or_add(struct job_view *v,
					    const char *name)
{
	uint64_t h = name_hash(name);
	struct queue_count *q = index_get(&v->queues, h);

	if (!q) {
		q = arena_alloc(&v->memory, sizeof(*q));
		index_put(&v->queues, h, q);
	}
	return q;
}

static void entry_update_pending(struct job_view *v, struct job_entry *e)
{
	bool is_pending = e->spec && !e->spec->repeat && !e->cancelled &&
			  e->state == JOB_QUEUED;

	if (is_pending == e->is_pending)
		return;
	e->is_pending = is_pending;
	if (is_pending)
		queue_get_or_add(v, e->spec->queue)->pending++;
	else
		queue_get_or_add(v, e->spec->queue)->pending--;
}

static void entry_clear_early_cancel(struct job_view *v, struct job_entry *e)
{
	v->early_cancels -= e->cancel_accounts.len != 0;
	buf_finish(&e->cancel_accounts);
	buf_init(&e->cancel_accounts);
}

static void entry_free(struct job_view *v, struct job_entry *e)
{
	if (e->is_pending)
		queue_get_or_add(v, e->spec->queue)->pending--;
	if (e->prev)
		e->prev->next = e->next;
	else
		v->jobs = e->next;
	if (e->next)
		e->next->prev = e->prev;
	index_remove(&v->by_id, e->id);
	arena_finish(&e->memory);
	entry_clear_early_cancel(v, e);
	buf_finish(&e->demand);
	buf_finish(&e->progress);
	free(e);
}

void job_view_finish(struct job_view *v)
{
	while (v->jobs)
		entry_free(v, v->jobs);
	while (v->known_workers) {
		struct known_worker *w = v->known_workers;

		v->known_workers = w->next;
		free(w);
	}
	buf_finish(&v->effect_model);
	size_table_finish(&v->sizes);
	load_table_finish(&v->loads);
	arena_finish(&v->memory);
	index_finish(&v->by_id);
	index_finish(&v->queues);
	index_finish(&v->workers);
}

struct job_entry *job_view_get(const struct job_view *v, uint64_t id)
{
	return index_get(&v->by_id, id);
}

uint64_t job_view_unused_id(const struct job_view *v)
{
	uint64_t id = UINT64_MAX;

	while (job_view_get(v, id))
		id--;
	return id;
}

uint32_t job_view_pending(const struct job_view *v, const char *queue)
{
	const struct queue_count *q = index_get(&v->queues, name_hash(queue));

	return q ? q->pending : 0;
}

static struct job_entry *entry_get_or_add(struct job_view *v, uint64_t id,
					  int64_t now_ms)
{
	struct job_entry *e = job_view_get(v, id);

	if (e)
		return e;
	e = xcalloc(1, sizeof(*e));
	e->id = id;
	e->added_ms = now_ms;
	e->added_number = v->applied;
	arena_init(&e->memory);
	buf_init(&e->cancel_accounts);
	buf_init(&e->demand);
	buf_init(&e->progress);
	e->next = v->jobs;
	if (v->jobs)
		v->jobs->prev = e;
	v->jobs = e;
	index_put(&v->by_id, id, e);
	return e;
}

void job_entry_set_state(struct job_view *v, struct job_entry *e,
			 uint32_t state, int64_t now_ms)
{
	if (job_state_is_terminal(e->state) || state < e->state)
		return;
	e->state = state;
	if (job_state_is_terminal(state))
		e->terminal_ms = now_ms;
	entry_update_pending(v, e);
}

static bool may_hold_runs(struct str progress)
{
	struct job_progress p = {0};
	bool may_run = false;
	struct arena a;
	size_t i;

	arena_init(&a);
	if (!job_progress_read(progress, &p, &a))
		for (i = 0; i < p.steps.count && !may_run; i++)
			may_run = step_progress_may_run(
				(struct step_progress *)p.steps.items + i);
	arena_finish(&a);
	return may_run;
}

void job_entry_shrink(struct job_entry *e)
{
	struct str progress = {e->progress.data, e->progress.len};

	if (!job_state_is_terminal(e->state) || e->cell_job)
		return;
	if (!progress.len || !may_hold_runs(progress))
		buf_clear(&e->progress);
	buf_shrink(&e->progress, 0);
	if (!e->spec)
		return;
	job_spec_write_demand(e->spec, &e->demand);
	buf_shrink(&e->demand, 0);
	e->spec = NULL;
	arena_finish(&e->memory);
}

const struct job_spec *job_entry_spec(const struct job_entry *e,
				      struct arena *a)
{
	struct str demand = {e->demand.data, e->demand.len};
	struct job_spec *s;

	if (e->spec || !e->is_accepted)
		return e->spec;
	s = arena_alloc(a, sizeof(*s));
	return job_spec_read(demand, s, a) ? NULL : s;
}

static int read_spec(struct job_entry *e, struct str value)
{
	struct job_spec s = {0};
	struct arena a;
	int err;

	arena_init(&a);
	err = job_spec_read(value, &s, &a);
	if (!err && s.id != e->id)
		err = -EBADMSG;
	if (!err)
		e->spec = job_spec_copy(&s, &e->memory);
	arena_finish(&a);
	return err;
}

static void entry_cancel(struct job_view *v, struct job_entry *e,
			 int64_t now_ms)
{
	if (e->cancelled || job_state_is_terminal(e->state))
		return;
	e->cancelled = true;
	entry_update_pending(v, e);
	job_entry_set_state(v, e, JOB_CANCELLED, now_ms);
	v->ops->cancelled(v->ctx, e);
	job_entry_shrink(e);
}

static struct str entry_cancel_accounts(const struct job_entry *e)
{
	struct str s = {e->cancel_accounts.data, e->cancel_accounts.len};

	return s;
}

static bool is_owned_by_one_of(const struct job_entry *e, struct str accounts)
{
	const struct job_spec *s;
	bool is_owned;
	struct arena a;

	arena_init(&a);
	s = job_entry_spec(e, &a);
	is_owned = !s || !s->account[0] ||
		   account_names_contain(accounts, s->account);
	arena_finish(&a);
	return is_owned;
}

/* Applies the cancellation that was stored before the job, and shows the job
 * as long as any other that has ended. */
static void apply_early_cancel(struct job_view *v, struct job_entry *e,
			       int64_t now_ms)
{
	struct str accounts = entry_cancel_accounts(e);

	e->terminal_ms = job_state_is_terminal(e->state) ? now_ms : 0;
	if (accounts.len && is_owned_by_one_of(e, accounts))
		entry_cancel(v, e, now_ms);
	entry_clear_early_cancel(v, e);
}

static void drop_entry(struct job_view *v, struct job_entry *e)
{
	v->ops->dropped(v->ctx, e);
	entry_free(v, e);
}

static int apply_accept(struct job_view *v, uint64_t id, struct str value,
			int64_t now_ms)
{
	struct job_entry *e = job_view_get(v, id);

	if (!value.len) {
		if (e)
			drop_entry(v, e);
		return 0;
	}
	if (e && e->is_accepted)
		return 0;
	e = entry_get_or_add(v, id, now_ms);
	if (read_spec(e, value))
		return -EBADMSG;
	e->is_accepted = true;
	entry_update_pending(v, e);
	apply_early_cancel(v, e, now_ms);
	v->ops->accepted(v->ctx, e);
	job_entry_shrink(e);
	return 0;
}

static int apply_cancel(struct job_view *v, uint64_t id, struct str value,
			int64_t now_ms)
{
	struct str accounts = {NULL, 0};
	bool is_limited = job_cancel_read(value, &accounts);
	struct job_entry *e;

	if (!value.len)
		return 0;
	e = entry_get_or_add(v, id, now_ms);
	if (is_limited && !e->is_accepted) {
		v->early_cancels += !e->cancel_accounts.len && accounts.len;
		account_names_add(&e->cancel_accounts, accounts);
		e->terminal_ms = now_ms;
	} else if (!is_limited || is_owned_by_one_of(e, accounts)) {
		entry_cancel(v, e, now_ms);
	}
	return 0;
}

static int apply_progress(struct job_view *v, uint64_t id, struct str value,
			  int64_t now_ms)
{
	struct job_progress p = {0};
	struct job_entry *e;
	struct arena a;
	int err;

	if (!value.len)
		return 0;
	arena_init(&a);
	err = job_progress_read(value, &p, &a);
	arena_finish(&a);
	if (err || p.state > JOB_CANCELLED)
		return -EBADMSG;
	e = entry_get_or_add(v, id, now_ms);
	buf_clear(&e->progress);
	buf_add(&e->progress, value.data, value.len);
	job_entry_set_state(v, e, p.state, now_ms);
	job_entry_shrink(e);
	return 0;
}

static void drop_worker(struct job_view *v, struct known_worker *w)
{
	struct known_worker **at = &v->known_workers;

	while (*at != w)
		at = &(*at)->next;
	*at = w->next;
	index_remove(&v->workers, name_hash(w->id));
	free(w);
}

static int apply_worker(struct job_view *v, struct str id, struct str value,
			int64_t now_ms)
{
	struct known_worker stored = {0}, *w;
	char name[NAME_SIZE];
	struct arena a;
	int err;

	if (id.len >= NAME_SIZE)
		return -EBADMSG;
	memcpy(name, id.data, id.len);
	name[id.len] = '\0';
	w = index_get(&v->workers, name_hash(name));
	if (w)
		w->read_ms = now_ms;
	if (!value.len) {
		if (w)
			drop_worker(v, w);
		return 0;
	}
	arena_init(&a);
	err = shape_read(&known_shape, value, &stored, &a);
	arena_finish(&a);
	if (err || stored.lease_left_ms > LEASE_LEFT_MAX_MS)
		return -EBADMSG;
	if (!w) {
		w = xcalloc(1, sizeof(*w));
		name_set(w->id, name);
		w->read_ms = now_ms;
		w->next = v->known_workers;
		v->known_workers = w;
		index_put(&v->workers, name_hash(name), w);
	}
	name_set(w->address, stored.address);
	w->born = stored.born;
	w->lease_left_ms = stored.lease_left_ms;
	w->leases_end_ms = stored.lease_left_ms
				   ? now_ms + (int64_t)stored.lease_left_ms
				   : 0;
	return 0;
}

size_t job_view_drop_unread(struct job_view *v, int64_t since_ms)
{
	struct known_worker *w, *next_worker;
	struct job_entry *e, *next;
	size_t dropped = 0;

	for (e = v->jobs; e; e = next) {
		next = e->next;
		if (e->read_ms >= since_ms)
			continue;
		drop_entry(v, e);
		dropped++;
	}
	for (w = v->known_workers; w; w = next_worker) {
		next_worker = w->next;
		if (w->read_ms >= since_ms)
			continue;
		drop_worker(v, w);
		dropped++;
	}
	return dropped;
}

static int apply_owner(struct job_view *v, struct str value)
{
	struct cell_owner owner = {"", "", 0};
	struct arena a;
	int err;

	arena_init(&a);
	err = shape_read(&owner_shape, value, &owner, &a);
	arena_finish(&a);
	if (!err)
		v->owner = owner;
	return err;
}

/* By another value, a later build may say something else. */
static int apply_fences(struct job_view *v, struct str value)
{
	if (!str_eq(value, str_of(FENCES_RAISED)))
		return -EBADMSG;
	v->raises_fences = true;
	return 0;
}

static int apply_loads(struct job_view *v, struct str value, int64_t now_ms)
{
	int err = load_table_read(&v->loads, value, now_ms);

	if (!err)
		v->loads_number = v->applied;
	return err;
}

/* @kind: 0, KIND_CANCEL or KIND_PROGRESS */
static int apply_job(struct job_view *v, uint64_t id, char kind,
		     struct str value, int64_t now_ms)
{
	switch (kind) {
	case 0:
		return apply_accept(v, id, value, now_ms);
	case KIND_CANCEL:
		return apply_cancel(v, id, value, now_ms);
	case KIND_PROGRESS:
		return apply_progress(v, id, value, now_ms);
	default:
		return -ENOENT;
	}
}

int job_view_apply(struct job_view *v, struct str key, struct str value,
		   int64_t now_ms)
{
	struct str digits = {key.data, JOB_ID_DIGITS};
	char canonical[JOB_KEY_SIZE];
	struct job_entry *e;
	char kind = 0;
	uint64_t id;
	int err;

	v->applied++;
	if (str_eq(key, str_of(EFFECT_MODEL_KEY))) {
		v->owner_seen_ms = now_ms;
		buf_clear(&v->effect_model);
		buf_add(&v->effect_model, value.data, value.len);
		return 0;
	}
	if (str_eq(key, str_of(SIZES_KEY)))
		return size_table_read(&v->sizes, value, now_ms);
	if (str_eq(key, str_of(LOADS_KEY)))
		return apply_loads(v, value, now_ms);
	if (str_eq(key, str_of(OWNER_KEY)))
		return apply_owner(v, value);
	if (str_eq(key, str_of(FENCES_KEY)))
		return apply_fences(v, value);
	if (key.len > 2 && !memcmp(key.data, WORKER_KEY_PREFIX, 2)) {
		struct str w = {key.data + 2, key.len - 2};

		return apply_worker(v, w, value, now_ms);
	}
	if (key.len < JOB_ID_DIGITS || job_id_parse(digits, &id))
		return -ENOENT;
	if (key.len > JOB_ID_DIGITS)
		kind = key.data[key.len - 1];
	/* A job has one key for each kind of record; others are not ours. */
	if (!str_eq(key, job_key(id, kind, canonical)))
		return -ENOENT;
	err = apply_job(v, id, kind, value, now_ms);
	e = job_view_get(v, id);
	if (e)
		e->read_ms = now_ms;
	return err;
}

struct str job_key(uint64_t id, char kind, char out[JOB_KEY_SIZE])
{
	int n = snprintf(out, JOB_KEY_SIZE, "%016" PRIx64, id);
	struct str s = {out, (size_t)n};

	if (kind) {
		out[s.len++] = '/';
		out[s.len++] = kind;
	}
	return s;
}

int job_id_parse(struct str text, uint64_t *id)
{
	uint64_t parsed = 0;
	size_t i;

	if (text.len != JOB_ID_DIGITS)
		return -EINVAL;
	for (i = 0; i < text.len; i++) {
		char c = text.data[i];
		unsigned int v;

		if (c >= '0' && c <= '9')
			v = (unsigned int)(c - '0');
		else if (c >= 'a' && c <= 'f')
			v = (unsigned int)(c - 'a') + 10;
		else if (c >= 'A' && c <= 'F')
			v = (unsigned int)(c - 'A') + 10;
		else
			return -EINVAL;
		parsed = parsed << 4 | v;
	}
	*id = parsed;
	return 0;
}

void job_entry_write_cancel(const struct job_entry *e, const char *account,
			    struct buf *out)
{
	struct str earlier = {NULL, 0};

	if (e && e->is_accepted) {
		job_cancel_write(out);
		return;
	}
	if (e)
		earlier = entry_cancel_accounts(e);
	job_cancel_write_early(earlier, account, out);
}

bool job_entry_is_cancelled_for(const struct job_entry *e, const char *account)
{
	return e->cancelled ||
	       account_names_contain(entry_cancel_accounts(e), account);
}

void known_worker_write(const struct known_worker *w, struct buf *out)
{
	shape_write(&known_shape, w, out);
}

void cell_owner_write(const struct cell_owner *o, struct buf *out)
{
	shape_write(&owner_shape, o, out);
}
