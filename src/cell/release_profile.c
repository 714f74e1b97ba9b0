#include "cell/release_profile.h"

void release_profile_init(struct release_profile *p, int64_t now_ms,
			  const struct capacity *free)
{
	p->now_ms = now_ms;
	p->free = *free;
	p->count = 0;
}

void release_profile_add(struct release_profile *p, const struct release *r)
{
	size_t i;

	if (p->count == RELEASES_MAX)
		return;
	for (i = p->count++; i && p->releases[i - 1].at_ms > r->at_ms; i--)
		p->releases[i] = p->releases[i - 1];
	p->releases[i] = *r;
}

static bool has_room(const struct capacity *left)
{
	return left->cpu >= 0 && left->memory_mb >= 0 &&
	       left->accelerators >= 0;
}

bool release_profile_find(const struct release_profile *p,
			  const struct capacity *need, struct release *out)
{
	size_t i;

	out->at_ms = p->now_ms;
	out->late_ms = p->now_ms;
	out->capacity.cpu = p->free.cpu - need->cpu;
	out->capacity.memory_mb = p->free.memory_mb - need->memory_mb;
	out->capacity.accelerators = p->free.accelerators - need->accelerators;
	for (i = 0; i < p->count && !has_room(&out->capacity); i++) {
		const struct release *r = &p->releases[i];

		out->at_ms = r->at_ms;
		if (r->late_ms > out->late_ms)
			out->late_ms = r->late_ms;
		out->capacity.cpu += r->capacity.cpu;
		out->capacity.memory_mb += r->capacity.memory_mb;
		out->capacity.accelerators += r->capacity.accelerators;
	}
	return has_room(&out->capacity);
}
