#ifndef CELL_CELL_ACCOUNT_H
#define CELL_CELL_ACCOUNT_H

#include "cell/cell_types.h"

/* Buffer size for cell_account_write(). */
#define ACCOUNT_SIZE 256

/**
 * cell_account_update() - add the time since the last call to @spent_ms of each
 * job
 */
void cell_account_update(struct cell *c);

/**
 * cell_account_write() - write @spent_ms of a job as fields of a log line
 */
void cell_account_write(const struct cell_job *j, char *out, size_t size);

#endif
