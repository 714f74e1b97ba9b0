#ifndef CELL_RELEASE_PROFILE_H
#define CELL_RELEASE_PROFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Tasks of one worker whose ends are considered; further ones count as staying.
 */
#define RELEASES_MAX 64

/**
 * struct capacity - capacity of a worker or of what tasks declare; may be
 * negative where a worker has less than its tasks declare
 * @cpu: in thousandths of a core
 */
struct capacity {
	int64_t cpu;
	int64_t memory_mb;
	int64_t accelerators;
};

/**
 * struct release - capacity that the end of one task releases
 * @at_ms: expected time
 * @late_ms: it is not expected later than this
 */
struct release {
	int64_t at_ms;
	int64_t late_ms;
	struct capacity capacity;
};

/**
 * struct release_profile - how much capacity of a worker is free when
 * @free: now, at @now_ms
 * @releases: @count of them, in the order of @at_ms
 */
struct release_profile {
	int64_t now_ms;
	struct capacity free;
	struct release releases[RELEASES_MAX];
	size_t count;
};

void release_profile_init(struct release_profile *p, int64_t now_ms,
			  const struct capacity *free);

/**
 * release_profile_add() - add the end of a task
 */
void release_profile_add(struct release_profile *p, const struct release *r);

/**
 * release_profile_find() - when the worker has room for a task
 * @out: receives the time, and what is left then beside the task
 *
 * Return: false when the releases do not suffice.
 */
bool release_profile_find(const struct release_profile *p,
			  const struct capacity *need, struct release *out);

#ifdef __cplusplus
}
#endif

#endif
