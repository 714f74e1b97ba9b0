#include "host/append_route.h"

/* The owner is not used for this long after it gave no answer, or refused
 * because it does not own the cell any more or the store turns it away. */
#define AVOID_OWNER_MS 1500

bool append_route_use_owner(const struct append_route *r, int64_t now_ms)
{
	return now_ms >= r->avoid_owner_until_ms;
}

/* After an append that failed either way, the other way is tried. */
void append_route_note(struct append_route *r, bool via_owner,
		       enum store_status status, int64_t now_ms)
{
	if (status == STORE_OK)
		return;
	r->avoid_owner_until_ms = via_owner ? now_ms + AVOID_OWNER_MS : 0;
}
