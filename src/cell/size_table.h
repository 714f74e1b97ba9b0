#ifndef CELL_SIZE_TABLE_H
#define CELL_SIZE_TABLE_H

#include "cell/job_spec.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct worker_size - capacity that at least one worker has
 * @service: name_hash() of the service whose pool the worker belongs to
 * @label: name_hash() of a label that it has; 0 for the row of all workers of
 *	the service
 * @cpu: in thousandths of a core
 * @seen_ms: boot time at which such a worker was seen last. Not stored.
 */
struct worker_size {
	uint64_t service;
	uint64_t label;
	uint32_t cpu;
	uint32_t memory_mb;
	uint32_t accelerators;
	int64_t seen_ms;
};

/**
 * struct size_table - the largest workers of each service and label
 * @rows: @count of them, room for @cap; none is as large as another one of the
 *	same service and label in all respects
 * @is_changed: rows were added or dropped; the caller clears it
 *
 * Answers callers whose tasks fit on no worker: their jobs would wait for ever.
 */
struct size_table {
	struct worker_size *rows;
	size_t count;
	size_t cap;
	bool is_changed;
};

void size_table_init(struct size_table *t);
void size_table_finish(struct size_table *t);

void size_table_copy(struct size_table *t, const struct size_table *from);

/**
 * size_table_add() - note the size of a worker
 */
void size_table_add(struct size_table *t, const struct worker_size *s);

/**
 * size_table_expire() - drop the sizes of workers that were not seen for a
 * while
 *
 * Workers that are away for a short time, as after a loss of power, still
 * count.
 */
void size_table_expire(struct size_table *t, int64_t now_ms);

/**
 * size_table_may_run() - whether a worker is known that is large enough for a
 * task of a step
 *
 * Return: also true for a service of which no worker is known.
 */
bool size_table_may_run(const struct size_table *t, const char *service,
			const struct job_step *s);

void size_table_write(const struct size_table *t, struct buf *out);

/**
 * size_table_read() - replace the table by a stored one
 *
 * Return: 0, or -EBADMSG; the table is not changed then.
 */
int size_table_read(struct size_table *t, struct str text, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
