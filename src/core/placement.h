#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include "base/rng.h"
#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct candidate - one place where a task could go
 * @free: room left in it
 * @capacity: whole room
 * @tasks: tasks that run in it
 * @interference: expected slow-down of the task and its neighbours, 0 is none
 */
struct candidate {
	struct resources free;
	struct resources capacity;
	uint32_t tasks;
	double interference;
};

/**
 * struct placement_ops - one way to choose among places that fit
 * @score: lower is better
 */
struct placement_ops {
	const char *name;
	double (*score)(const struct candidate *c, const struct resources *need,
			struct rng *rng);
};

extern const struct placement_ops placement_first_fit;
extern const struct placement_ops placement_random;
extern const struct placement_ops placement_spread;
extern const struct placement_ops placement_best;

bool resources_fit(const struct resources *need, const struct resources *room);

/**
 * placement_pick() - the best of the candidates that fit
 *
 * Return: its place in the array, or -ENOSPC.
 */
int placement_pick(const struct placement_ops *ops, const struct candidate *c,
		   size_t count, const struct resources *need, struct rng *rng);

#ifdef __cplusplus
}
#endif

#endif
