#ifndef CELL_CELL_PACE_H
#define CELL_CELL_PACE_H

#include "cell/cell_types.h"

/**
 * cell_pace_worker() - update the effect model from a worker's poll reply and
 * throttle its best-effort tasks
 */
void cell_pace_worker(struct cell *c, struct cell_worker *w);

#endif
