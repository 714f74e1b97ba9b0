#ifndef CORE_RESPONSE_H
#define CORE_RESPONSE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum response_action - reaction to interference on one worker
 */
enum response_action {
	RESPONSE_NONE,       /* no action */
	RESPONSE_THROTTLE,   /* throttle the interfering task */
	RESPONSE_UNTHROTTLE, /* lift the throttle */
	RESPONSE_EVICT,      /* checkpoint and move the interfering task */
};

/**
 * struct response - state of the reaction to interference on one worker
 * @level: 0 when no task is throttled, 1 when one is
 * @last_action_ms: time of the last action on the worker
 * @above_count: measurements in a row above the upper limit
 * @below_count: measurements in a row below the lower limit
 */
struct response {
	int level;
	int64_t last_action_ms;
	uint32_t above_count;
	uint32_t below_count;
};

/**
 * struct response_limits - limits for actions
 * @upper: slowdown above which a measurement counts towards throttling or
 *         eviction
 * @lower: slowdown below which a measurement counts towards lifting the
 *         throttle
 * @count: measurements in a row above @upper that cause an action; lifting the
 *         throttle takes twice as many below @lower
 */
struct response_limits {
	double upper;
	double lower;
	uint32_t count;
};

/**
 * response_step() - choose the action after one measurement
 * @measured_ms: time of the measurement; a measurement not later than the last
 *               action is ignored, as it cannot show the effect of that action
 */
enum response_action response_step(struct response *r,
				   const struct response_limits *l,
				   int64_t now_ms, int64_t measured_ms,
				   double slowdown);

#ifdef __cplusplus
}
#endif

#endif
