#ifndef CELL_CELL_TYPES_H
#define CELL_CELL_TYPES_H

#include "cell/cell.h"
#include "cell/effect_model.h"
#include "cell/fair_share.h"
#include "cell/quota.h"

/*
 * In identifiers, "serving" stands for latency-critical: such tasks have a
 * bound on their tail latency. Best-effort tasks use what the other tasks leave
 * of a worker.
 */

/* The platform allows a worker's clock to be 2 % slow; the rest is for rounding
 * errors. */
#define WORKER_CLOCK_SLOW_PERMILLE 30
/* Added to a lease before it counts as expired. */
#define LEASE_MARGIN_MS 100
/* A worker that answered a poll within this time counts as reachable. */
#define WORKER_REACHABLE_MS 2500
/* Pause after a poll that got no reply. */
#define POLL_RETRY_MS 250
/* Interval of polls, and so of lease renewals, while ends of runs wait to be
 * stored: the worker then replies to each poll at once and reports them again.
 */
#define POLL_STALLED_MS 500
/* Pause before an unconfirmed stop is sent again. */
#define STOP_RETRY_MS 400
/* Pause before a task is placed again after its run has ended or its start was
 * refused. */
#define RESTART_PAUSE_MS 50
/* Shortest time between two placement passes. */
#define PLACE_PERIOD_MS 10
/* A placement pass runs at least this often: the end of a back-off or of a
 * pause triggers none. */
#define PLACE_RECHECK_MS 50

/* Pace of a task, percent of its full speed. PACE_UNKNOWN: the last throttle
 * order may not have arrived. */
#define PACE_FULL 100
#define PACE_UNKNOWN 255

/* Greatest number of failed runs whose numbers are kept with a task, so that an
 * end that is reported twice counts once. Later failures are counted without
 * this check. */
#define FAILURES_KEPT 8

/* A progress record names the worker of a task by a reference: a hash of the
 * worker's id. Workers may share a reference; a task that may run on one of
 * them then waits for all of them. */
#define WORKER_REF_NONE 0
#define WORKER_REF_UNKNOWN 0xffff
#define WORKER_REF_COUNT 0x10000

enum task_state {
	TASK_WAITING,
	TASK_STORING,  /* placed; the intent to start is being stored */
	TASK_STARTING, /* start sent, not yet confirmed */
	TASK_RUNNING,
	TASK_STOPPING, /* stop sent, also after an unanswered start */
	TASK_DONE,
};

/**
 * struct cell_task - one task of one occurrence
 * @failed_runs: low 16 bits of the numbers of the runs counted in @failures
 * @ordered: an intent to start it is stored or waits to be stored, so it may
 *	have run
 * @in_intents: it is in the list @intents of struct cell
 * @storing_intent: the intent is part of the batch that is being stored
 * @storing_worker: id of the worker that this batch names
 * @doubt_ref: reference of the worker on which a run that a former owner
 *	started may be active, see cell_task_is_in_doubt(); or WORKER_REF_NONE
 * @stop_sent_ms: when the last stop was sent; 0 before
 * @stop_confirmed_ms: when the worker confirmed the stop; 0 before
 * @confirmed_ms: when the worker confirmed the start; 0 before
 * @reported_ms: sending time of the last poll whose reply listed the run
 * @retry_at_ms: the task is not placed before this time
 * @over_since_ms: since when its tail latency exceeds the target; 0 if it does
 *	not
 * @unproven_since_ms: since when best-effort tasks beside it work and no
 *	measurement has shown its tail latency to be under the target; or 0
 * @measure: last measurement that the worker reported, see struct run_row; 0
 *	before the first
 * @last_sample: last measurement that updated the effect model, at
 *	@last_sample_ms
 * @throttled_since_ms: since when its pace is below MOVE_PACE; 0 if it is not
 * @pace: wanted pace, percent of full speed
 * @pace_sent: pace sent last, or PACE_UNKNOWN
 * @pace_in_flight: the throttle order with it has no reply yet
 * @paced_ms: when the last reply to a throttle order arrived
 * @avoid_worker: id of the worker that a run failed on last; 0 for none
 * @crashes: workers that crashed in a row soon after they started it
 * @settled: the worker has reported the run long enough after its start
 * @on_trial: counted in @trials of its worker
 * @in_quota: counted against the limits of its account
 * @started_clock: worker's clock when it confirmed or first reported the run; 0
 *	before
 */
