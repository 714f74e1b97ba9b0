#ifndef CELL_CELL_LOSS_H
#define CELL_CELL_LOSS_H

#include "cell/cell_types.h"

/*
 * Ends of workers' processes, as evidence on what has caused them. A task can
 * have caused the end of a worker that had an unsettled run of it. Workers that
 * end at the same time without such a run, or whose tasks have all run
 * elsewhere since, show a cause that the workers have in common.
 */

/**
 * struct loss_evidence - what else was lost at the time of a loss
 * @others: other workers that may have ended at the same time, except those
 *	that a contained task explains
 * @unexplained: those among them that no task can have ended
 * @recent: losses of the last seconds, at other times, that no task can have
 *	caused
 * @silent: other workers that may have, as they do not answer
 * @awaited: other workers that have not answered since
 */
struct loss_evidence {
	uint32_t others;
	uint32_t unexplained;
	uint32_t recent;
	uint32_t silent;
	uint32_t awaited;
};

/**
 * cell_loss_is_expected() - whether a worker that has ended has left as it had
 * announced
 *
 * A draining worker says how long it stays at least; one that is known to have
 * ended before has crashed.
 */
bool cell_loss_is_expected(const struct cell *c, const struct cell_worker *w);

/**
 * cell_loss_note() - note that a worker's process has ended
 *
 * To be called before its runs end. Without effect on a worker whose end is
 * expected, or whose loss is noted already.
 */
void cell_loss_note(struct cell *c, struct cell_worker *w);

/**
 * cell_loss_find() - the newest loss that lists the present run of a task
 * @i: set to its index there
 *
 * Return: NULL if there is none.
 */
struct worker_loss *cell_loss_find(struct cell *c, const struct cell_task *t,
				   uint32_t *i);

/**
 * cell_loss_of() - the newest loss of a worker
 *
 * Return: NULL if there is none.
 */
struct worker_loss *cell_loss_of(struct cell *c, const struct cell_worker *w);

/**
 * cell_loss_lists() - whether a loss lists any run of a task
 * @i: set to its index there
 */
bool cell_loss_lists(const struct worker_loss *l, const struct cell_task *t,
		     uint32_t *i);

/**
 * cell_loss_clear() - note that a task has run without ending its worker
 */
void cell_loss_clear(struct cell *c, struct cell_task *t);

/**
 * cell_loss_explain() - note that a task is known to end its workers
 */
void cell_loss_explain(struct cell *c, struct cell_task *t);

/**
 * cell_loss_weigh() - collect what speaks for a common cause of a loss
 */
void cell_loss_weigh(const struct cell *c, const struct worker_loss *l,
		     struct loss_evidence *out);

/**
 * cell_loss_is_tried() - whether a task that may have caused another loss of
 * that time will yet show elsewhere what it does
 */
bool cell_loss_is_tried(const struct cell *c, const struct worker_loss *l);

#endif
