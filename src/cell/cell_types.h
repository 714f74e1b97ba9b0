#ifndef CELL_CELL_TYPES_H
#define CELL_CELL_TYPES_H

#include "cell/cell.h"
#include "cell/disturb.h"

/* Clock of a worker: at most 2 % slow by the platform's terms, and rounding. */
#define WORKER_CLOCK_SLOW_PERMILLE 30
#define LEASE_MARGIN_MS 100
/* A worker that answered within this time is taken to be reachable. */
#define WORKER_REACHABLE_MS 2500
/* Pause before a worker that did not answer is asked again. */
#define POLL_RETRY_MS 250
/* Renewal while ends wait for the store. */
#define POLL_STALLED_MS 500
/* Pause between tries to stop a run that was not confirmed. */
#define STOP_RETRY_MS 400
/* Pause before a lasting task that ended is started again. */
#define RESTART_PAUSE_MS 50
/* Placement passes are at least this far apart. */
#define PLACE_PERIOD_MS 10
/* Work that found no place is looked at again: pauses run out. */
#define PLACE_RECHECK_MS 50

/* Pace of a task, percent; the last order may not have arrived. */
#define PACE_FULL 100
#define PACE_UNKNOWN 255

/* Failed runs that a task remembers by number, so that an end that is listed
 * twice counts once; attempts beyond count without. */
#define FAILURES_KEPT 8

enum task_state {
	TASK_WAITING,
	TASK_RESERVED, /* has room on a worker; its intent is being stored */
	TASK_STARTING, /* ordered; the answer is out */
	TASK_RUNNING,
	TASK_STOPPING, /* ordered to stop, or a start without an answer */
	TASK_DONE,
};

/**
 * struct cell_task - one task of one occurrence
 * @failed_runs: low halves of the numbers of the runs in @failures
 * @ordered: an intent to start it is written: it may have run
 * @listed: it is in the cell's list of reserved tasks
 * @intent_stored: that intent is stored, so it may be started
 * @in_doubt: ordered by an owner before, and not seen since
 * @stop_confirmed_ms: when the worker confirmed the stop; 0 before
 * @confirmed_ms: when the worker confirmed the start
 * @seen_ms: sending time of the last hold that listed it
 * @over_since_ms: since when its tail latency is over the target; 0 if it is
 * not
 * @last_sample: the measurement learned from last, at @last_sample_ms
 * @slowed_since_ms: since when it hardly works, for the sake of others; 0 if it
 * does
 * @pace: wanted share of its speed, percent
 * @pace_sent: last order given, or PACE_UNKNOWN
 * @avoid_worker: worker that it failed on last
 */
struct cell_task {
	struct cell_step *step;
	struct cell_worker *worker;
	struct cell_task *next;
	struct cell_task *prev;
	struct cell_task *next_reserved;
	uint32_t index;
	uint32_t run;
	uint16_t failed_runs[FAILURES_KEPT];
	uint8_t state;
	uint8_t failures;
	uint8_t percent;
	bool ordered;
	bool listed;
	bool storing_intent;
	bool intent_stored;
	bool in_doubt;
	uint8_t pace;
	uint8_t pace_sent;
	int64_t confirmed_ms;
	int64_t seen_ms;
	int64_t stop_sent_ms;
	int64_t stop_confirmed_ms;
	int64_t retry_at_ms;
	int64_t over_since_ms;
	uint32_t measure;
	uint32_t last_sample;
	int64_t last_sample_ms;
	int64_t slowed_since_ms;
	uint64_t avoid_worker;
	char checkpoint[CHECKPOINT_SIZE];
};

/**
 * enum job_time - what a job waits for, the worst of its tasks first
 * @TIME_IN_DOUBT: a run under the owner before may still be going on
 * @TIME_NO_PLACE: no worker has room, or none that the task would not harm
 * @TIME_PAUSED: between the end of a run and the next start
 * @TIME_STORING: the intent to start is being stored
 * @TIME_ORDERED: the start has not been answered
 * @TIME_STOPPING: a run is being stopped
 * @TIME_SLOWED: a task is paced down
 * @TIME_RUNNING: all tasks that may run are at work
 */
enum job_time {
	TIME_IN_DOUBT,
	TIME_NO_PLACE,
	TIME_PAUSED,
	TIME_STORING,
	TIME_ORDERED,
	TIME_STOPPING,
	TIME_SLOWED,
	TIME_RUNNING,
	TIME_KINDS,
};

