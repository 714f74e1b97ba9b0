#include "adapters/request_memory.h"

#include <string.h>

#define FDS_DIVISOR 4
#define RESERVE_DIVISOR 4
/* First capacity of a body of unknown length. */
#define CAPACITY_MIN 1024

static void list_remove(struct request_memory *m, struct tracked_connection *c)
{
	struct connection_list *l;

	if (c->state >= CONNECTION_CLOSABLE_STATES)
		return;
	l = &m->lists[c->state];
	if (c->prev)
		c->prev->next = c->next;
	else
		l->first = c->next;
	if (c->next)
		c->next->prev = c->prev;
	else
		l->last = c->prev;
	c->prev = c->next = NULL;
}

static void list_add(struct request_memory *m, struct tracked_connection *c)
{
	struct connection_list *l;

	if (c->state >= CONNECTION_CLOSABLE_STATES)
		return;
	l = &m->lists[c->state];
	c->prev = l->last;
	c->next = NULL;
	if (l->last)
		l->last->next = c;
	else
		l->first = c;
	l->last = c;
}

static void begin_close(struct request_memory *m, struct tracked_connection *c)
{
	list_remove(m, c);
	c->state = CONNECTION_CLOSING;
	m->connections--;
}

static bool is_quiet(const struct tracked_connection *c, int64_t now_ms)
{
	return now_ms - c->progress_ms >= REQUEST_QUIET_MS;
}

/* Whether to close @a rather than @b: one that waits for its next request, or
 * is quiet, before one that is active; then the one without progress for
 * longer. */
static bool closes_before(const struct tracked_connection *a,
			  const struct tracked_connection *b, int64_t now_ms)
{
	bool is_a = a->state == CONNECTION_IDLE || is_quiet(a, now_ms);
	bool is_b = b->state == CONNECTION_IDLE || is_quiet(b, now_ms);

	return is_a != is_b ? is_a : a->progress_ms < b->progress_ms;
}

void request_memory_init(struct request_memory *m, size_t budget,
			 uint32_t connections_max)
{
	memset(m, 0, sizeof(*m));
	m->budget = budget ? budget : SIZE_MAX;
	m->connections_max = connections_max ? connections_max : UINT32_MAX;
}

uint32_t request_memory_connections(uint32_t fd_limit, uint64_t bytes,
				    uint32_t connection_bytes)
{
	uint64_t by_memory = bytes / connection_bytes;
	uint32_t by_fds = fd_limit / FDS_DIVISOR;
	uint32_t n = by_memory < by_fds ? (uint32_t)by_memory : by_fds;

	return n ? n : 1;
}

struct tracked_connection *request_memory_add(struct request_memory *m,
					      struct tracked_connection *c,
					      int64_t now_ms)
{
	struct tracked_connection *chosen = NULL;
	int i;

	if (m->connections >= m->connections_max) {
		for (i = 0; i < CONNECTION_CLOSABLE_STATES; i++) {
			struct tracked_connection *o = m->lists[i].first;

			if (o && (!chosen || closes_before(o, chosen, now_ms)))
				chosen = o;
		}
		if (!chosen)
			chosen = c;
	}
	c->state = CONNECTION_NEW;
	c->held = 0;
	c->progress_ms = now_ms;
	list_add(m, c);
	m->connections++;
	if (chosen)
		begin_close(m, chosen);
	return chosen;
}

void request_memory_remove(struct request_memory *m,
			   struct tracked_connection *c)
{
	request_memory_release(m, c);
	list_remove(m, c);
	if (c->state != CONNECTION_CLOSING)
		m->connections--;
}

bool request_memory_progress(struct request_memory *m,
			     struct tracked_connection *c,
			     enum connection_state state, int64_t now_ms)
{
	if (c->state == CONNECTION_CLOSING)
		return false;
	list_remove(m, c);
	c->state = state;
	c->progress_ms = now_ms;
	list_add(m, c);
	return true;
}

static size_t limit_for(const struct request_memory *m, size_t capacity,
			size_t largest)
{
	size_t limit = m->budget;

	if (capacity > REQUEST_SMALL_BYTES)
		limit -= limit / RESERVE_DIVISOR;
	return limit > largest ? limit : largest;
}

static struct tracked_connection *stalled_upload(const struct request_memory *m,
						 int64_t now_ms)
{
	struct tracked_connection *c = m->lists[CONNECTION_UPLOAD].first;

	return c && is_quiet(c, now_ms) ? c : NULL;
}

enum body_verdict request_memory_grow(struct request_memory *m,
				      struct tracked_connection *c,
				      size_t capacity, size_t largest,
				      int64_t now_ms,
				      struct tracked_connection **victim)
{
	size_t held = m->held - c->held + capacity;

	*victim = NULL;
	if (capacity <= c->held || held <= limit_for(m, capacity, largest)) {
		m->held = held;
		c->held = capacity;
		return BODY_GROWS;
	}
	*victim = stalled_upload(m, now_ms);
	if (!*victim || *victim == c) {
		*victim = NULL;
		return BODY_REFUSED;
	}
	begin_close(m, *victim);
	return BODY_WAITS_FOR_CLOSE;
}

bool request_memory_has_room(const struct request_memory *m, size_t capacity,
			     size_t largest, int64_t now_ms)
{
	return m->held + capacity <= limit_for(m, capacity, largest) ||
	       stalled_upload(m, now_ms);
}

void request_memory_release(struct request_memory *m,
			    struct tracked_connection *c)
{
	m->held -= c->held;
	c->held = 0;
}

size_t request_memory_capacity(size_t now, size_t needed, size_t announced,
			       size_t largest)
{
	size_t most = announced && announced < largest ? announced : largest;
	size_t n = now * 2 > CAPACITY_MIN ? now * 2 : CAPACITY_MIN;

	if (n > most)
		n = most;
	return n > needed ? n : needed;
}