struct cell_task {
	struct cell_step *step;
	struct cell_worker *worker;
	struct cell_task *next;
	struct cell_task *prev;
	struct cell_task *next_intent;
	uint32_t index;
	uint32_t run;
	uint16_t failed_runs[FAILURES_KEPT];
	uint8_t state;
	uint8_t failures;
	uint8_t percent;
	bool ordered;
	bool in_intents;
	bool pace_in_flight;
	bool storing_intent;
	bool settled;
	bool on_trial;
	bool in_quota;
	uint8_t crashes;
	uint8_t pace;
	uint8_t pace_sent;
	uint16_t doubt_ref;
	uint64_t storing_worker;
	int64_t confirmed_ms;
	int64_t reported_ms;
	int64_t stop_sent_ms;
	int64_t stop_confirmed_ms;
	int64_t retry_at_ms;
	int64_t over_since_ms;
	int64_t unproven_since_ms;
	int64_t paced_ms;
	uint32_t measure;
	uint32_t last_sample;
	int64_t last_sample_ms;
	int64_t throttled_since_ms;
	uint64_t avoid_worker;
	int64_t started_clock;
	char checkpoint[CHECKPOINT_SIZE];
};

/**
 * enum job_time - what a job spends its time on
 *
 * The smallest value among the tasks of a job counts.
 *
 * @TIME_IN_DOUBT: a run started by a former owner may still be active
 * @TIME_NO_PLACE: no worker has free capacity that the task could use without
 *	too much interference
 * @TIME_PAUSED: between the end of a run and the next start
 * @TIME_STORING: the intent to start is being stored
 * @TIME_ORDERED: the worker has not confirmed the start
 * @TIME_STOPPING: a run is being stopped
 * @TIME_SLOWED: a task is throttled
 * @TIME_RUNNING: all tasks of ready steps run at full speed
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

/**
 * struct cell_step - one step of one occurrence
 * @number: index of the step in the job
 * @waiting: tasks without a worker that are not done
 * @done: tasks that are done, of @spec->count
 * @suspects: tasks with @crashes
 * @image: name_hash() of the image
 * @curve: load curve; NULL unless the step is latency-critical
 * @no_fit_version: no worker whose @version is not higher meets its demand, as
 *of
 *	@no_fit_at_ms; 0 if that is not known
 * @is_recovered: the stored progress of a former owner has been applied
 */
struct cell_step {
	struct cell_job *job;
	const struct job_step *spec;
	uint32_t number;
	uint32_t occurrence;
	uint32_t waiting;
	uint32_t done;
	uint32_t suspects;
	uint64_t image;
	struct load_curve *curve;
	uint64_t no_fit_version;
	int64_t no_fit_at_ms;
	bool is_recovered;
	struct cell_task *tasks;
};

struct cell_occurrence {
	struct cell_step *steps;
	uint32_t steps_done;
	int64_t opened_ms; /* boot time from which its objective counts */
	bool open;
	bool done;
};

/**
 * struct cell_job - the scheduler's state of a job
 * @occurrences: @count of them
 * @steps: steps of one occurrence
 * @waiting: tasks of open occurrences without a worker that are not done
 * @recovered: accepted under an earlier epoch: workers may run tasks of it that
 *	this owner does not know of yet
 * @placed: tasks that have a worker
 * @held: tasks with @in_quota
 * @quota: its client account; NULL for none
 * @dirty: progress waits to be stored; the job is in the list @dirty or @round
 *	of the cell
 * @storing: progress is part of the batch that is being stored
 * @deadline_ms: boot time at which its latency objective expires
 * @idle_since_ms: since when none of its tasks has a worker; 0 if one has
 * @state: enum job_state, may be ahead of the stored state
 * @spent_ms: time spent under this owner, by enum job_time
 * @runs_lost: runs that ended as neither done nor failed
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
	uint32_t held;
	uint32_t state;
	bool recovered;
	bool dirty;
	bool storing;
	int64_t deadline_ms;
	int64_t idle_since_ms;
	struct quota *quota;
	uint32_t spent_ms[TIME_KINDS];
	uint32_t runs_lost;
	uint32_t runs_failed;
	struct cell_job *next;
	struct cell_job *prev;
	struct cell_job *next_dirty;
};

/* Latency-critical steps tracked on one worker; further ones are ignored. */
#define SERVING_STEPS_MAX 8

