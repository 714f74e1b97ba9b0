#ifndef CELL_CELL_USAGE_H
#define CELL_CELL_USAGE_H

#include "cell/cell_types.h"

/**
 * cell_usage_update() - add up what the workers have and what tasks take of it,
 * into the counts of the cell and one log line
 *
 * It goes over all workers and their tasks: call it once a second.
 */
void cell_usage_update(struct cell *c);

#endif
