#include "host/candidacy.h"

#include "base/logger.h"

/* Processor from which a host offers itself at once: an owner of 490 workers
 * uses about a third of a core. */
#define OWNER_CPU_MILLI 200
/* A takeover among other hosts takes two to three seconds. */
#define ABSENT_MS 6000
#define ABSENT_SPREAD_MS 6000
/* A reserve makes room for a member that stays for so long. */
#define HANDOVER_MS 3000
#define PARTS_MAX 64

void candidacy_init(struct candidacy *c, uint32_t cpu_milli, uint32_t parts,
		    struct member *m, int64_t now_ms)
{
	c->reserve = cpu_milli < OWNER_CPU_MILLI;
	c->all = parts < PARTS_MAX ? (1ULL << parts) - 1 : UINT64_MAX;
	c->patience_ms =
		ABSENT_MS + (int64_t)(name_hash(m->name) % ABSENT_SPREAD_MS);
	c->shared_since_ms = 0;
	c->changed_ms = now_ms;
	m->out_of_group = c->reserve;
}

static bool is_needed(struct candidacy *c, const struct member *m,
		      uint32_t part, int64_t now_ms)
{
	if (!m->generation) /* the first join is not answered yet */
		return true;
	if (!(m->assigned >> part & 1))
		return false;
	if (m->assigned == c->all) {
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
	bool entered = !m->out_of_group;

	if (!c->reserve) {
		member_tick(m, now_ms);
		return;
	}
	if (entered && !is_needed(c, m, part, now_ms)) {
		log_line(LOG_INFO, "reserve steps back",
			 "held=%llx generation=%llu",
			 (unsigned long long)m->assigned,
			 (unsigned long long)m->generation);
		member_leave(m);
		c->changed_ms = now_ms;
		c->shared_since_ms = 0;
	} else if (!entered && log_fresh &&
		   now_ms - owner_seen_ms > c->patience_ms &&
		   now_ms - c->changed_ms > c->patience_ms) {
		log_line(LOG_WARN, "reserve steps in", "no_owner_ms=%lld",
			 (long long)(now_ms - owner_seen_ms));
		member_join(m);
		c->changed_ms = now_ms;
	}
	member_tick(m, now_ms);
}
