#ifndef CELL_CELL_SIZES_H
#define CELL_CELL_SIZES_H

#include "cell/cell_types.h"

/*
 * The sizes of the workers, stored for all hosts: they refuse jobs that no
 * worker is large enough for.
 */

/**
 * cell_sizes_note() - note the size of a worker that the registry lists
 */
void cell_sizes_note(struct cell *c, const struct cell_worker *w);

/**
 * cell_sizes_tick() - note the workers that are there, forget those that have
 * been away for long, and store the table if it has changed
 *
 * Nothing is stored before the registry has been read as a whole.
 */
void cell_sizes_tick(struct cell *c);

#endif
