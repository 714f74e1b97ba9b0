#ifndef HOST_CALLER_AUTH_H
#define HOST_CALLER_AUTH_H

#include "cell/queue_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum auth_verdict - whether a request may be served
 * @AUTH_CONFIG_TOO_OLD: this host cannot tell: a newer configuration may
 *	contain the key, may have withdrawn it, or may need none
 */
enum auth_verdict {
	AUTH_OK,
	AUTH_NO_KEY,
	AUTH_UNKNOWN_KEY,
	AUTH_CONFIG_TOO_OLD,
};

/**
 * struct auth_bounds - greatest age of a configuration for decisions on
 *	requests
 * @refuse_age_ms: to refuse a missing key, or one that it does not contain, to
 *	deny a queue, and to count the jobs of one
 * @serve_age_ms: to serve a key that it contains; INT64_MAX for no bound
 *
 * The age counts from the time at which the configuration was the newest one
 * in the store: from the sending of a read that reached the end of the log. A
 * key withdrawn before that time is known as withdrawn. One withdrawn later
 * was, at the time of the decision, withdrawn for less than the age. The caller
 * sent its request before the decision.
 */
struct auth_bounds {
	int64_t refuse_age_ms;
	int64_t serve_age_ms;
};

/**
 * auth_bounds_init() - derive the bounds from the settings of the deployment
 * @apply_ms: time by which a host has to apply a new configuration
 * @is_strict: a withdrawn key is refused also by hosts that do not reach the
 *	store
 * @revoke_ms: with @is_strict, time after which it has to be refused
 */
void auth_bounds_init(struct auth_bounds *b, uint32_t apply_ms, bool is_strict,
		      uint32_t revoke_ms);

/**
 * auth_bounds_poll_wait_ms() - how long a read of the operators' topic may wait
 * for a record, so that known keys are served all the time
 * @most_ms: longest time without a bound
 */
uint32_t auth_bounds_poll_wait_ms(const struct auth_bounds *b,
				  uint32_t most_ms);

/**
 * caller_auth_check() - decide whether a request to a queue may be served
 * @t: configuration of this host
 * @q: queue that the request is for
 * @key: key of the request; empty for none
 * @age_ms: age of @t at this moment, see struct auth_bounds
 * @account: receives the account of the key, or NULL: for a public queue, an
 *	unknown key, and while no accounts are configured
 */
enum auth_verdict caller_auth_check(const struct queue_table *t,
				    const struct queue *q, struct str key,
				    int64_t age_ms, const struct auth_bounds *b,
				    const struct account **account);

/**
 * caller_auth_may_access() - whether the caller of an account may see and
 * cancel a job
 * @owner: name of the account that submitted the job; empty for none
 * @account: name of the caller's account; empty for none
 *
 * A job without an account was submitted to a public queue, or before accounts
 * were configured: whoever knows its ID may access it.
 */
bool caller_auth_may_access(const struct queue_table *t, const char *owner,
			    const char *account);

const char *auth_verdict_name(enum auth_verdict v);

#ifdef __cplusplus
}
#endif

#endif
