#ifndef HOST_RETRY_AFTER_H
#define HOST_RETRY_AFTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum retry_reason - what a refused caller has to wait for
 * @RETRY_OUTAGE: the store takes nothing, or is not known to
 * @RETRY_BACKLOG: the store answers, and other records wait in front
 * @RETRY_CELL_FULL: the store answers, and the workers have no free processors
 *	for work of this priority
 * @RETRY_UNREAD: this host has not read the log or the configuration, or not
 *	for too long; another host may have
 */
enum retry_reason {
	RETRY_OUTAGE,
	RETRY_BACKLOG,
	RETRY_CELL_FULL,
	RETRY_UNREAD,
	RETRY_REASON_COUNT,
};

/**
 * enum retry_class - how soon the jobs of a queue have to come back
 */
enum retry_class {
	RETRY_NORMAL,
	RETRY_URGENT,
	RETRY_WITH_SLACK,
};

/**
 * struct retry_state - what a host knows when it refuses a call
 * @outage_ms: for how long the store has taken nothing, or the caller's record
 *	has waited for it; 0 if neither is known
 * @store_answers: the store has taken records a moment ago
 * @queued: records that wait on this host
 * @is_full: the owner has reported that the workers have no free processors for
 *	work of this priority
 * @retry_class: of the job's queue
 */
struct retry_state {
	int64_t outage_ms;
	bool store_answers;
	size_t queued;
	bool is_full;
	enum retry_class retry_class;
};

/**
 * struct retry_advice - what a refused caller is told
 * @wait_ms: whole seconds, since the header holds no fractions
 */
struct retry_advice {
	enum retry_reason reason;
	uint32_t wait_ms;
};

/**
 * retry_class_of() - class of the jobs of a queue
 * @objective_ms: fixed part of the queue's latency objective, 0 for none
 * @priority: of the queue, 0 is the most urgent
 *
 * Of a queue with an objective below a second, the least that a caller can be
 * told to wait uses it up. Where no queue has a priority, none gives way.
 */
enum retry_class retry_class_of(uint32_t objective_ms, uint32_t priority);

/**
 * retry_advise() - when a refused caller shall come back
 * @id: of the job, to spread the callers
 *
 * Answers callers who all come back in the same second after an outage or a
 * burst, or too often to outlast it: they have five tries.
 */
struct retry_advice retry_advise(const struct retry_state *s, uint64_t id);

/**
 * retry_after_ms() - wait during an outage of the store
 * @outage_ms: for how long the store has taken nothing, or the caller's record
 *	has waited for it; 0 if neither is known
 * @id: of the job, to spread the callers
 *
 * Answers a store that is dark for seconds. Nobody knows for how long: the
 * longer it has lasted, the longer it may go on, and a caller has few tries.
 * The wait grows with the outage, so that five tries of a caller outlast one of
 * 8 s, and differs between callers, so that they do not come back all at once.
 *
 * Return: milliseconds, 1000 to 4000; whole seconds, since the header holds no
 * fractions.
 */
uint32_t retry_after_ms(int64_t outage_ms, uint64_t id);

/**
 * retry_after_full_ms() - when the caller of a long-running job that found no
 * free processors shall come back
 * @id: of the job, to spread the callers
 *
 * Return: milliseconds, whole seconds.
 */
uint32_t retry_after_full_ms(uint64_t id);

/**
 * retry_reason_name() - reason of a wait, for the log and the metrics
 */
const char *retry_reason_name(enum retry_reason r);

#ifdef __cplusplus
}
#endif

#endif