struct cell_step {
	struct cell_job *job;
	const struct job_step *spec;
	uint32_t number;
	uint32_t occurrence;
	uint32_t waiting;
	uint32_t done;
	uint64_t image;
	struct load_curve *curve; /* of a serving step */
	struct cell_task *tasks;
};

struct cell_occurrence {
	struct cell_step *steps;
	uint32_t steps_done;
	int64_t due_ms; /* boot time */
	bool open;
	bool done;
};

/**
 * struct cell_job - the scheduler's state of a job
 * @recovered: accepted under an earlier epoch: tasks may run unseen
 * @placed: tasks on workers
 * @idle_since_ms: since when nothing of it is on a worker; 0 when something is
 * @state: enum job_state, may be ahead of what is stored
 * @spent_ms: time under this owner, by enum job_time
 * @runs_lost: runs that ended neither done nor failed
 * @runs_failed: runs that failed
 */
struct cell_job {
	struct job_entry *entry;
	const struct job_spec *spec;
	struct cell_occurrence *occurrences;
	size_t steps;
	uint32_t count;
	uint32_t occurrences_done;
	uint32_t waiting;
	uint32_t placed;
	uint32_t state;
	bool recovered;
	bool dirty;
	bool storing;
	int64_t due_ms;
	int64_t idle_since_ms;
	uint32_t spent_ms[TIME_KINDS];
	uint32_t runs_lost;
	uint32_t runs_failed;
	struct cell_job *next;
	struct cell_job *prev;
	struct cell_job *next_dirty;
};

/* Serving steps on one worker that are told apart. */
#define SERVING_STEPS_MAX 8
#define HUGE_HEADROOM 1e9

/**
 * struct serving_headroom - what filling tasks leave to one step on a worker
 * @taken: headroom that all filling tasks there take, with doubt added
 * @available: headroom without them that its users leave in the time to come
 */
struct serving_headroom {
	const struct cell_step *step;
	double taken;
	double available;
};

/**
 * struct cell_worker - one worker
 * @confirmed: answered under this epoch: all that runs there is known
 * @recorded: a record of it is written, or waits to be stored
 * @stored: that record is stored: a later owner will know of the worker
 * @leaving_at_ms: when it leaves at the earliest, or 0
 * @usable: takes new tasks, as of the pass of placement
 * @clock: its clock when it answered last, at @clock_ms
 * @lease_sent: greatest lease given, on its clock
 * @missed_polls: holds in a row that got no answer
 * @backoff_level: refused orders since its last good end
 * @headroom: serving steps there; to be made anew when @headroom_stale
 * @version: rises when it may take what it did not take before
 * @reserved_for: step that its counted room is kept for, up to
 *@reserved_until_ms; only compared
 * @last_end: greatest number of an end taken in
 * @storing_end: @last_end at the batch that is being stored
 * @acked_end: ends up to here are stored
 */
struct cell_worker {
	struct worker_entry entry;
	uint64_t id;
	uint64_t service;
	bool registered;
	bool confirmed;
	bool recorded;
	bool storing_record;
	bool stored;
	bool poll_in_flight;
	bool usable;
	int64_t leaving_at_ms;
	int64_t clock;
	int64_t clock_ms;
	int64_t lease_sent;
	int64_t answered_ms;
	int64_t poll_due_ms;
	int64_t avoid_until_ms;
	uint32_t missed_polls;
	uint32_t backoff_level;
	uint64_t failed_job;
	uint32_t fail_streak;
	uint64_t last_end;
	uint64_t storing_end;
	uint64_t acked_end;
	uint32_t cpu_used;
	uint32_t memory_used;
	uint32_t accelerators_used;
	uint32_t cpu_serving;
	uint32_t cpu_filling;
	uint32_t tasks;
	struct cell_task *first;
	bool headroom_stale;
	struct serving_headroom headroom[SERVING_STEPS_MAX];
	size_t headroom_count;
	int64_t paced_ms;
	uint64_t version;
	const struct cell_step *reserved_for;
	int64_t reserved_until_ms;
	struct cell_worker *older;
	struct cell_worker *newer;
	struct cell_worker *next;
};

/* Needs that are known to find no worker. */
#define NO_FIT_MAX 64

/**
 * struct cell_no_fit - a need that found no worker
 * @step: the step, where its tasks may not share a worker; else 0
 * @image: of a filling step, else 0
 * @version: workers changed later may do
 * @at_ms: when all workers were looked at
 */
