#ifndef CELL_CELL_PROGRESS_H
#define CELL_CELL_PROGRESS_H

#include "cell/cell_types.h"

/**
 * cell_progress_recover() - restore a job's progress from its stored record
 */
void cell_progress_recover(struct cell *c, struct cell_job *j);

/**
 * cell_progress_hold_runs() - count the runs of ended jobs that a former owner
 * was stopping against the limits of their accounts
 *
 * They count until their worker is heard, or its leases have ended.
 */
void cell_progress_hold_runs(struct cell *c);

/**
 * cell_progress_write() - append a job's progress to a batch
 */
void cell_progress_write(const struct cell *c, const struct cell_job *j,
			 struct buf *out);

#endif
