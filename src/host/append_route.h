#ifndef HOST_APPEND_ROUTE_H
#define HOST_APPEND_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct append_route - decides by which way a host stores callers' records
 * @avoid_owner_until_ms: boot time until which it appends them itself
 *
 * Answers a store that is slow, and one that turns some hosts away. A partition
 * takes one append at a time: when each takes long, the appends of all hosts
 * queue up in front of the owner's, and no task starts. So hosts pass their
 * records to the owner, which stores them with its own append. A host appends
 * itself while the owner does not answer, so that the accept path does not
 * depend on one process.
 */
struct append_route {
	int64_t avoid_owner_until_ms;
};

/**
 * append_route_use_owner() - whether the next append goes through the owner
 */
bool append_route_use_owner(const struct append_route *r, int64_t now_ms);

/**
 * append_route_note() - learn from the outcome of an append
 * @via_owner: it went through the owner
 */
void append_route_note(struct append_route *r, bool via_owner,
		       enum store_status status, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