/**
 * struct serving_headroom - headroom of one latency-critical step on a worker
 * @taken: headroom that all best-effort tasks there take, estimated with half a
 *	standard deviation on top
 * @available: least headroom without best-effort tasks that is forecast for the
 *	load of the step's users
 *
 * Headroom is the target of the tail latency over the tail latency; below 1 the
 * target is missed.
 */
struct serving_headroom {
	const struct cell_step *step;
	double taken;
	double available;
};

/**
 * struct cell_orphan - a listed run that counts against an account though no
 * task stands for it
 */
struct cell_orphan {
	struct quota *quota;
	struct demand demand;
	struct cell_orphan *next;
};

/**
 * struct cell_worker - one worker
 *
 * What placement reads of each worker stands together at the start.
 *
 * @id: name_hash() of its id
 * @service: name_hash() of the service whose pool it belongs to
 * @registered: the platform's registry lists it
 * @confirmed: answered a poll under this epoch
 * @unheard: runs of a former owner may be active there, as it has not listed
 *	all its runs and ends to this owner; until its leases have ended at the
 *	latest
 * @former_leases_end_ms: boot time at which leases of former owners have ended;
 *	counts until it is @confirmed
 * @recorded: its record is stored or waits to be stored
 * @storing_record: its record is part of the batch that is being stored
 * @stored: its record is stored, so a later owner will know of the worker
 * @record_end: value of @taken_bytes of the cell from which on its last record
 *	has been taken
 * @lease_frozen: its record, written at @frozen_ms, says that its leases are
 *	not extended
 * @freeze_sent: that record has been part of a batch, so its leases are not
 *	extended until a record that takes it back is stored
 * @poll_in_flight: a poll has not been answered yet
 * @accepts_tasks: takes new tasks, evaluated at the start of each placement
 *	pass
 * @leaving_at_ms: earliest time at which it leaves; 0 if unknown
 * @clock: its own clock in its last reply, received at @clock_received_ms;
 *	@clock_received_ms is 0 while its clock is not known
 * @lease_end_ms: latest end of a lease sent to it, on its clock
 * @answered_ms: when it answered a poll last
 * @backoff_until_ms: gets no new tasks before this time
 * @missed_polls: unanswered polls in a row
 * @refused: its host refused the connection for the last poll
 * @trials: unsettled runs there of tasks with @crashes
 * @backoff_level: back-offs since a run there ended as done; each doubles the
 *	pause of the next
 * @failed_job: job whose run failed there last
 * @fail_streak: failed runs in a row there; consecutive ones of the same job
 *	count once
 * @cpu_used: declared processors of the tasks there except best-effort ones, in
 *	thousandths of a core; @cpu_serving is the part of latency-critical
 *	tasks, @cpu_best_effort what best-effort tasks declare
 * @first_task: list of the tasks there, @task_count of them
 * @orphans: runs there that no task stands for, as of the last poll reply
 * @headroom: headroom of the latency-critical steps there, @headroom_count of
 *	them; recomputed when @headroom_stale is set
 * @paced_ms: when paces were ordered last
 * @version: @version of the cell when it last changed such that it may accept a
 *	task it did not accept before
 * @reserved_for: step for which it is reserved until @reserved_until_ms against
 *	all but best-effort tasks; may be a dangling pointer and is only
 *	compared
 * @older: next in the list @changed of the cell
 * @last_end: greatest number of a reported end that has been applied
 * @round_end: @last_end when the cell began the present round of progress
 * @storing_end: up to here, all ends are stored once the batch that is being
 *	stored is
 * @acked_end: ends up to this number are stored; sent to the worker, which then
 *	forgets them
 */
