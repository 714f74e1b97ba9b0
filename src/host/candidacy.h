#ifndef HOST_CANDIDACY_H
#define HOST_CANDIDACY_H

#include "host/member.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct candidacy - decides whether a host offers itself as owner of the cell
 * @is_standby: the host has too little CPU to own the cell while another host
 *	can
 * @all_parts: partitions that the group assigns, as a bit set
 * @standby_wait_ms: time without an owner after which a standby joins the
 *	group; differs from host to host, so that standbys do not all join at
 *	once
 * @shared_since_ms: boot time since which the group has had other members; 0
 *	while this host is the only one
 * @changed_ms: boot time of the last start, join or leave
 */
struct candidacy {
	bool is_standby;
	uint64_t all_parts;
	int64_t standby_wait_ms;
	int64_t shared_since_ms;
	int64_t changed_ms;
};

/**
 * candidacy_init() - decide whether this host is a standby
 * @cpu_milli: CPU of this host, in thousandths of a core
 * @parts: number of partitions that the group assigns
 * @m: membership of this host; a standby starts outside of the group
 */
void candidacy_init(struct candidacy *c, uint32_t cpu_milli, uint32_t parts,
		    struct member *m, int64_t now_ms);

/**
 * candidacy_tick() - join the group, stay in it, or leave it
 * @m: membership of this host; also gets its tick here
 * @part: partition of the cell
 * @owner_seen_ms: boot time at which the job log last showed an owner
 * @log_fresh: the job log was read up to its end a short time ago; otherwise a
 *	standby does not join
 */
void candidacy_tick(struct candidacy *c, struct member *m, uint32_t part,
		    int64_t owner_seen_ms, bool log_fresh, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