struct cell_no_fit {
	uint64_t service;
	uint64_t step;
	uint64_t image;
	uint64_t label;
	uint32_t filler;
	uint32_t cpu;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint64_t version;
	int64_t at_ms;
};

/**
 * struct cell_queued_step - a step with tasks to place, and its place in the
 * queue
 * @lateness: 0 can end in time, 1 is late already, 2 is hopeless
 * @long_running: short work first: it gives its room back
 */
struct cell_queued_step {
	uint32_t lateness;
	uint32_t priority;
	uint32_t long_running;
	int64_t due_ms;
	struct cell_step *step;
};

struct cell {
	struct cell_options opt;
	uint64_t epoch;
	struct job_view *table;
	const struct cell_ops *ops;
	void *ctx;
	const struct worker_ops *worker_ops;
	void *port;
	int64_t now_ms;
	int64_t wall_ms;
	int64_t ticked_ms;
	int64_t authority_until_ms;
	int64_t recovery_end_ms;
	bool recovering;
	bool stopped;
	bool batch_open;
	bool place_due;
	uint32_t calls;
	int64_t placed_at_ms;
	int64_t accounted_ms;
	int64_t jobs_due_ms;
	int64_t stops_due_ms;
	int64_t sweep_due_ms;
	int64_t load_due_ms;
	int64_t learned_due_ms;
	struct index worker_ids;
	struct cell_worker *workers;
	struct cell_job *dirty;      /* with something to store */
	struct cell_worker *changed; /* all workers, latest change first */
	uint64_t version;
	struct cell_no_fit no_fit[NO_FIT_MAX];
	size_t no_fit_next;
	struct cell_job *jobs;
	struct disturb disturb;
	struct cell_task *reserved;
	struct cell_queued_step *queue;
	size_t queue_cap;
	struct buf pending_records; /* framed records besides progress */
	struct cell_counts counts;
};

/* cell.c */

/**
 * cell_call_begin() - a call to a worker is out: the cell must not be freed
 */
void cell_call_begin(struct cell *c);

/**
 * cell_call_end() - its answer is there
 *
 * Return: false when the cell was given up meanwhile; it may be freed then.
 */
bool cell_call_end(struct cell *c);

/* cell_job.c */

/**
 * cell_job_add() - schedule a job
 * @recovered: it was accepted under an owner before this one
 */
void cell_job_add(struct cell *c, struct job_entry *e, bool recovered);
void cell_job_free(struct cell *c, struct cell_job *j);
void cell_job_open_due(struct cell *c, struct cell_job *j);
void cell_occurrence_open(struct cell *c, struct cell_job *j, uint32_t k);
void cell_occurrence_step_done(struct cell_job *j, struct cell_occurrence *o);
struct cell_job *cell_job_find(const struct cell *c, uint64_t id);
struct cell_task *cell_task_find(const struct cell *c,
				 const struct task_ref *ref);
void cell_task_ref(const struct cell_task *t, struct task_ref *out);
void cell_job_mark_dirty(struct cell *c, struct cell_job *j);

/**
 * cell_job_settle() - give a job its final state and stop what runs of it
 */
void cell_job_settle(struct cell *c, struct cell_job *j, uint32_t state);

/**
 * cell_task_count_failure() - count a failed run, once, whatever runs now
 */
void cell_task_count_failure(struct cell *c, struct cell_task *t, uint32_t run);

/**
 * cell_task_apply_end() - a run has ended; the task is off its worker already
 */
void cell_task_apply_end(struct cell *c, struct cell_task *t, uint32_t run,
			 enum run_end how, const char *checkpoint);

/* cell_progress.c */

/**
 * cell_progress_recover() - take over what the job's record says is settled
 */
void cell_progress_recover(struct cell *c, struct cell_job *j);
void cell_progress_write(const struct cell *c, const struct cell_job *j,
			 struct buf *out);

/* cell_task.c */

/**
 * cell_task_place() - take room on a worker, and start once that is allowed
 */
void cell_task_place(struct cell *c, struct cell_task *t,
		     struct cell_worker *w);

/**
 * cell_start_reserved() - order the tasks whose intent is stored now
 */
void cell_start_reserved(struct cell *c);
void cell_task_stop(struct cell *c, struct cell_task *t);

/**
 * cell_task_end_run() - take an ended run off its worker
 */
void cell_task_end_run(struct cell *c, struct cell_task *t, enum run_end how,
		       const char *checkpoint);

/**
 * cell_task_mark_lost() - the run is over without a word of its worker
 */
