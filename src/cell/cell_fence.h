#ifndef CELL_CELL_FENCE_H
#define CELL_CELL_FENCE_H

#include "cell/cell_types.h"

/*
 * The fence of calls to workers. A worker keeps the highest one that it has
 * seen, and does nothing for a lower one. A plain fence is the epoch. A raised
 * one is the epoch, shifted, plus the number of new processes of the worker
 * that this owner has seen: once a new process has answered one call with it,
 * that process refuses each call of before, however late it arrives, and lists
 * what it has carried out until then.
 *
 * All workers refuse the plain fence of an owner of an older build once they
 * have seen a raised one, see cell_raise_fences().
 */

/**
 * cell_worker_fence() - fence of the calls to a worker from now on
 */
uint64_t cell_worker_fence(const struct cell *c, const struct cell_worker *w);

/**
 * cell_fence_is_raised() - whether a new process of a worker refuses the calls
 * of before, once it has answered
 */
bool cell_fence_is_raised(const struct cell *c, const struct cell_worker *w);

/**
 * cell_fence_raise() - raise the fence of a worker, as its process has
 * restarted
 */
void cell_fence_raise(struct cell_worker *w);

/**
 * cell_fence_removed() - keep the fence of a worker that is removed from
 * falling when it is added again
 */
void cell_fence_removed(struct cell *c, const struct cell_worker *w);

/**
 * cell_fence_answered() - note that a worker's present process has answered a
 * poll
 * @a: as which the poll was sent
 */
void cell_fence_answered(struct cell *c, struct cell_worker *w,
			 const struct worker_addr *a);

/**
 * cell_fence_refused() - judge the refusal of a call by its fence
 * @a: as which the call was sent
 *
 * Only a refusal of the present fence shows another owner, which the host is
 * told of then. One of a lower fence is without effect.
 *
 * Return: whether another owner has the cell.
 */
bool cell_fence_refused(struct cell *c, const struct worker_addr *a);

/**
 * cell_fences_taken() - note that a batch has been taken, with the decision to
 * raise fences or without it
 */
void cell_fences_taken(struct cell *c);

/**
 * cell_fences_stored() - raise the fences of all workers if that is stored now
 */
void cell_fences_stored(struct cell *c);

#endif
