#ifndef CELL_RUN_TIME_TABLE_H
#define CELL_RUN_TIME_TABLE_H

#include <stdbool.h>

#include "base/index.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Positions of steps that are kept; beyond them, the one that learned longest
 * ago makes room. */
#define RUN_TIME_ROWS_MAX 128
/* Runs of one position that are kept, the last ones. Tasks of one step are
 * alike, so there must be those of many jobs. */
#define RUN_TIME_SAMPLES 256

/**
 * struct run_time_series - logarithms of one figure of the last runs
 * @recent: in the order of arrival, overwritten in turn
 * @sorted: the same, smallest first
 */
struct run_time_series {
	float recent[RUN_TIME_SAMPLES];
	float sorted[RUN_TIME_SAMPLES];
	double sum;
	double squares;
};

/**
 * struct run_time_row - the last runs of the tasks of one position
 * @key: of queue and position
 * @samples: runs noted so far
 * @ratio: of the measured time to the declared one
 * @time: measured, in milliseconds
 * @used: value of @uses of the table when a run was noted last
 */
struct run_time_row {
	uint64_t key;
	uint64_t samples;
	uint64_t used;
	struct run_time_series ratio;
	struct run_time_series time;
	struct run_time_row *next;
};

/**
 * struct run_time_table - running times of tasks, learned from runs that ended
 * @rows: struct run_time_row by key
 * @first: list of them
 *
 * Callers declare running times that may be far off, but some queues declare
 * them with a constant factor, and others run tasks of much the same time. Of
 * the ratio to the declared time and the time itself, the one with the smaller
 * spread has the greater weight.
 */
struct run_time_table {
	struct index rows;
	struct run_time_row *first;
	uint64_t uses;
};

/**
 * struct run_time_kind - which runs are alike
 * @queue: name_hash() of the queue
 * @step: position of the step in its job
 * @declared_ms: the running time that the caller has declared
 */
struct run_time_kind {
	uint64_t queue;
	uint32_t step;
	uint32_t declared_ms;
};

void run_time_table_init(struct run_time_table *t);
void run_time_table_finish(struct run_time_table *t);

/**
 * run_time_table_learn() - note the running time of a task that is done
 *
 * For runs from the beginning to the end, at full speed.
 */
void run_time_table_learn(struct run_time_table *t,
			  const struct run_time_kind *k, int64_t measured_ms);

/**
 * run_time_table_quantile() - running time of a task that is to start
 * @share: share of such tasks that run no longer, 0 to 1
 *
 * Return: milliseconds; the declared time while too few runs are known.
 */
int64_t run_time_table_quantile(const struct run_time_table *t,
				const struct run_time_kind *k, double share);

/**
 * run_time_table_remaining() - the time for which a task runs on
 * @elapsed_ms: for which it has run
 * @share: share of the tasks that run for @elapsed_ms, and then no longer
 *
 * A task that has run for longer than all known ones is expected to run for as
 * long again.
 *
 * Return: milliseconds, at least 1.
 */
int64_t run_time_table_remaining(const struct run_time_table *t,
				 const struct run_time_kind *k,
				 int64_t elapsed_ms, double share);

#ifdef __cplusplus
}
#endif

#endif
