#include "host/retry_after.h"

#define WAIT_MIN_MS 1000
/* A caller with five tries outlasts an outage of twice this. */
#define WAIT_MAX_MS 4000
/* Waits of callers that are refused at once differ by up to this. */
#define SPREAD_MS 1000

uint32_t retry_after_ms(int64_t outage_ms, uint64_t id)
{
	int64_t wait = outage_ms;

	if (wait < WAIT_MIN_MS)
		wait = WAIT_MIN_MS;
	if (wait > WAIT_MAX_MS)
		wait = WAIT_MAX_MS;
	/* Callers choose IDs at random. */
	return (uint32_t)(wait - SPREAD_MS / 2 + (int64_t)(id % SPREAD_MS));
}
