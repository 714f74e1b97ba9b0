#include "cell/cell_fence.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_lease.h"
#include "cell/cell_worker.h"

/* Bits of a raised fence that count new processes of a worker. */
#define RAISES_BITS 16
/* From this count on, the fence does not rise with a new process. */
#define RAISES_MAX ((1u << RAISES_BITS) - 1)

uint64_t cell_worker_fence(const struct cell *c, const struct cell_worker *w)
{
	if (!c->raises_fences)
		return c->epoch;
	return c->epoch << RAISES_BITS | w->entry.addr.raises;
}

bool cell_fence_is_raised(const struct cell *c, const struct cell_worker *w)
{
	return c->raises_fences && w->entry.addr.raises < RAISES_MAX;
}

static uint32_t next_raise(uint32_t raises)
{
	return raises < RAISES_MAX ? raises + 1 : raises;
}

void cell_fence_raise(struct cell_worker *w)
{
	w->refuses_older_calls = false;
	w->entry.addr.raises = next_raise(w->entry.addr.raises);
}

void cell_fence_removed(struct cell *c, const struct cell_worker *w)
{
	uint32_t next = next_raise(w->entry.addr.raises);

	if (c->least_raises < next)
		c->least_raises = next;
}

void cell_fence_answered(struct cell *c, struct cell_worker *w,
			 const struct worker_addr *a)
{
	if (w->refuses_older_calls || !cell_fence_is_raised(c, w) ||
	    a->raises != w->entry.addr.raises)
		return;
	w->refuses_older_calls = true;
	cell_lease_fenced(c, w);
}

static bool is_lower(const struct cell *c, const struct worker_addr *a)
{
	const struct cell_worker *w = cell_worker_find(c, a->id);

	if (!c->raises_fences)
		return false;
	return a->raises < (w ? w->entry.addr.raises : c->least_raises);
}

bool cell_fence_refused(struct cell *c, const struct worker_addr *a)
{
	if (!is_lower(c, a)) {
		c->ops->fenced(c->ctx);
		return true;
	}
	c->counts.late_refusals++;
	log_line(LOG_INFO, "call of before the present fence refused",
		 "worker=%s born=%" PRIu64 " raises=%u", a->id, a->born,
		 a->raises);
	return false;
}

void cell_raise_fences(struct cell *c)
{
	if (c->raises_fences || c->fences_record_end)
		return;
	log_line(LOG_INFO, "storing that fences are raised", "epoch=%" PRIu64,
		 c->epoch);
	cell_record_add(c, str_of(FENCES_KEY), str_of(FENCES_RAISED));
	c->fences_record_end = c->taken_bytes + c->pending_records.len;
}

void cell_fences_taken(struct cell *c)
{
	c->storing_fences =
		c->fences_record_end && c->fences_record_end <= c->taken_bytes;
}

void cell_fences_stored(struct cell *c)
{
	struct cell_worker *w;

	if (c->raises_fences || !c->storing_fences)
		return;
	c->raises_fences = true;
	c->least_raises = next_raise(c->least_raises);
	for (w = c->workers; w; w = w->next)
		cell_fence_raise(w);
	log_line(LOG_INFO, "raised fences in force", "epoch=%" PRIu64,
		 c->epoch);
}
