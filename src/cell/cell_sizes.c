#include "cell/cell_sizes.h"

/* Period at which all workers are noted again. */
#define SIZES_PERIOD_MS 10000
/* Least time between two records. */
#define SIZES_STORE_MS 1000

void cell_sizes_note(struct cell *c, const struct cell_worker *w)
{
	struct worker_size s = {0};
	uint32_t i;

	s.service = w->service;
	s.cpu = w->entry.cpu;
	s.memory_mb = w->entry.memory_mb;
	s.accelerators = w->entry.accelerators;
	s.seen_ms = c->now_ms;
	size_table_add(&c->sizes, &s);
	for (i = 0; i < w->entry.label_count; i++) {
		s.label = name_hash(w->entry.labels[i]);
		size_table_add(&c->sizes, &s);
	}
}

static void store(struct cell *c)
{
	struct str value;
	struct buf b;

	buf_init(&b);
	size_table_write(&c->sizes, &b);
	value.data = b.data;
	value.len = b.len;
	cell_record_add(c, str_of(SIZES_KEY), value);
	buf_finish(&b);
	c->sizes.is_changed = false;
}

void cell_sizes_tick(struct cell *c)
{
	const struct cell_worker *w;

	if (!c->is_registry_read)
		return;
	if (c->now_ms >= c->sizes_due_ms) {
		c->sizes_due_ms = c->now_ms + SIZES_PERIOD_MS;
		for (w = c->workers; w; w = w->next)
			if (w->registered)
				cell_sizes_note(c, w);
		size_table_expire(&c->sizes, c->now_ms);
	}
	if (!c->sizes.is_changed || c->now_ms < c->sizes_store_due_ms)
		return;
	c->sizes_store_due_ms = c->now_ms + SIZES_STORE_MS;
	store(c);
}