struct cell_worker {
	struct cell_worker *older;
	struct cell_worker *newer;
	struct cell_worker *next;
	uint64_t version;
	uint64_t service;
	uint32_t cpu_used;
	uint32_t memory_used;
	uint32_t accelerators_used;
	uint32_t cpu_serving;
	uint32_t cpu_best_effort;
	uint32_t task_count;
	struct cell_task *first_task;
	const struct cell_step *reserved_for;
	int64_t reserved_until_ms;
	struct worker_entry entry;
	uint64_t id;
	bool registered;
	bool confirmed;
	bool unheard;
	bool recorded;
	bool storing_record;
	bool stored;
	uint64_t record_end;
	bool lease_frozen;
	bool freeze_sent;
	bool poll_in_flight;
	bool accepts_tasks;
	int64_t leaving_at_ms;
	int64_t clock;
	int64_t clock_received_ms;
	int64_t lease_end_ms;
	int64_t former_leases_end_ms;
	int64_t frozen_ms;
	int64_t answered_ms;
	int64_t poll_due_ms;
	int64_t backoff_until_ms;
	uint32_t missed_polls;
	bool refused;
	uint32_t trials;
	uint32_t backoff_level;
	uint64_t failed_job;
	uint32_t fail_streak;
	uint64_t last_end;
	uint64_t round_end;
	uint64_t storing_end;
	uint64_t acked_end;
	struct cell_orphan *orphans;
	bool headroom_stale;
	struct serving_headroom headroom[SERVING_STEPS_MAX];
	size_t headroom_count;
	int64_t paced_ms;
};

/* Size of the cache of demands that no worker met. */
#define NO_FIT_MAX 64

/**
 * struct cell_demand - demand of a step; in the cache @no_fit of the cell, a
 * demand that no worker met
 * @service: name_hash() of the service whose pool runs the step
 * @step: identifies the step if it limits its tasks per worker; else 0
 * @image: name_hash() of the image of a best-effort step, else 0
 * @label: name_hash() of the label that the worker must have
 * @best_effort: STEP_BEST_EFFORT or 0
 * @version: only in the cache: workers whose version is not higher do not meet
 *	the demand
 * @at_ms: only in the cache: when all workers were tried; 0 for an empty entry
 */
struct cell_demand {
	uint64_t service;
	uint64_t step;
	uint64_t image;
	uint64_t label;
	uint32_t best_effort;
	uint32_t cpu;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint64_t version;
	int64_t at_ms;
};

/**
 * struct cell_queued_step - a step with tasks to place, and its sort keys
 * @lateness: 0: can still meet its objective, 1: is late, 2: is so late that
 *	its end has no value any more
 * @long_running: 1 for steps placed after short work, which frees its capacity
 *	again; 0 for short work and for steps that lacked a task for too long
 * @over_share: how far its account is above its share, see
 *	cell_quota_share_percent(); 0 unless the step has been left out for that
 * @misses_deadline: 1 if it cannot meet its objective any more by its
 *	estimates, else 0
 * @deadline_ms: the earliest goes first; for a step that has lacked a task for
 *	too long, the time since when
 */
struct cell_queued_step {
	uint32_t lateness;
	uint32_t priority;
	uint32_t long_running;
	uint32_t over_share;
	uint32_t misses_deadline;
	int64_t deadline_ms;
	struct cell_step *step;
};

/**
 * struct cell_candidate - a worker that can take a task of the step being
 * placed
 */
struct cell_candidate {
	double cost;
	struct cell_worker *worker;
};

/**
 * struct cell - the schedule of one partition under one owner
 * @now_ms: boot time of the last tick or call, and @wall_ms since 1970
 * @authority_until_ms: tasks may be started before this time
 * @unheard: workers with @unheard set; @unheard_by_ref counts them by
 *	reference
 * @former_named_workers: the owner before this one stored references of workers
 *	and the ends of leases
 * @doubts_ended: such a worker has been resolved since the last pass over the
 *	tasks in doubt
 * @stopped: cell_stop() was called; memory is freed after the last call
 * @batch_open: a batch has been taken and is not stored yet
 * @has_new_ends: a worker has reported an end since the last round of progress
 *	began
 * @place_due: something changed that a placement pass may make use of
 * @round: jobs with progress to store before that of those in @dirty; more than
 *	one batch may be needed for all of them
 * @taken_bytes: bytes of @pending_records that batches have taken so far
 * @calls: calls to workers in flight
 * @trials: sum of @trials of all workers
 * @version: counts changes of workers
 * @no_fit: cache of demands that no worker met, overwritten in turn at
 *	@no_fit_next
 * @quotas: client accounts of the jobs
 * @has_accounts: the configuration has been read; no task of a client account
 *	is started before
 * @full_at_ms: when a task found no worker last; 0 before
 * @shares: room for @share_cap accounts
 * @intents: list of the tasks whose intent to start waits to be stored
 * @queue: steps to place, sorted; room for @queue_cap
 * @candidates: heap of @candidate_count workers, cheapest first
 * @place_gap_ms: least time between two placement passes
 */
