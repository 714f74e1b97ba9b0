#include "cell/size_table.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/index.h"

/* Longer than workers that are replaced or without power are away. */
#define SIZE_KEEP_MS 60000
#define ROWS_INITIAL_CAP 16
/* Larger tables are not stored: rows come from what workers say of themselves.
 */
#define ROWS_MAX 2000

struct stored_table {
	struct list sizes;
};

static const struct field size_rows[] = {
	FIELD_OF(U64, worker_size, service),
	FIELD_OF(U64, worker_size, label),
	FIELD_OF(U32, worker_size, cpu),
	FIELD_OF(U32, worker_size, memory_mb),
	FIELD_OF(U32, worker_size, accelerators),
};

static const struct shape size_shape = SHAPE_OF(size_rows, worker_size);

static const struct field table_rows[] = {
	FIELD_LIST_OF(stored_table, sizes, &size_shape),
};

static const struct shape table_shape = SHAPE_OF(table_rows, stored_table);

void size_table_init(struct size_table *t)
{
	memset(t, 0, sizeof(*t));
}

void size_table_finish(struct size_table *t)
{
	free(t->rows);
	size_table_init(t);
}

static bool is_as_large(const struct worker_size *a,
			const struct worker_size *b)
{
	return a->service == b->service && a->label == b->label &&
	       a->cpu >= b->cpu && a->memory_mb >= b->memory_mb &&
	       a->accelerators >= b->accelerators;
}

static void row_drop(struct size_table *t, size_t i)
{
	t->rows[i] = t->rows[--t->count];
	t->is_changed = true;
}

static void row_add(struct size_table *t, const struct worker_size *s)
{
	if (t->count == ROWS_MAX)
		return;
	if (t->count == t->cap) {
		t->cap = t->cap ? t->cap * 2 : ROWS_INITIAL_CAP;
		t->rows = xrealloc(t->rows, t->cap * sizeof(*t->rows));
	}
	t->rows[t->count++] = *s;
	t->is_changed = true;
}

void size_table_copy(struct size_table *t, const struct size_table *from)
{
	size_t i;

	t->count = 0;
	for (i = 0; i < from->count; i++)
		row_add(t, &from->rows[i]);
	t->is_changed = false;
}

void size_table_add(struct size_table *t, const struct worker_size *s)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		struct worker_size *row = &t->rows[i];

		if (!is_as_large(row, s))
			continue;
		if (is_as_large(s, row))
			row->seen_ms = s->seen_ms;
		return;
	}
	for (i = t->count; i-- > 0;)
		if (is_as_large(s, &t->rows[i]))
			row_drop(t, i);
	row_add(t, s);
}

void size_table_expire(struct size_table *t, int64_t now_ms)
{
	size_t i;

	for (i = t->count; i-- > 0;)
		if (now_ms - t->rows[i].seen_ms > SIZE_KEEP_MS)
			row_drop(t, i);
}

bool size_table_may_run(const struct size_table *t, const char *service,
			const struct job_step *s)
{
	struct worker_size demand = {0};
	bool is_service_known = false;
	size_t i;

	demand.service = name_hash(service);
	demand.label = s->worker_label[0] ? name_hash(s->worker_label) : 0;
	demand.cpu = s->flags & STEP_BEST_EFFORT ? 0 : s->cpu;
	demand.memory_mb = s->memory_mb;
	demand.accelerators = s->accelerators;
	for (i = 0; i < t->count; i++) {
		if (is_as_large(&t->rows[i], &demand))
			return true;
		is_service_known |= t->rows[i].service == demand.service;
	}
	/* A table that is full may lack a row. */
	return !is_service_known || t->count == ROWS_MAX;
}

void size_table_write(const struct size_table *t, struct buf *out)
{
	struct stored_table stored = {{t->rows, t->count}};

	shape_write(&table_shape, &stored, out);
}

int size_table_read(struct size_table *t, struct str text, int64_t now_ms)
{
	struct stored_table stored = {{NULL, 0}};
	struct worker_size *rows;
	struct arena a;
	size_t i;
	int err;

	arena_init(&a);
	err = shape_read(&table_shape, text, &stored, &a);
	if (err || stored.sizes.count > ROWS_MAX) {
		arena_finish(&a);
		return -EBADMSG;
	}
	rows = stored.sizes.items;
	t->count = 0;
	for (i = 0; i < stored.sizes.count; i++) {
		rows[i].seen_ms = now_ms;
		row_add(t, &rows[i]);
	}
	t->is_changed = false;
	arena_finish(&a);
	return 0;
}
