#include "core/placement.h"

#include <errno.h>

/* Weight of the expected slowdown, relative to that of a full worker. */
#define INTERFERENCE_WEIGHT 4.0
/* Weights of an even spread and of a close fit. */
#define SPREAD_WEIGHT 1.0
#define FIT_WEIGHT 0.25

bool resources_fit(const struct resources *need, const struct resources *avail)
{
	return need->cpu_milli <= avail->cpu_milli &&
	       need->mem_mb <= avail->mem_mb && need->accel <= avail->accel &&
	       need->slots <= avail->slots && need->conns <= avail->conns;
}

static double cpu_utilisation(const struct candidate *c)
{
	if (!c->capacity.cpu_milli)
		return 1.0;
	return 1.0 - (double)c->free.cpu_milli / (double)c->capacity.cpu_milli;
}

static double score_first_fit(const struct candidate *c,
			      const struct resources *need, struct rng *rng)
{
	(void)c;
	(void)need;
	(void)rng;
	return 0.0;
}

static double score_random(const struct candidate *c,
			   const struct resources *need, struct rng *rng)
{
	(void)c;
	(void)need;
	return rng_unit(rng);
}

static double score_spread(const struct candidate *c,
			   const struct resources *need, struct rng *rng)
{
	(void)need;
	return cpu_utilisation(c) + rng_unit(rng) * 1e-6;
}

/* Accelerators on a worker without free CPU cannot be used by any task. */
static double stranded_accel_share(const struct candidate *c,
				   const struct resources *need)
{
	double cpu, accel;

	if (!c->free.accel || !c->capacity.accel)
		return 0.0;
	cpu = (double)(c->free.cpu_milli - need->cpu_milli) /
	      (double)c->capacity.cpu_milli;
	accel = (double)(c->free.accel - need->accel) /
		(double)c->capacity.accel;
	return accel > cpu ? accel - cpu : 0.0;
}

static double score_best(const struct candidate *c,
			 const struct resources *need, struct rng *rng)
{
	return SPREAD_WEIGHT * cpu_utilisation(c) +
	       INTERFERENCE_WEIGHT * c->interference +
	       FIT_WEIGHT * stranded_accel_share(c, need) +
	       rng_unit(rng) * 1e-6;
}

const struct placement_ops placement_first_fit = {"first-fit", score_first_fit};
const struct placement_ops placement_random = {"random", score_random};
const struct placement_ops placement_spread = {"spread", score_spread};
const struct placement_ops placement_best = {"best", score_best};

int placement_pick(const struct placement_ops *ops, const struct candidate *c,
		   size_t count, const struct resources *need, struct rng *rng)
{
	double best_score = 0.0;
	int best = -ENOSPC;
	size_t i;

	for (i = 0; i < count; i++) {
		double score;

		if (!resources_fit(need, &c[i].free))
			continue;
		score = ops->score(&c[i], need, rng);
		if (best >= 0 && score >= best_score)
			continue;
		best = (int)i;
		best_score = score;
	}
	return best;
}
