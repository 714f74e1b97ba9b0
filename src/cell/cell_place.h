#ifndef CELL_CELL_PLACE_H
#define CELL_CELL_PLACE_H

#include "cell/cell_types.h"

/**
 * enum cell_block - what keeps a worker from taking any task
 *
 * @BLOCK_UNCONFIRMED: it is not registered, or not all that its leases need is
 *	known or stored under this owner
 * @BLOCK_SILENT: it has not answered of late, or its leases are not extended
 * @BLOCK_TRIAL: a task with crashes is tried there
 * @BLOCK_ZONE: its zone is evacuated
 */
enum cell_block {
	BLOCK_NONE,
	BLOCK_UNCONFIRMED,
	BLOCK_DRAINING,
	BLOCK_SILENT,
	BLOCK_BACKOFF,
	BLOCK_TRIAL,
	BLOCK_ZONE,
	BLOCK_KINDS,
};

/**
 * cell_worker_block() - the first reason why a worker takes no tasks at present
 */
enum cell_block cell_worker_block(const struct cell *c,
				  const struct cell_worker *w);

/**
 * cell_place() - run one placement pass
 */
void cell_place(struct cell *c);

/**
 * cell_job_service() - name_hash() of the service whose pool runs a job
 */
uint64_t cell_job_service(const struct cell *c, const struct cell_job *j);

/**
 * cell_step_service() - name_hash() of the service whose pool runs a step
 */
uint64_t cell_step_service(const struct cell *c, const struct cell_step *st);

#endif
