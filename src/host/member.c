#include "host/member.h"

#include "base/logger.h"

/* Joins per time to live. Two of them may be lost before it runs out. */
#define JOINS_PER_TTL 4
/* The time to live, divided by this, is taken off as a margin: the store counts
 * from the arrival of a join, on its own clock. */
#define TTL_MARGIN_DIVISOR 10
#define JOIN_RETRY_MS 100
/* Handing a cell over takes a join by each of the two members. For
 * FAST_JOIN_FOR_MS after a new generation, joins are sent at this interval. */
#define FAST_JOIN_PERIOD_MS 100
#define FAST_JOIN_FOR_MS 800
/* Another member gets a cell with the next join of this one. The owner stores
 * before that what the next one should know. */
#define RELEASE_PAUSE_MS 100

void member_init(struct member *m, const struct store_ops *store, void *port,
		 const char *name, int64_t ttl_ms)
{
	memset(m, 0, sizeof(*m));
	m->store = store;
	m->port = port;
	m->ttl_ms = ttl_ms;
	name_set(m->name, name);
}

static void adopt_generation(struct member *m, const struct store_reply *r)
{
	if (r->assigned != m->assigned)
		log_line(LOG_INFO, "cells assigned",
			 "generation=%llu held=%llx before=%llx",
			 (unsigned long long)r->generation,
			 (unsigned long long)r->assigned,
			 (unsigned long long)m->assigned);
	if (r->generation != m->generation)
		m->fast_until_ms = r->sent_ms + FAST_JOIN_FOR_MS;
	if (m->assigned & ~r->assigned)
		m->release_due_ms = m->now_ms + RELEASE_PAUSE_MS;
	m->generation = r->generation;
	m->assigned = r->assigned;
}

static void decline_generation(struct member *m, const struct store_reply *r)
{
	if (r->generation != m->declined)
		log_line(LOG_INFO, "cells retained",
			 "generation=%llu declined=%llu retained=%llx "
			 "assigned=%llx",
			 (unsigned long long)m->generation,
			 (unsigned long long)r->generation,
			 (unsigned long long)m->retained,
			 (unsigned long long)r->assigned);
	m->declined = r->generation;
}

static void on_join(void *ctx, const struct store_reply *r)
{
	struct member *m = ctx;

	m->join_in_flight = false;
	if (m->out_of_group)
		return;
	if (r->status != STORE_OK) {
		m->due_ms = m->now_ms + JOIN_RETRY_MS;
		return;
	}
	if (m->now_ms < m->assigned_until_ms &&
	    (m->retained & m->assigned & ~r->assigned))
		decline_generation(m, r);
	else
		adopt_generation(m, r);
	if (!(m->assigned & ~r->assigned))
		m->listed_ms = r->sent_ms;
	m->assigned_until_ms =
		r->sent_ms + m->ttl_ms - m->ttl_ms / TTL_MARGIN_DIVISOR;
	m->due_ms = r->sent_ms + (r->sent_ms < m->fast_until_ms
					  ? FAST_JOIN_PERIOD_MS
					  : m->ttl_ms / JOINS_PER_TTL);
	if (m->due_ms < m->release_due_ms)
		m->due_ms = m->release_due_ms;
}

void member_tick(struct member *m, int64_t now_ms)
{
	m->now_ms = now_ms;
	if (m->join_in_flight || m->out_of_group || now_ms < m->due_ms)
		return;
	m->join_in_flight = true;
	m->store->join(m->port, m->name, m->generation, on_join, m);
}

static void on_leave(void *ctx, const struct store_reply *r)
{
	struct member *m = ctx;

	log_line(r->status == STORE_OK ? LOG_INFO : LOG_WARN,
		 "reply to group leave", "member=%s status=%d", m->name,
		 (int)r->status);
}

void member_leave(struct member *m)
{
	if (m->out_of_group)
		return;
	m->out_of_group = true;
	m->assigned = 0;
	m->generation = 0;
	m->store->leave(m->port, m->name, on_leave, m);
}

void member_join(struct member *m)
{
	m->out_of_group = false;
	m->due_ms = 0;
}
