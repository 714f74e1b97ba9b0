#ifndef CELL_CELL_EXPLAIN_H
#define CELL_CELL_EXPLAIN_H

#include "cell/cell.h"
#include "cell/quota.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The worker that placement chooses and the next best ones. */
#define EXPLAIN_WORKERS_MAX 4

/**
 * enum explain_verdict - what becomes of the tasks of a step
 *
 * @EXPLAIN_STARTS: at least one of them is placed
 * @EXPLAIN_DEPENDS: it waits for other steps of its job
 * @EXPLAIN_PAUSED: the owner places nothing at present: its authority has
 *	expired, or too many starts have no answer
 * @EXPLAIN_LIMIT: its account has reached a limit
 * @EXPLAIN_GANG: there is no room for all tasks of the gang at once
 * @EXPLAIN_NO_WORKER: no worker can take one of them
 */
enum explain_verdict {
	EXPLAIN_STARTS,
	EXPLAIN_DEPENDS,
	EXPLAIN_PAUSED,
	EXPLAIN_LIMIT,
	EXPLAIN_GANG,
	EXPLAIN_NO_WORKER,
};

/**
 * enum explain_obstacle - the first obstacle for the first task on a worker
 *
 * @OBSTRUCTED_BY_POOL: the worker belongs to another pool
 * @OBSTRUCTED_BY_INTERFERENCE: the tasks there leave too few processors or too
 *	little headroom to a best-effort task
 *
 * The others are those of enum cell_block and enum cell_obstacle.
 */
enum explain_obstacle {
	OBSTRUCTED_BY_NOTHING,
	OBSTRUCTED_BY_POOL,
	OBSTRUCTED_BY_UNCONFIRMED,
	OBSTRUCTED_BY_DRAINING,
	OBSTRUCTED_BY_SILENT,
	OBSTRUCTED_BY_BACKOFF,
	OBSTRUCTED_BY_TRIAL,
	OBSTRUCTED_BY_ZONE,
	OBSTRUCTED_BY_CAPACITY,
	OBSTRUCTED_BY_RESERVED,
	OBSTRUCTED_BY_LABEL,
	OBSTRUCTED_BY_INTERFERENCE,
	OBSTRUCTED_BY_KINDS,
};

/**
 * struct explain_worker - a worker that can take the first task of a step
 * @cost: see cell_placement_cost(); the lowest is best
 * @cpu_free: its free processors, in thousandths of a core
 */
struct explain_worker {
	char id[NAME_SIZE];
	double cost;
	uint32_t cpu_free;
};

/**
 * struct explain_step - the answer for one step
 * @number: index of the step in the job
 * @lateness: this and the next three: see struct cell_queued_step
 * @ahead: tasks of other jobs that wait and go before it, and @ahead_cpu what
 *	they need, in thousandths of a core
 * @starts: tasks that are placed
 * @workers: all workers, by enum explain_obstacle
 * @cpu_free_max: most free processors of a worker of the pool that takes tasks
 * @best: @best_count workers for the first task, the chosen one first
 */
struct explain_step {
	uint32_t number;
	uint32_t count;
	enum explain_verdict verdict;
	uint32_t lateness;
	uint32_t priority;
	uint32_t long_running;
	uint32_t misses_deadline;
	uint64_t ahead;
	uint64_t ahead_cpu;
	uint32_t starts;
	uint32_t workers[OBSTRUCTED_BY_KINDS];
	uint32_t cpu_free_max;
	struct explain_worker best[EXPLAIN_WORKERS_MAX];
	size_t best_count;
};

/**
 * struct explanation - where a job would be placed now, and why
 * @steps: @step_count of them, in the order in which they are placed, then
 *	those that wait for others; none if no occurrence of the job is due
 * @quota: limits of the job's account and what it takes without the job;
 *	the name is empty without an account
 */
struct explanation {
	struct explain_step steps[JOB_STEPS_MAX];
	size_t step_count;
	struct quota quota;
};

/**
 * cell_explain() - find out where a job would be placed if it were accepted now
 * @spec: as submitted, with its account; its id need not be known
 * @out: is overwritten
 *
 * It runs the functions of a placement pass on a copy of what they change, so
 * the cell stays as it is. Tasks that wait already are counted in @ahead, but
 * are not placed first.
 */
void cell_explain(const struct cell *c, const struct job_spec *spec,
		  struct explanation *out);

const char *explain_verdict_name(enum explain_verdict v);
const char *explain_obstacle_name(enum explain_obstacle o);

#ifdef __cplusplus
}
#endif

#endif
