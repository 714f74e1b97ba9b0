#ifndef CELL_LOAD_TABLE_H
#define CELL_LOAD_TABLE_H

#include "cell/job_spec.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Rows of a table; jobs beyond them are not counted. */
#define LOAD_ROWS_MAX 64
/* The longest time between two records of the load. */
#define LOAD_STORE_MAX_MS 10000

/**
 * struct load_row - declared processors of the jobs of one priority that the
 * workers of a service run, in thousandths of a core
 * @service: name_hash() of the service
 * @capacity: of all its workers that accept tasks; the same in all its rows
 * @long_running: of the tasks that run until their job is cancelled
 * @short_peak: of the short tasks that were ready or running at a time, the
 *	most of the last seconds; without best-effort ones
 */
struct load_row {
	uint64_t service;
	uint32_t priority;
	uint64_t capacity;
	uint64_t long_running;
	uint64_t short_peak;
};

/**
 * struct load_table - what the jobs of a cell ask of its workers
 * @rows: @count of them, room for @cap; one for a service and priority
 * @read_ms: boot time at which it was read; 0 before
 *
 * Answers callers whose long-running jobs would take the processors that short
 * work needs.
 */
struct load_table {
	struct load_row *rows;
	size_t count;
	size_t cap;
	int64_t read_ms;
};

void load_table_init(struct load_table *t);
void load_table_finish(struct load_table *t);

void load_table_copy(struct load_table *t, const struct load_table *from);

/**
 * load_table_get() - the row of a service and priority, added if it is new
 *
 * Return: NULL if there are too many. Valid until the next call.
 */
struct load_row *load_table_get(struct load_table *t, uint64_t service,
				uint32_t priority);

/**
 * load_table_is_full() - whether a further long-running job would take
 * processors that short work needs
 * @cpu: what the job declares, in thousandths of a core
 *
 * Long-running and short work are entitled to equal parts of the processors,
 * and to what the other one leaves. Short work that is less urgent than
 * @priority counts for nothing; long-running work does, as it holds what it
 * has.
 */
bool load_table_is_full(const struct load_table *t, const char *service,
			uint32_t priority, uint64_t cpu);

/**
 * load_table_is_current() - whether a stored table still tells the load
 *
 * It is stored again within LOAD_STORE_MAX_MS. Without an owner, or under one
 * of an older build, it is not.
 */
bool load_table_is_current(const struct load_table *t, int64_t now_ms);

/**
 * load_table_differs() - whether two tables differ by enough to matter to
 * callers
 */
bool load_table_differs(const struct load_table *a, const struct load_table *b);

void load_table_write(const struct load_table *t, struct buf *out);

/**
 * load_table_read() - replace the table by a stored one
 *
 * Return: 0, or -EBADMSG; the table is not changed then.
 */
int load_table_read(struct load_table *t, struct str text, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
