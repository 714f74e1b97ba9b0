#ifndef CELL_CELL_H
#define CELL_CELL_H

#include "base/histogram.h"
#include "cell/account_table.h"
#include "cell/job_view.h"
#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORKER_LABELS_MAX 4

/**
 * struct worker_entry - a worker's entry in the platform's registry
 * @service: service whose pool it belongs to
 * @labels: @label_count of them; the last one names its rack
 * @cpu: processors, in thousandths of a core
 * @draining: accepts no new tasks
 * @leaving_ms: while it drains, least time before it leaves, or 0 if unknown
 * @born: start of the worker's present process, ms since 1970
 */
struct worker_entry {
	uint32_t cpu;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool draining;
	int64_t leaving_ms;
	uint64_t born;
	uint32_t label_count;
	struct worker_addr addr;
	char zone[NAME_SIZE];
	char service[NAME_SIZE];
	char labels[WORKER_LABELS_MAX][NAME_SIZE];
};

/**
 * struct cell_options - limits of the deployment; times in milliseconds
 * @lease_ms: length of a worker's lease, on the worker's clock
 * @lease_max_ms: longest lease that a worker grants, on its clock
 * @takeover_ms: longest time after a takeover for which leases that a former
 *	owner renewed, and so runs that it started, may last on workers that do
 *	not reply
 * @renew_after_ms: how long leases are renewed after the authority to start
 *	tasks has expired
 * @early_ms: how long before its due time an occurrence may start
 * @terminal_retention_ms: retention of jobs in a terminal state
 * @poll_wait_ms: how long a worker may delay the reply to a long poll
 * @heartbeat_ms: period at which a worker renews its entry in the registry
 * @violation_ms: bound on the time for which best-effort tasks may keep a
 *	latency-critical task over its target
 * @record_max_bytes: largest record that the store accepts
 * @append_max_bytes: largest append that the store accepts, with the framing of
 *	its records; 0 for both: no limit
 * @look_ahead: placement considers learned running times, which tasks wait and
 *	what will end soon; else it goes by declared times and is greedy
 */
struct cell_options {
	int64_t lease_ms;
	int64_t lease_max_ms;
	int64_t takeover_ms;
	int64_t renew_after_ms;
	int64_t early_ms;
	int64_t terminal_retention_ms;
	uint32_t poll_wait_ms;
	int64_t heartbeat_ms;
	int64_t violation_ms;
	size_t record_max_bytes;
	size_t append_max_bytes;
	bool look_ahead;
};

struct cell;

/**
 * struct cell_ops - callbacks into the host
 * @now: boot time, milliseconds
 * @zone_open: whether tasks may start in a zone
 * @queue_service: service whose pool runs a queue, or NULL if it is not known
 * @accounts: the client accounts of the present configuration, or NULL before
 *	one has been read
 * @fenced: a worker has seen a higher epoch; the host must stop the cell, but
 *	not from within this call
 */
struct cell_ops {
	int64_t (*now)(void *ctx);
	bool (*zone_open)(void *ctx, const char *zone);
	const char *(*queue_service)(void *ctx, const char *queue);
	const struct account_table *(*accounts)(void *ctx);
	void (*fenced)(void *ctx);
};

/**
 * cell_new() - take over one partition and schedule its jobs
 * @epoch: fencing token of this ownership
 * @view: the partition's jobs, with all records up to the start of the epoch
 *	applied; not owned, must outlive the cell
 * @ctx: first argument of all @ops
 * @port: first argument of all @workers
 * @now_ms: boot time
 * @wall_ms: milliseconds since 1970
 *
 * Return: a cell, to be released by cell_stop().
 */
struct cell *cell_new(const struct cell_options *o, uint64_t epoch,
		      struct job_view *view, const struct cell_ops *ops,
		      void *ctx, const struct worker_ops *workers, void *port,
		      int64_t now_ms, int64_t wall_ms);

/**
 * cell_stop() - stop scheduling; the cell is freed when no call to a worker is
 * in flight
 */
void cell_stop(struct cell *c);

/**
 * cell_set_authority() - set until when tasks may be started
 * @until_ms: boot time; with 0 no task may be started
 */
void cell_set_authority(struct cell *c, int64_t until_ms);

/**
 * cell_limit_renewals() - set a bound on the time for which leases are extended
 * @until_ms: boot time
 *
 * Holds until cell_set_authority() is called again, which sets the time to
 * options.renew_after_ms after the end of the authority.
 */
void cell_limit_renewals(struct cell *c, int64_t until_ms);

/**
 * cell_lease_bound_ms() - longest time for which a lease lasts by the clock of
 * this host
 * @lease_ms: its length on the worker's clock
 */
int64_t cell_lease_bound_ms(int64_t lease_ms);

/**
 * cell_hand_over() - note that another host is about to take the cell
 *
 * The ends of the leases of silent workers are stored then. If that is done
 * before the next owner reads the log, it need not wait for the longest leases
 * that this owner could have granted.
 */
void cell_hand_over(struct cell *c, int64_t now_ms);

/**
 * cell_raise_fences() - have it stored that each owner raises the fences of
 * workers with their new processes, and do so once it is stored
 *
 * To be called once no host of an older build is left: its owner would be
 * refused by all workers. The decision is final. Further calls do nothing.
 */
void cell_raise_fences(struct cell *c);

/* Notifications from the job view. */
void cell_job_accepted(struct cell *c, struct job_entry *e);
void cell_job_cancelled(struct cell *c, struct job_entry *e);
void cell_job_dropped(struct cell *c, struct job_entry *e);

