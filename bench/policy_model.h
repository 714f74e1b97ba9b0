#ifndef BENCH_POLICY_MODEL_H
#define BENCH_POLICY_MODEL_H

#include "core/placement.h"

#define POLICIES 6

/**
 * struct policy - one way to place, with what it may know
 * @knows: sees the hidden pairs; the oracle
 */
struct policy {
	const char *name;
	const struct placement_ops *place;
	bool learns;
	bool is_oracle; /* the oracle */
	bool has_hysteresis;
};

/**
 * struct outcome - what one run measured
 */
struct outcome {
	double p50;
	double p99;
	double p999;
	double batch_per_hour;
	double evictions;
	double lost_work;
	double transition_work;
};

extern const struct policy policies[POLICIES];

/**
 * policy_run() - one run of the model; equal seeds give equal runs
 */
void policy_run(const struct policy *p, int workers, int cores, uint64_t seed,
		struct outcome *o);

#endif
