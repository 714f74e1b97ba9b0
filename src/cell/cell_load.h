#ifndef CELL_CELL_LOAD_H
#define CELL_CELL_LOAD_H

#include "cell/cell_types.h"

/*
 * What long-running and short work ask of the workers, stored for all hosts:
 * they refuse long-running jobs that would take the processors that short work
 * of the same priority needs. A long-running task does not give them back, so
 * short work would wait for ever.
 */

void cell_load_init(struct cell *c);
void cell_load_finish(struct cell *c);

/**
 * cell_load_tick() - sample the load, and store it if it has changed
 *
 * Nothing is stored before the workers have had time to answer a new owner.
 */
void cell_load_tick(struct cell *c);

#endif
