#ifndef BENCH_POLICY_MODEL_H
#define BENCH_POLICY_MODEL_H

#include "core/placement.h"

#define POLICIES 6

/**
 * struct policy - a placement policy and the information that it may use
 * @learns: learns interference from measurements
 * @is_oracle: knows the true interference
 * @has_hysteresis: throttles before it evicts, with separate upper and lower
 *                  limits; otherwise it evicts at once
 */
struct policy {
	const char *name;
	const struct placement_ops *place;
	bool learns;
	bool is_oracle;
	bool has_hysteresis;
};

/**
 * struct outcome - results of one run
 * @p50: median slowdown of the services, 1.0 is undisturbed
 * @p99: 99th percentile of the slowdown
 * @p999: 99.9th percentile of the slowdown
 * @batch_per_hour: batch work done, hours per hour
 * @evictions: evictions per hour
 * @lost_work: batch work lost since checkpoints, hours per hour
 * @transition_work: batch work done from the loss of a zone to ten minutes
 * after its return, hours
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
 * policy_run() - run the model once; deterministic for a given seed
 * @cores: CPU cores of each worker
 */
void policy_run(const struct policy *p, int workers, int cores, uint64_t seed,
		struct outcome *o);

#endif
