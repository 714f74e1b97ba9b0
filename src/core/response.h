#ifndef CORE_RESPONSE_H
#define CORE_RESPONSE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum response_action - what to do about a slowed service on one worker
 */
enum response_action {
	RESPONSE_NONE,
	RESPONSE_THROTTLE,   /* slow the culprit down */
	RESPONSE_UNTHROTTLE, /* give the culprit its speed back */
	RESPONSE_EVICT,      /* checkpoint the culprit and place it elsewhere */
};

/**
 * struct response - the state of one worker's response
 * @level: 0 nothing, 1 throttled
 * @last_action_ms: when something was last done on the worker
 * @over: measurements in a row over the upper limit
 * @under: measurements in a row under the lower limit
 */
struct response {
	int level;
	int64_t last_action_ms;
	uint32_t over;
	uint32_t under;
};

/**
 * struct response_limits - when to act
 * @upper: slow-down over which a measurement counts against the culprit
 * @lower: slow-down under which it counts for giving speed back
 * @count: measurements in a row that it takes
 */
struct response_limits {
	double upper;
	double lower;
	uint32_t count;
};

/**
 * response_step() - decide on one measurement
 * @measured_ms: when it was taken; one from before the last action is not
 *               used, for it cannot show its result
 */
enum response_action response_step(struct response *r,
				   const struct response_limits *l,
				   int64_t now_ms, int64_t measured_ms,
				   double slowdown);

#ifdef __cplusplus
}
#endif

#endif
