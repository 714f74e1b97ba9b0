#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include "base/rng.h"
#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct candidate - a worker or rack that a task could be placed on
 * @free: capacity that is not committed
 * @capacity: total capacity
 * @tasks: number of tasks that run there
 * @interference: expected slowdown of the task and its neighbours, 0 is none;
 *                for a rack, the cost of messages to its owner
 */
struct candidate {
	struct resources free;
	struct resources capacity;
	uint32_t tasks;
	double interference;
};

/**
 * struct placement_ops - policy that chooses among candidates
 * @score: rates one candidate; the lowest score wins
 */
struct placement_ops {
	const char *name;
	double (*score)(const struct candidate *c, const struct resources *need,
			struct rng *rng);
};

/*
 * First fit takes the first candidate, random any of them, spread the one with
 * the lowest CPU utilisation. Best also weighs interference and free
 * accelerators that would be left without CPU.
 */
extern const struct placement_ops placement_first_fit;
extern const struct placement_ops placement_random;
extern const struct placement_ops placement_spread;
extern const struct placement_ops placement_best;

/**
 * resources_fit() - test whether every needed amount is free
 */
bool resources_fit(const struct resources *need, const struct resources *avail);

/**
 * placement_pick() - choose the best of the candidates with enough capacity
 *
 * Return: index of the candidate, or -ENOSPC when none has enough.
 */
int placement_pick(const struct placement_ops *ops, const struct candidate *c,
		   size_t count, const struct resources *need, struct rng *rng);

#ifdef __cplusplus
}
#endif

#endif
