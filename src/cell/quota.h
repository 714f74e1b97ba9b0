#ifndef CELL_QUOTA_H
#define CELL_QUOTA_H

#include "cell/account_table.h"
#include "cell/job_spec.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct demand - what tasks take of workers
 * @cpu: processors, in thousandths of a core
 */
struct demand {
	uint64_t cpu;
	uint64_t memory_mb;
	uint64_t accelerators;
};

/**
 * struct quota - what the tasks of one client account take over all workers
 * @taken: by @runs, which may be active
 * @jobs: jobs that refer to it
 * @max: limits; 0 for no limit
 * @weight: see struct account
 * @is_known: @max and @weight have been set, from a configuration that lists
 *	the account
 * @is_blocked: a task does not start because of a limit, as of the last
 *	placement pass
 * @blocked_ms: boot time of the last log line that says so
 * @wanted: what its tasks take, and those that could start, up to the limits
 * @share: its share of the workers while these are full, see fair_share.h
 */
struct quota {
	char name[NAME_SIZE];
	struct demand taken;
	struct demand max;
	struct demand wanted;
	struct demand share;
	uint32_t weight;
	uint32_t runs;
	uint32_t jobs;
	bool is_known;
	bool is_blocked;
	int64_t blocked_ms;
	struct quota *next;
};

/**
 * struct quota_table - the accounts that have jobs or runs
 */
struct quota_table {
	struct index by_name;
	struct quota *first;
	size_t count;
};

void quota_table_init(struct quota_table *t);
void quota_table_finish(struct quota_table *t);

/**
 * quota_table_get() - look up an account, or add it
 */
struct quota *quota_table_get(struct quota_table *t, const char *name);

/**
 * quota_table_drop_unused() - free the accounts without jobs and runs
 */
void quota_table_drop_unused(struct quota_table *t);

/**
 * demand_of_step() - what one task of a step takes
 *
 * The processors of best-effort tasks count as declared.
 */
struct demand demand_of_step(const struct job_step *s);

/**
 * quota_set_limits() - set limits and weight from the configuration
 */
void quota_set_limits(struct quota *q, const struct account *a);

void quota_add_run(struct quota *q, const struct demand *d);
void quota_remove_run(struct quota *q, const struct demand *d);

/**
 * quota_fits() - whether @count more tasks stay within the limits
 *
 * A task that is larger than a limit fits while no other run of the account may
 * be active.
 */
bool quota_fits(const struct quota *q, const struct demand *d, uint32_t count);

/**
 * quota_is_exceeded() - whether the runs take more than a limit
 */
bool quota_is_exceeded(const struct quota *q);

#ifdef __cplusplus
}
#endif

#endif
