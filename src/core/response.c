#include "core/response.h"

enum response_action response_step(struct response *r,
				   const struct response_limits *l,
				   int64_t now_ms, int64_t measured_ms,
				   double slowdown)
{
	if (measured_ms <= r->last_action_ms)
		return RESPONSE_NONE;
	r->above_count = slowdown > l->upper ? r->above_count + 1 : 0;
	r->below_count = slowdown < l->lower ? r->below_count + 1 : 0;
	if (r->above_count >= l->count) {
		r->above_count = 0;
		r->last_action_ms = now_ms;
		if (r->level) {
			r->level = 0;
			return RESPONSE_EVICT;
		}
		r->level = 1;
		return RESPONSE_THROTTLE;
	}
	if (r->level && r->below_count >= l->count * 2) {
		r->below_count = 0;
		r->level = 0;
		r->last_action_ms = now_ms;
		return RESPONSE_UNTHROTTLE;
	}
	return RESPONSE_NONE;
}
