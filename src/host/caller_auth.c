#include "host/caller_auth.h"

/* A key that a configuration of at most this age does not contain is refused. A
 * read of the log waits up to a second for a record, and the age counts from
 * the sending of the read before it. */
#define REFUSE_AGE_MAX_MS 2500
/* Part of a bound that is kept as a margin for a host clock that is slow. */
#define CLOCK_MARGIN_DIVISOR 20

/* Reads of the log for each bound on the age: two may be lost or slow. */
#define READS_PER_BOUND 4

static int64_t less_margin_ms(uint32_t bound_ms)
{
	return bound_ms -
	       (bound_ms + CLOCK_MARGIN_DIVISOR - 1) / CLOCK_MARGIN_DIVISOR;
}

void auth_bounds_init(struct auth_bounds *b, uint32_t apply_ms, bool is_strict,
		      uint32_t revoke_ms)
{
	b->refuse_age_ms = less_margin_ms(apply_ms);
	if (b->refuse_age_ms > REFUSE_AGE_MAX_MS)
		b->refuse_age_ms = REFUSE_AGE_MAX_MS;
	b->serve_age_ms = is_strict ? less_margin_ms(revoke_ms) : INT64_MAX;
}

uint32_t auth_bounds_poll_wait_ms(const struct auth_bounds *b, uint32_t most_ms)
{
	int64_t wait = b->serve_age_ms / READS_PER_BOUND;

	return wait < most_ms ? (uint32_t)wait : most_ms;
}

enum auth_verdict caller_auth_check(const struct queue_table *t,
				    const struct queue *q, struct str key,
				    int64_t age_ms, const struct auth_bounds *b,
				    const struct account **account)
{
	*account = NULL;
	if (!t->has_accounts || q->is_public)
		return AUTH_OK;
	*account = account_table_find_key(&t->accounts, key);
	if (*account)
		return age_ms <= b->serve_age_ms ? AUTH_OK
						 : AUTH_CONFIG_TOO_OLD;
	if (age_ms > b->refuse_age_ms)
		return AUTH_CONFIG_TOO_OLD;
	return key.len ? AUTH_UNKNOWN_KEY : AUTH_NO_KEY;
}

bool caller_auth_may_access(const struct queue_table *t, const char *owner,
			    const char *account)
{
	return !t->has_accounts || !owner[0] || !strcmp(owner, account);
}

const char *auth_verdict_name(enum auth_verdict v)
{
	static const char *const names[] = {
		[AUTH_OK] = "ok",
		[AUTH_NO_KEY] = "no_key",
		[AUTH_UNKNOWN_KEY] = "unknown_key",
		[AUTH_CONFIG_TOO_OLD] = "config_too_old",
	};

	return names[v];
}
