#ifndef HOST_CANDIDACY_H
#define HOST_CANDIDACY_H

#include "host/member.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct candidacy - whether a host offers itself as owner of the cell
 * @reserve: too weak to own it while another can
 * @all: partitions that the group deals, as a bit set
 * @patience_ms: how long a reserve sees no owner before it steps in; spread,
 *	so that not all reserves step in at once
 * @shared_since_ms: since when the group has other members too, or 0
 * @changed_ms: when it started, entered the group or left it last
 */
struct candidacy {
	bool reserve;
	uint64_t all;
	int64_t patience_ms;
	int64_t shared_since_ms;
	int64_t changed_ms;
};

/**
 * candidacy_init() - set up
 * @cpu_milli: processor of this host, thousandths of a core
 * @parts: partitions that the group deals
 * @m: its membership; a reserve begins outside of the group
 */
void candidacy_init(struct candidacy *c, uint32_t cpu_milli, uint32_t parts,
		    struct member *m, int64_t now_ms);

/**
 * candidacy_tick() - enter the group, stay in it, or leave it
 * @part: the cell's partition
 * @owner_seen_ms: when an owner showed in the log last
 * @log_fresh: the log has been read up to its end
 */
void candidacy_tick(struct candidacy *c, struct member *m, uint32_t part,
		    int64_t owner_seen_ms, bool log_fresh, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