struct cell {
	struct cell_options opt;
	uint64_t epoch;
	struct job_view *view;
	const struct cell_ops *ops;
	void *ctx;
	const struct worker_ops *worker_ops;
	void *port;
	int64_t now_ms;
	int64_t wall_ms;
	int64_t ticked_ms;
	int64_t authority_until_ms;
	uint32_t unheard;
	uint16_t unheard_by_ref[WORKER_REF_COUNT];
	bool former_named_workers;
	bool doubts_ended;
	bool stopped;
	bool batch_open;
	bool has_new_ends;
	bool place_due;
	uint32_t calls;
	uint32_t trials;
	int64_t placed_at_ms;
	int64_t accounted_ms;
	int64_t jobs_due_ms;
	int64_t stops_due_ms;
	int64_t sweep_due_ms;
	int64_t load_due_ms;
	int64_t effect_model_due_ms;
	int64_t doubts_due_ms;
	struct index worker_ids;
	struct cell_worker *workers;
	struct cell_job *dirty; /* jobs with progress to store */
	struct cell_job *round;
	uint64_t taken_bytes;
	struct cell_worker *changed; /* all workers, last changed first */
	uint64_t version;
	struct cell_demand no_fit[NO_FIT_MAX];
	size_t no_fit_next;
	struct cell_job *jobs;
	struct effect_model effect_model;
	struct quota_table quotas;
	bool has_accounts;
	int64_t full_at_ms;
	struct fair_share *shares;
	size_t share_cap;
	struct cell_task *intents;
	struct cell_queued_step *queue;
	size_t queue_cap;
	struct cell_candidate *candidates;
	size_t candidate_count;
	size_t candidate_cap;
	int64_t place_gap_ms;
	struct buf pending_records; /* framed; all but progress */
	struct cell_counts counts;
};

/* cell.c */

/**
 * cell_record_add() - have a record stored with the next batch
 *
 * One that is larger than the store accepts is dropped with a log line.
 */
void cell_record_add(struct cell *c, struct str key, struct str value);

/**
 * cell_record_fits() - whether a record of this many bytes, framed, can be
 * stored
 */
bool cell_record_fits(const struct cell *c, size_t framed_bytes);

/**
 * cell_call_begin() - count a call to a worker, which keeps the cell allocated
 */
void cell_call_begin(struct cell *c);

/**
 * cell_call_end() - account for the reply to a call
 *
 * Return: false when the cell has been stopped; it may be freed by then and
 * must not be used.
 */
bool cell_call_end(struct cell *c);

/* cell_job.c */

/**
 * cell_job_add() - schedule a job
 * @recovered: the job was accepted under a former owner
 */
void cell_job_add(struct cell *c, struct job_entry *e, bool recovered);
void cell_job_free(struct cell *c, struct cell_job *j);

/**
 * cell_job_open_due() - open the occurrences whose time has come
 */
void cell_job_open_due(struct cell *c, struct cell_job *j);
void cell_occurrence_open(struct cell *c, struct cell_job *j, uint32_t k);

/**
 * cell_occurrence_step_done() - count a step whose tasks are all done
 */
void cell_occurrence_step_done(struct cell_job *j, struct cell_occurrence *o);

/**
 * cell_job_find() - look up a job by its id
 *
 * Return: the job, or NULL if this cell does not schedule it.
 */
struct cell_job *cell_job_find(const struct cell *c, uint64_t id);

/**
 * cell_task_find() - look up a task; the run in @ref is ignored
 *
 * Return: the task, or NULL if its occurrence is not open.
 */
struct cell_task *cell_task_find(const struct cell *c,
				 const struct task_ref *ref);

/**
 * cell_task_ref() - identify the current run of a task
 */
void cell_task_ref(const struct cell_task *t, struct task_ref *out);

/**
 * cell_job_mark_dirty() - have the job's progress stored with the next batch
 */
void cell_job_mark_dirty(struct cell *c, struct cell_job *j);

