#ifndef CELL_CELL_WORKER_H
#define CELL_CELL_WORKER_H

#include "cell/cell_types.h"

/**
 * cell_worker_find() - look up a worker by its id
 *
 * Return: the worker, or NULL.
 */
struct cell_worker *cell_worker_find(const struct cell *c, const char *id);

/**
 * cell_worker_has_address() - whether a worker still has the address to which a
 * call was sent
 *
 * An answer from another one, such as that of the worker that listens there
 * now, says nothing of its present process.
 */
bool cell_worker_has_address(const struct cell_worker *w,
			     const struct worker_addr *a);

/**
 * cell_worker_set_polled() - note that a poll of a worker's present process has
 * been sent, or that it is not in flight any more
 */
void cell_worker_set_polled(struct cell *c, struct cell_worker *w,
			    bool in_flight);

/**
 * cell_workers_tick() - poll workers, retry stops, expire leases
 *
 * Due polls are sent in each call. What else is due is done for all workers
 * within WORKERS_PERIOD_MS, and in one call for a few hundred of them.
 */
void cell_workers_tick(struct cell *c);

/**
 * cell_worker_reset() - note that a worker's process has restarted
 * @born: start time of the new process
 * @source: who tells of it, for the log
 *
 * Its clock, leases and numbering of ends are void. Runs that may be active on
 * the new process stay.
 */
void cell_worker_reset(struct cell *c, struct cell_worker *w, uint64_t born,
		       const char *source);

/**
 * cell_worker_crashed() - end the runs of a worker whose process has been
 * replaced
 */
void cell_worker_crashed(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_back_off() - give a worker no new tasks for a pause that doubles
 * with each call
 */
void cell_worker_back_off(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_mark_changed() - note that a worker may now accept a task that it
 * did not accept before
 */
void cell_worker_mark_changed(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_recover() - add a worker that a former owner has recorded
 */
struct cell_worker *cell_worker_recover(struct cell *c,
					const struct known_worker *k);

#endif
