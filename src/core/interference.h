#ifndef CORE_INTERFERENCE_H
#define CORE_INTERFERENCE_H

#include "base/index.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

#define INTERFERENCE_NEIGHBOURS_MAX 64

/**
 * struct neighbour - a task that shares the worker
 * @service: service_id() of its service
 * @load: its load relative to its usual load, 1.0 is usual
 */
struct neighbour {
	uint64_t service;
	double load;
};

/**
 * struct interference - learned slowdown of one service by another
 * @pairs: struct interference_pair by subject and neighbour
 * @list: all pairs, owned
 *
 * The effect of a pair is the extra run time that one neighbour of usual load
 * causes, as a share of the undisturbed time. The weight of what was learned
 * decays with time, so that a pair whose behaviour changes is learned again.
 */
struct interference {
	struct index pairs;
	struct interference_pair **list;
	size_t count;
};

void interference_init(struct interference *x);
void interference_finish(struct interference *x);

/**
 * interference_observe() - learn from one measurement
 * @subject: service that was measured
 * @load: load of the subject relative to its usual load
 * @slowdown: its run time over its undisturbed run time, 1.0 is undisturbed
 * @n: tasks that shared the worker during the measurement
 */
void interference_observe(struct interference *x, int64_t now_ms,
			  uint64_t subject, double load, double slowdown,
			  const struct neighbour *n, size_t count);

/**
 * interference_effect() - estimate the effect of one neighbour on a service
 *
 * Return: extra run time as a share of the undisturbed time; for an unknown
 * pair a small share above 0.
 */
double interference_effect(const struct interference *x, int64_t now_ms,
			   uint64_t subject, uint64_t neighbour);

/**
 * interference_confidence() - get the confidence in a pair's effect, 0 to 1
 */
double interference_confidence(const struct interference *x, int64_t now_ms,
			       uint64_t subject, uint64_t neighbour);

/**
 * interference_cost() - estimate the harm of placing a service beside others
 *
 * Return: sum of the effects of the service on its neighbours and of the
 * neighbours on the service.
 */
double interference_cost(const struct interference *x, int64_t now_ms,
			 uint64_t service, const struct neighbour *n,
			 size_t count);

#ifdef __cplusplus
}
#endif

#endif
