#include "cell/load_table.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/index.h"

#define ROWS_INITIAL_CAP 4
/* Part of the capacity by which a figure has to change to be stored. */
#define CHANGE_DIVISOR 64
/* A table that has not been stored again for so many times counts for nothing.
 */
#define MISSED_RECORDS_MAX 3

struct stored_table {
	struct list loads;
};

static const struct field load_rows[] = {
	FIELD_OF(U64, load_row, service),
	FIELD_OF(U32, load_row, priority),
	FIELD_OF(U64, load_row, capacity),
	FIELD_OF(U64, load_row, long_running),
	FIELD_OF(U64, load_row, short_peak),
};

static const struct shape load_shape = SHAPE_OF(load_rows, load_row);

static const struct field table_rows[] = {
	FIELD_LIST_OF(stored_table, loads, &load_shape),
};

static const struct shape table_shape = SHAPE_OF(table_rows, stored_table);

void load_table_init(struct load_table *t)
{
	memset(t, 0, sizeof(*t));
}

void load_table_finish(struct load_table *t)
{
	free(t->rows);
	load_table_init(t);
}

static struct load_row *row_find(const struct load_table *t, uint64_t service,
				 uint32_t priority)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (t->rows[i].service == service &&
		    t->rows[i].priority == priority)
			return &t->rows[i];
	return NULL;
}

struct load_row *load_table_get(struct load_table *t, uint64_t service,
				uint32_t priority)
{
	struct load_row *row = row_find(t, service, priority);

	if (row || t->count == LOAD_ROWS_MAX)
		return row;
	if (t->count == t->cap) {
		t->cap = t->cap ? t->cap * 2 : ROWS_INITIAL_CAP;
		t->rows = xrealloc(t->rows, t->cap * sizeof(*t->rows));
	}
	row = &t->rows[t->count++];
	memset(row, 0, sizeof(*row));
	row->service = service;
	row->priority = priority;
	return row;
}

static void replace_rows(struct load_table *t, const struct load_row *rows,
			 size_t count)
{
	size_t i;

	t->count = 0;
	for (i = 0; i < count; i++) {
		struct load_row *row =
			load_table_get(t, rows[i].service, rows[i].priority);

		if (row)
			*row = rows[i];
	}
}

void load_table_copy(struct load_table *t, const struct load_table *from)
{
	replace_rows(t, from->rows, from->count);
}

static bool is_full(const struct load_table *t, uint64_t service,
		    uint32_t priority, uint64_t cpu)
{
	uint64_t capacity = 0, long_running = cpu, short_peak = 0;
	size_t i;

	for (i = 0; i < t->count; i++) {
		const struct load_row *row = &t->rows[i];

		if (row->service != service)
			continue;
		capacity = row->capacity;
		long_running += row->long_running;
		if (row->priority <= priority)
			short_peak += row->short_peak;
	}
	return short_peak && long_running > capacity / 2 &&
	       long_running + short_peak > capacity;
}

bool load_table_is_full(const struct load_table *t, const char *service,
			uint32_t priority, uint64_t cpu)
{
	return is_full(t, name_hash(service), priority, cpu);
}

bool load_table_is_current(const struct load_table *t, int64_t now_ms)
{
	return now_ms - t->read_ms < LOAD_STORE_MAX_MS * MISSED_RECORDS_MAX;
}

static bool is_far(uint64_t a, uint64_t b, uint64_t capacity)
{
	uint64_t distance = a > b ? a - b : b - a;

	return distance > capacity / CHANGE_DIVISOR;
}

static bool has_row_like(const struct load_table *t, const struct load_row *row)
{
	const struct load_row *other = row_find(t, row->service, row->priority);

	return other &&
	       !is_far(other->capacity, row->capacity, row->capacity) &&
	       !is_far(other->long_running, row->long_running, row->capacity) &&
	       !is_far(other->short_peak, row->short_peak, row->capacity);
}

bool load_table_differs(const struct load_table *a, const struct load_table *b)
{
	size_t i;

	if (a->count != b->count)
		return true;
	for (i = 0; i < a->count; i++) {
		const struct load_row *row = &a->rows[i];

		if (!has_row_like(b, row) ||
		    is_full(a, row->service, row->priority, 0) !=
			    is_full(b, row->service, row->priority, 0))
			return true;
	}
	return false;
}

void load_table_write(const struct load_table *t, struct buf *out)
{
	struct stored_table stored = {{t->rows, t->count}};

	shape_write(&table_shape, &stored, out);
}

int load_table_read(struct load_table *t, struct str text, int64_t now_ms)
{
	struct stored_table stored = {{NULL, 0}};
	struct arena a;
	int err;

	arena_init(&a);
	err = shape_read(&table_shape, text, &stored, &a);
	if (!err) {
		replace_rows(t, stored.loads.items, stored.loads.count);
		t->read_ms = now_ms;
	}
	arena_finish(&a);
	return err ? -EBADMSG : 0;
}