void cell_task_mark_lost(struct cell *c, struct cell_task *t);
void cell_task_confirm(struct cell *c, struct cell_task *t);
void cell_task_adopt(struct cell *c, struct cell_task *t, struct cell_worker *w,
		     uint32_t run);

/**
 * cell_stop_orphan() - stop a run that no task of ours stands behind
 */
void cell_stop_orphan(struct cell *c, struct cell_worker *w,
		      const struct task_ref *ref);
void cell_task_set_pace(struct cell *c, struct cell_task *t, uint8_t percent);

/* cell_worker.c */
struct cell_worker *cell_worker_find(const struct cell *c, const char *id);
void cell_workers_tick(struct cell *c);

/**
 * cell_worker_lease() - lease to give with an order, on the worker's clock;
 * 0 while its clock is not known
 */
int64_t cell_worker_lease(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_leases_expired() - whether every lease given to it has surely run
 * out
 */
bool cell_worker_leases_expired(const struct cell *c,
				const struct cell_worker *w);
void cell_worker_back_off(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_mark_changed() - it may take now what it did not take before
 */
void cell_worker_mark_changed(struct cell *c, struct cell_worker *w);
struct cell_worker *cell_worker_recover(struct cell *c,
					const struct known_worker *k);

/* cell_placement_cost.c */

/**
 * cell_worker_rack() - rack of a worker: its last label
 */
const char *cell_worker_rack(const struct cell_worker *w);

/**
 * cell_may_add_task() - whether the step allows one more of its tasks there
 */
bool cell_may_add_task(const struct cell_step *st, const struct cell_worker *w);
bool cell_fits(const struct cell_step *st, const struct cell_worker *w);

/**
 * cell_placement_cost() - cost of a task on a worker that has room for it
 * @starved: take it though it harms what runs there
 *
 * Return: 0, or -EBUSY when it would harm too much.
 */
int cell_placement_cost(const struct cell *c, const struct cell_task *t,
			struct cell_worker *w, bool starved, double *out);

/* cell_place.c */
void cell_place(struct cell *c);

/* cell_queue.c */

/**
 * cell_queue_fill() - all steps with tasks to place, most urgent first
 *
 * Return: their number, in @c->queue.
 */
size_t cell_queue_fill(struct cell *c);

/**
 * cell_step_is_ready() - whether all steps that it comes after are done
 */
bool cell_step_is_ready(const struct cell_step *st);

/**
 * cell_is_long_unplaced() - whether a lasting step lacks a task for too long
 */
bool cell_is_long_unplaced(const struct cell *c, const struct cell_step *st);

/* cell_room.c */

/**
 * cell_choose_worker() - the best worker for a task, of those changed after
 * @since
 * @rack: only there, or NULL
 * @starved: take one though the task harms what runs there
 */
struct cell_worker *cell_choose_worker(const struct cell *c,
				       const struct cell_task *t,
				       uint64_t service, const char *rack,
				       bool starved, uint64_t since);

/**
 * cell_reserve_worker() - keep a worker for the step until its task fits there
 */
void cell_reserve_worker(struct cell *c, const struct cell_step *st,
			 uint64_t service);
struct cell_no_fit cell_step_demand(const struct cell_step *st,
				    uint64_t service);

/**
 * cell_no_fit_find() - what is known of a need: it found no worker up to a
 * version
 */
struct cell_no_fit *cell_no_fit_find(struct cell *c,
				     const struct cell_no_fit *need);

/**
 * cell_no_fit_record() - the need found no worker, looked at from @known on
 */
void cell_no_fit_record(struct cell *c, const struct cell_no_fit *need,
			struct cell_no_fit *known);

/* cell_gang.c */
void cell_place_gang(struct cell *c, struct cell_step *st, uint64_t service);

/* cell_account.c */

/* Room for the sums of a job as text. */
#define ACCOUNT_SIZE 256

/**
 * cell_account_update() - add the time since the last call to what each job
 * waits for
 */
void cell_account_update(struct cell *c);

/**
 * cell_account_write() - the sums as fields of a log line
 */
void cell_account_write(const struct cell_job *j, char *out, size_t size);

/* cell_pace.c */
void cell_pace_worker(struct cell *c, struct cell_worker *w);

static inline bool step_has_flag(const struct cell_step *s, uint32_t flag)
{
	return s->spec->flags & flag;
}

static inline bool step_is_serving(const struct cell_step *s)
{
	return s->spec->target_ms > 0;
}

#endif