/**
 * cell_job_settle() - give a job its terminal state and stop all its tasks
 */
void cell_job_settle(struct cell *c, struct cell_job *j, uint32_t state);

/**
 * cell_task_count_failure() - count a failed run of a task, once
 *
 * It need not be the current run. The job fails when the task has used up its
 * attempts.
 */
void cell_task_count_failure(struct cell *c, struct cell_task *t, uint32_t run);

/**
 * cell_task_apply_end() - apply the end of a run to its task
 *
 * The task has no worker any more. It is placed again unless it is done.
 * @checkpoint: to resume from; NULL or empty keeps the last one
 */
void cell_task_apply_end(struct cell *c, struct cell_task *t, uint32_t run,
			 enum run_end how, const char *checkpoint);

/* cell_progress.c */

/**
 * cell_progress_recover() - restore a job's progress from its stored record
 */
void cell_progress_recover(struct cell *c, struct cell_job *j);

/**
 * cell_progress_hold_runs() - count the runs of ended jobs that a former owner
 * was stopping against the limits of their accounts
 *
 * They count until their worker is heard, or its leases have ended.
 */
void cell_progress_hold_runs(struct cell *c);

/**
 * cell_progress_write() - append a job's progress to a batch
 */
void cell_progress_write(const struct cell *c, const struct cell_job *j,
			 struct buf *out);

/* cell_task.c */

/**
 * cell_task_place() - assign a task to a worker and start it there
 *
 * The start waits until the intent to start the task is stored.
 */
void cell_task_place(struct cell *c, struct cell_task *t,
		     struct cell_worker *w);

/**
 * cell_start_stored() - start the tasks whose intent has just been stored
 */
void cell_start_stored(struct cell *c);

/**
 * cell_task_stop() - stop a task; a task without a worker is left as it is
 *
 * A stop that is not confirmed is sent again after STOP_RETRY_MS.
 */
void cell_task_stop(struct cell *c, struct cell_task *t);

/**
 * cell_task_end_run() - detach a task from its worker and apply the run's end
 */
void cell_task_end_run(struct cell *c, struct cell_task *t, enum run_end how,
		       const char *checkpoint);

/**
 * cell_task_mark_lost() - end a run whose end its worker did not report
 */
void cell_task_mark_lost(struct cell *c, struct cell_task *t);

/**
 * cell_task_confirm() - note that the worker has started the current run
 */
void cell_task_confirm(struct cell *c, struct cell_task *t);

/**
 * cell_task_adopt() - take over a run that a former owner started on @w
 */
void cell_task_adopt(struct cell *c, struct cell_task *t, struct cell_worker *w,
		     uint32_t run);

/**
 * cell_stop_orphan() - stop a run that is not the current run of any task
 */
void cell_stop_orphan(struct cell *c, struct cell_worker *w,
		      const struct task_ref *ref);

/**
 * cell_task_set_pace() - throttle a running task to @percent of its full speed
 */
void cell_task_set_pace(struct cell *c, struct cell_task *t, uint8_t percent);

/* cell_worker.c */

/**
 * cell_worker_find() - look up a worker by its id
 *
 * Return: the worker, or NULL.
 */
struct cell_worker *cell_worker_find(const struct cell *c, const char *id);

/**
 * cell_workers_tick() - poll workers, retry stops, expire leases
 */
void cell_workers_tick(struct cell *c);

/**
 * cell_worker_crashed() - end the runs of a worker whose process has been
 * replaced
 */
