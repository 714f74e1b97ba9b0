#include "base/event.h"

#include <inttypes.h>
#include <stdlib.h>

void event_log_init(struct event_log *l, const char *process, const char *zone)
{
	memset(l, 0, sizeof(*l));
	lock_init(&l->lock);
	l->next_seq = 1;
	name_set(l->process, process);
	name_set(l->zone, zone);
	l->ring = xcalloc(EVENT_RING_SIZE, sizeof(*l->ring));
}

void event_log_finish(struct event_log *l)
{
	free(l->ring);
	l->ring = NULL;
}

/* The caller holds the log's lock. */
static uint64_t clock_tick_locked(struct event_log *l, int64_t wall_ms)
{
	uint64_t wall = (uint64_t)wall_ms << EVENT_CLOCK_SHIFT;

	l->clock = wall > l->clock ? wall : l->clock + 1;
	return l->clock;
}

uint64_t event_clock_tick(struct event_log *l, int64_t wall_ms)
{
	uint64_t c;

	lock_take(&l->lock);
	c = clock_tick_locked(l, wall_ms);
	lock_give(&l->lock);
	return c;
}

void event_clock_merge(struct event_log *l, uint64_t clock)
{
	lock_take(&l->lock);
	if (clock > l->clock)
		l->clock = clock;
	lock_give(&l->lock);
}

void event_add(struct event_log *l, int64_t wall_ms, const char *name,
	       uint64_t task, uint32_t attempt, const char *detail)
{
	struct event *e;

	lock_take(&l->lock);
	e = &l->ring[l->next_seq % EVENT_RING_SIZE];
	memset(e, 0, sizeof(*e));
	e->clock = clock_tick_locked(l, wall_ms);
	e->seq = l->next_seq++;
	name_set(e->name, name);
	e->task = task;
	e->attempt = attempt;
	strncpy(e->detail, detail, sizeof(e->detail) - 1);
	lock_give(&l->lock);
}

static void event_write(const struct event_log *l, const struct event *e,
			struct buf *out)
{
	json_t *j = json_pack("{s:I,s:I,s:s,s:s,s:s,s:s,s:i,s:s}", "clock",
			      (json_int_t)e->clock, "seq", (json_int_t)e->seq,
			      "process", l->process, "zone", l->zone, "name",
			      e->name, "task", "", "attempt", (int)e->attempt,
			      "detail", e->detail);
	char task[NAME_SIZE] = "";
	char *text;

	if (!j)
		return;
	if (e->task)
		snprintf(task, sizeof(task), "%016" PRIx64, e->task);
	json_object_set_new(j, "task", json_string(task));
	text = json_dumps(j, JSON_COMPACT);
	if (text)
		buf_adds(out, text);
	free(text);
	json_decref(j);
}

void event_log_write(struct event_log *l, uint64_t since, struct buf *out)
{
	bool first = true;
	uint64_t seq;

	buf_adds(out, "[");
	lock_take(&l->lock);
	seq = l->next_seq > EVENT_RING_SIZE ? l->next_seq - EVENT_RING_SIZE : 1;
	if (seq <= since)
		seq = since + 1;
	for (; seq < l->next_seq; seq++) {
		if (!first)
			buf_adds(out, ",");
		first = false;
		event_write(l, &l->ring[seq % EVENT_RING_SIZE], out);
	}
	lock_give(&l->lock);
	buf_adds(out, "]\n");
}
