#ifndef CELL_CELL_LEASE_H
#define CELL_CELL_LEASE_H

#include "cell/cell_types.h"

/*
 * Leases of workers, and the records that tell the next owner which workers it
 * has to ask and how long their leases may last.
 */

/**
 * cell_lease_extend() - extend a worker's lease
 *
 * Return: end of the lease on the worker's clock, to be sent with an order; 0
 * while the worker's clock is not known.
 */
int64_t cell_lease_extend(struct cell *c, struct cell_worker *w);

/**
 * cell_lease_check_clock() - check that a run was confirmed on the clock by
 * which its lease is counted
 * @clock: the worker's clock as it confirmed the run; 0 if that is not known
 *
 * The clock of a new process starts anew: a deadline on the former clock is far
 * ahead there, and the lease lasts for the longest time that the worker grants.
 */
void cell_lease_check_clock(struct cell *c, const struct cell_task *t,
			    int64_t clock);

/**
 * cell_lease_adopt() - count on the leases that a worker may hold when it first
 * replies to this owner, or its new process does
 * @clock: the worker's clock in that reply
 *
 * A former owner may have renewed them up to now.
 */
void cell_lease_adopt(struct cell *c, struct cell_worker *w, int64_t clock);

/**
 * cell_lease_unanswered() - note that a call with a deadline got no answer
 * @to: process that it was sent to
 * @sent_ms: when it was sent, or a later time at which it was not yet received
 *
 * A new process that has received it may carry it out seconds later, with a
 * deadline on the former clock.
 */
void cell_lease_unanswered(struct cell *c, const struct worker_addr *to,
			   int64_t sent_ms);

/**
 * cell_lease_answered() - note that a call with a deadline was answered
 * @to: process that it was sent to
 *
 * If a new process has been heard since, that may have carried it out, with a
 * deadline on the former clock.
 */
void cell_lease_answered(struct cell *c, const struct worker_addr *to);

/**
 * cell_lease_fenced() - note that a worker's process refuses all calls of
 * before
 *
 * What they have extended until now lasts for the longest lease from now on at
 * most.
 */
void cell_lease_fenced(struct cell *c, struct cell_worker *w);

/**
 * cell_lease_left_ms() - time until all leases on a worker have ended,
 * also those of a former owner, on this host's clock
 */
int64_t cell_lease_left_ms(const struct cell *c, const struct cell_worker *w);

/**
 * cell_lease_is_expired() - whether all leases sent to a worker, also by
 * a former owner, have expired by the worker's own clock
 */
bool cell_lease_is_expired(const struct cell *c, const struct cell_worker *w);

/**
 * cell_lease_thaw() - extend a worker's leases again, as it has answered
 */
void cell_lease_thaw(struct cell *c, struct cell_worker *w);

/**
 * cell_lease_tick() - record a worker before it gets orders, and that its
 * leases are not extended while it is silent
 */
void cell_lease_tick(struct cell *c, struct cell_worker *w);

#endif
