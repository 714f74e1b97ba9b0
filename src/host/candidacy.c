#include "host/candidacy.h"

#include "base/logger.h"

/* A host with less CPU than this is a standby; other hosts join the group at
 * once. An owner of 490 workers uses about a third of a core. */
#define OWNER_CPU_MILLI 200
/* Shortest time without an owner after which a standby joins: a takeover
 * between other hosts takes two to three seconds. */
#define STANDBY_WAIT_MS 6000
#define STANDBY_SPREAD_MS 6000
/* A standby leaves once the group has had another member for this long. */
#define HANDOVER_MS 3000
#define PARTS_MAX 64

void candidacy_init(struct candidacy *c, uint32_t cpu_milli, uint32_t parts,
		    struct member *m, int64_t now_ms)
{
	c->is_standby = cpu_milli < OWNER_CPU_MILLI;
	c->all_parts = parts < PARTS_MAX ? (1ULL << parts) - 1 : UINT64_MAX;
	c->standby_wait_ms = STANDBY_WAIT_MS +
			     (int64_t)(name_hash(m->name) % STANDBY_SPREAD_MS);
	c->shared_since_ms = 0;
	c->changed_ms = now_ms;
	m->out_of_group = c->is_standby;
}

static bool should_stay(struct candidacy *c, const struct member *m,
			uint32_t part, int64_t now_ms)
{
	if (!m->generation) /* no reply to the first join yet */
		return true;
	if (!(m->assigned >> part & 1))
		return false;
	if (m->assigned == c->all_parts) {
		c->shared_since_ms = 0;
		return true;
	}
	if (!c->shared_since_ms)
		c->shared_since_ms = now_ms;
	return now_ms - c->shared_since_ms < HANDOVER_MS;
}

void candidacy_tick(struct candidacy *c, struct member *m, uint32_t part,
		    int64_t owner_seen_ms, bool log_fresh, int64_t now_ms)
{
	bool in_group = !m->out_of_group;

	if (!c->is_standby) {
		member_tick(m, now_ms);
		return;
	}
	if (in_group && !should_stay(c, m, part, now_ms)) {
		log_line(LOG_INFO, "standby leaves the group",
			 "held=%llx generation=%llu",
			 (unsigned long long)m->assigned,
			 (unsigned long long)m->generation);
		member_leave(m);
		c->changed_ms = now_ms;
		c->shared_since_ms = 0;
	} else if (!in_group && log_fresh &&
		   now_ms - owner_seen_ms > c->standby_wait_ms &&
		   now_ms - c->changed_ms > c->standby_wait_ms) {
		log_line(LOG_WARN, "no owner seen; standby joins the group",
			 "no_owner_ms=%lld",
			 (long long)(now_ms - owner_seen_ms));
		member_join(m);
		c->changed_ms = now_ms;
	}
	member_tick(m, now_ms);
}