/**
 * cell_worker_update() - apply a new or changed entry of the registry
 *
 * An entry of an earlier process of the worker is ignored.
 */
void cell_worker_update(struct cell *c, const struct worker_entry *e);

/**
 * cell_worker_gone() - note that the registry has dropped a worker
 */
void cell_worker_gone(struct cell *c, const char *id);

/**
 * cell_workers_retain() - call cell_worker_gone() for all workers not in @ids
 * @ids: keyed by name_hash() of the worker's id
 */
void cell_workers_retain(struct cell *c, const struct index *ids);

/**
 * cell_tick() - start and stop tasks, poll workers, renew leases, as far as due
 * @now_ms: boot time
 * @wall_ms: milliseconds since 1970
 *
 * Return: milliseconds until the next call is due.
 */
int64_t cell_tick(struct cell *c, int64_t now_ms, int64_t wall_ms);

/**
 * cell_take_batch() - take the records that wait to be stored, framed for one
 * append
 * @out: may hold other records; with them, the batch is no larger than an
 *	append may be
 *
 * Takes nothing until the previous batch is stored. What does not fit waits for
 * the next batch.
 *
 * Return: true when @out holds records.
 */
bool cell_take_batch(struct cell *c, struct buf *out);

/**
 * cell_batch_stored() - acknowledge that the batch taken last is stored
 */
void cell_batch_stored(struct cell *c);

/**
 * enum cpu_piece - free processors of one worker, as a share of all it has
 *
 * @PIECE_BELOW_EIGHTH: less than one eighth
 * @PIECE_BELOW_QUARTER: one eighth to less than one quarter
 * @PIECE_BELOW_HALF: one quarter to less than one half
 * @PIECE_LARGER: one half or more
 */
enum cpu_piece {
	PIECE_BELOW_EIGHTH,
	PIECE_BELOW_QUARTER,
	PIECE_BELOW_HALF,
	PIECE_LARGER,
	PIECE_KINDS,
};

/**
 * struct cell_counts - figures for status and metrics
 * @usable: workers that are registered and reachable
 * @waiting: tasks without a worker that are not done
 * @placed: tasks that have a worker
 * @in_doubt: tasks of which a former owner may have started a run that is
 *	still active
 * @unheard: workers on which there may be such runs
 * @oldest_wait_ms: how long the long-running task has waited that could have
 *	been placed longest ago
 * @oldest_short_wait_ms: the same of short tasks, all but long-running and
 *	best-effort ones, as of the last second
 * @starts: starts sent
 * @ends_other: runs that ended as neither done nor failed
 * @no_room: starts refused for lack of capacity
 * @unanswered: starts without a reply
 * @late_starts: of these, the ones that may yet be carried out
 * @late_stops: stops of such starts sent to new processes
 * @late_refusals: calls that a new process has refused by their fence, as they
 *	were sent before it was known
 * @starts_held_back: placement passes and stored starts left out, as too many
 *	starts have no reply
 * @paces: changes of pace sent
 * @examined: workers that placement has examined for a task or a step
 * @contained: tasks that are tried alone, as workers have crashed under them
 * @accounts_blocked: client accounts of which a task waits for a limit
 * @waiting_quota: their tasks without a worker that are not done
 * @moves: best-effort tasks stopped so that they resume on another worker
 * @cpu_short: processors that short tasks hold, in thousandths of a core, as of
 *	the last second; @cpu_long_running those that long-running tasks hold
 * @cpu_free: free processors of the workers that accept tasks, by enum
 *	cpu_piece, in thousandths of a core, as of the last second
 * @plans_made: planned starts on a worker, @plans_dropped of them without a
 *task
 * @plans_kept: tasks that were placed where their start was planned
 * @backfilled: tasks placed on a worker with a plan that do not delay it
 * @cpu_planned: free processors of the workers that have plans, in thousandths
 *	of a core, as of the last pass
 * @short_accepted: declared work of the short jobs, see job_spec_is_short(),
 *	that were accepted under this owner, in core-seconds
 * @short_completed: of those that were completed under it; @short_in_time of
 *	those that were within their objective
 */
struct cell_counts {
	uint64_t epoch;
	uint32_t jobs;
	uint32_t workers;
	uint32_t usable;
	uint32_t waiting;
	uint32_t placed;
	uint32_t in_doubt;
	uint32_t unheard;
	uint32_t contained;
	uint32_t accounts_blocked;
	uint32_t waiting_quota;
	uint64_t oldest_wait_ms;
	uint64_t oldest_short_wait_ms;
	uint64_t starts;
	uint64_t ends_done;
	uint64_t ends_failed;
	uint64_t ends_other;
	uint64_t no_room;
	uint64_t unanswered;
	uint64_t late_starts;
	uint64_t late_stops;
	uint64_t late_refusals;
	uint64_t starts_held_back;
	uint64_t paces;
	uint64_t examined;
	uint64_t moves;
	uint64_t cpu_short;
	uint64_t cpu_long_running;
	uint64_t cpu_free[PIECE_KINDS];
	uint64_t plans_made;
	uint64_t plans_kept;
	uint64_t plans_dropped;
	uint64_t backfilled;
	uint64_t cpu_planned;
	struct histogram short_accepted;
	struct histogram short_completed;
	struct histogram short_in_time;
};

void cell_get_counts(const struct cell *c, struct cell_counts *out);

#ifdef __cplusplus
}
#endif

#endif
