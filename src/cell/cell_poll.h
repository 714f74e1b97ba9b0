#ifndef CELL_CELL_POLL_H
#define CELL_CELL_POLL_H

#include "cell/cell_types.h"

/*
 * Polls of workers: their replies list runs and ends, and renew leases.
 */

/**
 * cell_poll_send() - poll a worker that no poll is in flight to
 */
void cell_poll_send(struct cell *c, struct cell_worker *w);

#endif
