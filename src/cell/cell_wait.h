#ifndef CELL_CELL_WAIT_H
#define CELL_CELL_WAIT_H

#include "cell/cell_types.h"

/**
 * cell_wait_oldest_ms() - how long the long-running task has waited that could
 * have been placed longest ago; 0 if none waits
 */
int64_t cell_wait_oldest_ms(const struct cell *c);

/**
 * cell_wait_log() - log why that task is not placed
 *
 * One line, and none while the wait is short.
 */
void cell_wait_log(const struct cell *c);

#endif