void cell_worker_crashed(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_back_off() - give a worker no new tasks for a pause that doubles
 * with each call
 */
void cell_worker_back_off(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_mark_changed() - note that a worker may now accept a task that it
 * did not accept before
 */
void cell_worker_mark_changed(struct cell *c, struct cell_worker *w);

/**
 * cell_worker_recover() - add a worker that a former owner has recorded
 */
struct cell_worker *cell_worker_recover(struct cell *c,
					const struct known_worker *k);

/* cell_cost.c */

/**
 * cell_worker_rack() - rack of a worker: its last label, empty if it has none
 */
const char *cell_worker_rack(const struct cell_worker *w);

/**
 * cell_may_add_task() - whether the step's anti-affinity, its limit of tasks on
 * one worker, allows another task on @w
 */
bool cell_may_add_task(const struct cell_step *st, const struct cell_worker *w);

/**
 * cell_fits() - whether a worker has free capacity for a task of a step and
 * cell_may_add_task() allows it
 *
 * For best-effort tasks, processors are not checked here.
 */
bool cell_fits(const struct cell_step *st, const struct cell_worker *w);

/**
 * cell_placement_cost() - cost of a task on a worker with capacity for it
 * @starved: accept the worker whatever the interference
 * @out: receives the cost; the lowest is best
 *
 * Return: 0, or -EBUSY when a best-effort task would take too much from the
 * tasks there.
 */
int cell_placement_cost(const struct cell *c, const struct cell_task *t,
			struct cell_worker *w, bool starved, double *out);

/* cell_place.c */

/**
 * cell_place() - run one placement pass
 */
void cell_place(struct cell *c);

/* cell_queue.c */

/**
 * cell_queue_fill() - collect the steps with tasks to place, most urgent first
 *
 * Return: the number of steps in @c->queue.
 */
size_t cell_queue_fill(struct cell *c);

/**
 * cell_queue_sort() - sort @count steps, most urgent first
 */
void cell_queue_sort(struct cell_queued_step *steps, size_t count);

/**
 * cell_step_is_ready() - whether all steps that this one depends on are done
 */
bool cell_step_is_ready(const struct cell_step *st);

/**
 * cell_is_long_unplaced() - whether a task of a long-running step has been
 * without a worker for too long
 */
bool cell_is_long_unplaced(const struct cell *c, const struct cell_step *st);

/* cell_room.c */

/**
 * cell_choose_worker() - find the cheapest worker for a task
 * @rack: only workers in this rack, or NULL for any
 * @starved: see cell_placement_cost()
 *
 * Return: the worker, or NULL.
 */
struct cell_worker *cell_choose_worker(struct cell *c,
				       const struct cell_task *t,
				       uint64_t service, const char *rack,
				       bool starved);

/**
 * cell_candidates_fill() - collect the workers that can take a task, for all
 * tasks of its step
 * @since_version: only workers with a higher @version; 0 for all
 *
 * One look at the workers serves the whole step: it answers many tasks that
 * wait for many workers.
 */
void cell_candidates_fill(struct cell *c, const struct cell_task *t,
			  uint64_t service, uint64_t since_version);

/**
 * cell_candidates_take() - find the cheapest of the candidates for a task
 *
 * Return: the worker, which stays a candidate for the next task of the step, or
 * NULL.
 */
struct cell_worker *cell_candidates_take(struct cell *c,
					 const struct cell_task *t);

/**
 * cell_reserve_worker() - reserve a worker until a task of the step fits there
 */
void cell_reserve_worker(struct cell *c, const struct cell_step *st,
			 uint64_t service);

/**
 * cell_step_demand() - what a step demands of a worker
 */
struct cell_demand cell_step_demand(const struct cell_step *st,
				    uint64_t service);

/**
 * cell_step_no_fit_version() - up to which version of the cell no worker meets
 * the demand of a step
 *
 * Return: the version: only workers with a higher one need to be tried; or 0.
 */
uint64_t cell_step_no_fit_version(struct cell *c, struct cell_step *st,
				  const struct cell_demand *demand);

/**
 * cell_no_fit_record() - record that no worker meets the demand of a step
 */
void cell_no_fit_record(struct cell *c, struct cell_step *st,
			const struct cell_demand *demand);

/* cell_gang.c */

/**
 * cell_place_gang() - place all tasks of a gang, or none
 */
void cell_place_gang(struct cell *c, struct cell_step *st, uint64_t service);

/* cell_account.c */

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

/* cell_pace.c */

/**
 * cell_pace_worker() - update the effect model from a worker's poll reply and
 * throttle its best-effort tasks
 */
void cell_pace_worker(struct cell *c, struct cell_worker *w);

/* A worker's capacity may shrink below what its tasks declare. */
static inline uint32_t cell_worker_cpu_free(const struct cell_worker *w)
{
	return w->cpu_used < w->entry.cpu ? w->entry.cpu - w->cpu_used : 0;
}

static inline bool step_has_flag(const struct cell_step *s, uint32_t flag)
{
	return s->spec->flags & flag;
}

static inline bool step_is_serving(const struct cell_step *s)
{
	return s->spec->target_ms > 0;
}

#endif
