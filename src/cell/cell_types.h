#ifndef CELL_CELL_TYPES_H
#define CELL_CELL_TYPES_H

#include "cell/cell.h"
#include "cell/effect_model.h"
#include "cell/fair_share.h"
#include "cell/load_table.h"
#include "cell/place_plan.h"
#include "cell/quota.h"
#include "cell/run_time_table.h"
#include "cell/size_table.h"

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
/* A worker takes longer than this to restart. */
#define WORKER_RESTART_MIN_MS 50
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
 * enum crash_doubt - whether a run was active on its worker's former process
 * when that crashed
 *
 * @DOUBT_SHARED: it may have been, as may runs of other jobs
 * @DOUBT_ALONE: if it was, no other job's run can have caused the crash
 */
enum crash_doubt {
	DOUBT_NONE,
	DOUBT_SHARED,
	DOUBT_ALONE,
};

/**
 * struct cell_task - one task of one occurrence
 * @run: number of its current run; without a worker, of the one before
 * @last_run: greatest number that a run of it may have had
 * @failed_runs: low 16 bits of the numbers of the runs counted in @failures
 * @ordered: an intent to start it is stored or waits to be stored, so it may
 *	have run
 * @in_intents: it is in the list @intents of struct cell
 * @storing_intent: the intent is part of the batch that is being stored
 * @storing_worker: id of the worker that this batch names
 * @start_held: its intent is stored, and it is started when the worker answers
 * @doubt_ref: reference of the worker on which a run that a former owner
 *	started may be active, see cell_task_is_in_doubt(); or WORKER_REF_NONE
 * @stop_sent_ms: when the last stop was sent; 0 before
 * @stop_confirmed_ms: when the worker confirmed the stop; 0 before
 * @start_sent_ms: when the last start was sent
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
 * @avoid_worker: id of the worker that a run failed on, or that crashed soon
 *	after it started it, last; 0 for none
 * @crashes: workers that crashed in a row soon after they started it, for no
 *	cause that others had in common with them
 * @crashes_seen: the same, whatever the cause, as far as this owner knows
 * @crashes_again: further crashes in a row of one worker while no other one
 *	suits the task, which are not in @crashes
 * @crashed_ms: when the last of all these crashes was noted by this owner
 * @suspected: a worker has crashed soon after it started it, and it has not
 *	settled since
 * @former_run: a former owner may have started it, and it has not settled since
 * @contained: see cell_contain_task()
 * @held: not placed before the evidence about its last crash is complete
 * @in_loss: listed in a loss, see struct worker_loss
 * @crash_doubt: enum crash_doubt
 * @settled: the worker has reported the run long enough after its start
 * @on_trial: counted in @trials of its worker
 * @in_quota: counted against the limits of its account
 * @is_timed: its run was started by this owner, not from a checkpoint, and has
 *	not been throttled: its running time can be learned
 * @started_clock: worker's clock when it confirmed or first reported the run; 0
 *	before
 * @late_held_until_ms: until then, it waits for a new process that may have
 *	carried out a start without an answer; 0 for no such time
 * @late_holds: starts of it with @stop_due, see struct late_start
 * @late_forgotten_until_ms: latest end of a run by such a start that has been
 *	forgotten; 0 for none
 */
struct cell_task {
	struct cell_step *step;
	struct cell_worker *worker;
	struct cell_task *next;
	struct cell_task *prev;
	struct cell_task *next_intent;
	uint32_t index;
	uint32_t run;
	uint32_t last_run;
	uint16_t failed_runs[FAILURES_KEPT];
	uint8_t state;
	uint8_t failures;
	uint8_t percent;
	bool ordered;
	bool in_intents;
	bool pace_in_flight;
	bool storing_intent;
	bool start_held;
	bool settled;
	bool on_trial;
	bool in_quota;
	bool is_timed;
	bool suspected;
	bool former_run;
	bool contained;
	bool held;
	bool in_loss;
	uint8_t crashes;
	uint8_t crashes_seen;
	uint8_t crashes_again;
	uint8_t crash_doubt;
	uint8_t pace;
	uint8_t pace_sent;
	uint16_t doubt_ref;
	uint64_t storing_worker;
	int64_t start_sent_ms;
	int64_t confirmed_ms;
	int64_t reported_ms;
	int64_t stop_sent_ms;
	int64_t stop_confirmed_ms;
	int64_t retry_at_ms;
	int64_t crashed_ms;
	int64_t over_since_ms;
	int64_t unproven_since_ms;
	int64_t paced_ms;
	uint32_t measure;
	uint32_t last_sample;
	int64_t last_sample_ms;
	int64_t throttled_since_ms;
	uint64_t avoid_worker;
	int64_t started_clock;
	int64_t late_held_until_ms;
	uint32_t late_holds;
	int64_t late_forgotten_until_ms;
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
 * @suspects: tasks with @suspected
 * @contained: tasks with @contained
 * @image: name_hash() of the image
 * @curve: load curve; NULL unless the step is latency-critical
 * @no_fit_version: no worker whose @version is not higher meets its demand, as
 *of
 *	@no_fit_at_ms; 0 if that is not known
 * @tried_ms: when a placement pass last reached it; 0 before
 * @ready_ms: when a placement pass first found all steps before it done; 0
 *	before
 * @planned: its tasks with a planned start, as of @planned_ms, when that was
 *	tried last; 0 before
 * @expected_ms: running time that half of its tasks keep, looked up at
 *	@expected_at_ms; 0 before
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
	uint32_t contained;
	uint64_t image;
	struct load_curve *curve;
	uint64_t no_fit_version;
	int64_t no_fit_at_ms;
	int64_t tried_ms;
	int64_t ready_ms;
	uint32_t planned;
	int64_t planned_ms;
	int64_t expected_ms;
	int64_t expected_at_ms;
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
 * @queue: name_hash() of its queue
 * @steps: steps of one occurrence
 * @waiting: tasks of open occurrences without a worker that are not done
 * @recovered: accepted under an earlier epoch: workers may run tasks of it that
 *	this owner does not know of yet
 * @placed: tasks that have a worker
 * @held: tasks with @in_quota
 * @contained: tasks with @contained
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
	uint64_t queue;
	size_t steps;
	uint32_t count;
	uint32_t occurrences_done;
	uint32_t waiting;
	uint32_t placed;
	uint32_t held;
	uint32_t contained;
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
 * @refuses_older_calls: its process has answered a poll with the present,
 *raised fence
 * @unheard: runs of a former owner may be active there, as it has not listed
 *	all its runs and ends to this owner; until its leases have ended at the
 *	latest
 * @former_leases_end_ms: boot time at which leases of former owners have ended;
 *	counts until it is @confirmed
 * @former_leases_born: process that this end was stored of; 0 if it counts for
 *	any
 * @recorded: its record is stored or waits to be stored
 * @storing_record: its record is part of the batch that is being stored
 * @stored: its record is stored, so a later owner will know of the worker
 * @record_end: value of @taken_bytes of the cell from which on its last record
 *	has been taken
 * @lease_frozen: its record, written at @frozen_ms, says that its leases are
 *	not extended
 * @freeze_sent: that record has been part of a batch, so its leases are not
 *	extended until a record that takes it back is stored
 * @poll_in_flight: a poll of the present process has not been answered yet;
 *	@poll_seq identifies it
 * @next_unpolled: next in the list @unpolled of the cell, and @prev_unpolled
 *	the one before, while @poll_in_flight is not set
 * @stale_polls: unanswered polls of former processes
 * @accepts_tasks: takes new tasks, evaluated at the start of each placement
 *	pass
 * @leaving_at_ms: earliest time at which it leaves; 0 if unknown
 * @clock: its own clock in its last reply, received at @clock_received_ms;
 *	@clock_received_ms is 0 while its clock is not known
 * @lease_end_ms: latest end of a lease sent to it, on its clock
 * @new_clock_until_ms: boot time until which leases may last that a process of
 *	unknown clock has granted; 0 for none
 * @is_new_clock: its process has restarted and may have granted a lease before
 *	its clock was known
 * @former_answered_ms: when the process before this one answered a poll last
 * @started_ms: boot time at which its process has started at the earliest, once
 *	it has been heard
 * @lease_unanswered_ms: latest time at which a process may have received a call
 *	with a deadline that got no answer; 0 before
 * @late_lease_until_ms: boot time until which its process may carry out a call
 *	with a deadline on the clock of a former one; 0 for no such time
 * @answered_ms: when it answered a poll last
 * @backoff_until_ms: gets no new tasks before this time
 * @missed_polls: unanswered polls in a row, the first one as of @silent_ms
 * @loss_noted: the end of its process has been noted, see cell_loss_note()
 * @refused: its host refused the connection for the last poll
 * @trials: unsettled runs there of suspected tasks
 * @backoff_level: back-offs since a run there ended as done; each doubles the
 *	pause of the next
 * @failed_job: job whose run failed there last
 * @fail_streak: failed runs in a row there; consecutive ones of the same job
 *	count once
 * @cpu_used: declared processors of the tasks there except best-effort ones, in
 *	thousandths of a core; @cpu_serving is the part of latency-critical
 *	tasks, @cpu_best_effort what best-effort tasks declare
 * @first_task: list of the tasks there, @task_count of them, @stopping of them
 *	in TASK_STOPPING
 * @orphans: runs there that no task stands for, as of the last poll reply
 * @headroom: headroom of the latency-critical steps there, @headroom_count of
 *	them; recomputed when @headroom_stale is set
 * @paced_ms: when paces were ordered last
 * @version: @version of the cell when it last changed such that it may accept a
 *	task it did not accept before
 * @reserved_for: step for which it is reserved until @reserved_until_ms against
 *	all but best-effort tasks; may be a dangling pointer and is only
 *	compared
 * @plan: planned start of tasks there, if it has an owner
 * @older: next in the list @changed of the cell
 * @last_end: greatest number of a reported end that has been applied
 * @round_end: @last_end when the cell began the present round of progress
 * @storing_end: up to here, all ends are stored once the batch that is being
 *	stored is
 * @acked_end: ends up to this number are stored; sent to the worker, which then
 *	forgets them
 * @sent_ack: acknowledgement in the last poll; 0 for none
 * @ack_held: it was left out of the last poll, see take_ack()
 * @forgotten_end: the worker has replied to a poll that acknowledged the ends
 *	up to this number
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
	uint32_t stopping;
	struct cell_task *first_task;
	const struct cell_step *reserved_for;
	int64_t reserved_until_ms;
	struct place_plan plan;
	struct worker_entry entry;
	uint64_t id;
	bool registered;
	bool confirmed;
	bool refuses_older_calls;
	bool unheard;
	bool recorded;
	bool storing_record;
	bool stored;
	uint64_t record_end;
	bool lease_frozen;
	bool freeze_sent;
	bool poll_in_flight;
	struct cell_worker *next_unpolled;
	struct cell_worker *prev_unpolled;
	uint64_t poll_seq;
	uint32_t stale_polls;
	bool accepts_tasks;
	int64_t leaving_at_ms;
	int64_t clock;
	int64_t clock_received_ms;
	int64_t lease_end_ms;
	int64_t new_clock_until_ms;
	bool is_new_clock;
	int64_t former_answered_ms;
	int64_t started_ms;
	int64_t lease_unanswered_ms;
	int64_t late_lease_until_ms;
	int64_t former_leases_end_ms;
	uint64_t former_leases_born;
	int64_t frozen_ms;
	int64_t answered_ms;
	int64_t poll_due_ms;
	int64_t backoff_until_ms;
	uint32_t missed_polls;
	int64_t silent_ms;
	bool loss_noted;
	bool refused;
	uint32_t trials;
	uint32_t backoff_level;
	uint64_t failed_job;
	uint32_t fail_streak;
	uint64_t last_end;
	uint64_t round_end;
	uint64_t storing_end;
	uint64_t acked_end;
	uint64_t sent_ack;
	bool ack_held;
	uint64_t forgotten_end;
	struct cell_orphan *orphans;
	bool headroom_stale;
	struct serving_headroom headroom[SERVING_STEPS_MAX];
	size_t headroom_count;
	int64_t paced_ms;
};

/* Losses of workers that are kept as evidence, the newest ones, and the tasks
 * listed with each. */
#define LOSSES_MAX 128
#define LOSS_TASKS_MAX 24

/**
 * struct worker_loss - the end of a worker's process that nobody announced
 * @worker: id of the worker; 0 for an empty entry
 * @from_ms: it answered last then, and @to_ms: it is known to have ended then
 * @charged_ms: when a task was charged with it last
 * @explained: a task that is listed here is contained
 * @has_others: runs that are not listed here may have been unsettled
 * @count: tasks with an unsettled run there, in @tasks
 * @cleared: of these, as a bit mask, those that have since run elsewhere and
 *	crashed nothing
 * @charged: bit mask of those that were charged
 * @alone: no other job's run can have caused the end
 * @excused: the charge was taken back
 * @pending: held until it is decided whether they are contained
 */
struct worker_loss {
	uint64_t worker;
	int64_t from_ms;
	int64_t to_ms;
	int64_t charged_ms;
	bool has_others;
	bool explained;
	uint32_t count;
	uint32_t cleared;
	uint32_t charged;
	uint32_t alone;
	uint32_t excused;
	uint32_t pending;
	struct task_ref tasks[LOSS_TASKS_MAX];
};

/* The platform carries out an order at most this late. */
#define LATE_MAX_MS 12000
/* Starts a second of a cell that holds the deployment of docs/CAPACITY.md. */
#define STARTS_PER_S_MAX 2300
/* Starts that may have no answer at a time: all of LATE_MAX_MS. */
#define LATE_STARTS_MAX (STARTS_PER_S_MAX * (LATE_MAX_MS / 1000))
/* The same for each worker of a cell with more workers than the 490 that this
 * allows for: 4.7 starts a second. */
#define LATE_STARTS_PER_WORKER 56

/**
 * struct late_start - a start without an answer, see cell_late.h
 * @next: the one noted after it
 * @next_of_worker: the one of the same worker noted after it
 * @next_due: next in the list @due of struct late_starts, if it is @in_due
 * @until_ms: it may be carried out until then
 * @stop_due: a new process of the worker has to be told to refuse it
 * @stop_sent_ms: when that was sent last; 0 before
 * @stop_confirmed_ms: when that process confirmed it; 0 before
 */
struct late_start {
	struct late_start *next;
	struct late_start *next_of_worker;
	struct late_start *next_due;
	struct late_worker *worker;
	struct task_ref ref;
	bool stop_due;
	bool in_due;
	int64_t until_ms;
	int64_t stop_sent_ms;
	int64_t stop_confirmed_ms;
};

/**
 * struct late_worker - the starts without an answer of one worker, which may
 * have left
 * @id: name_hash() of its id
 * @first: list of them, oldest first, to @last; not empty
 */
struct late_worker {
	uint64_t id;
	struct late_start *first;
	struct late_start *last;
};

/**
 * struct late_starts - the starts without an answer that may be carried out
 * @first: list of them, oldest first, to @last, @count of them
 * @due: list of those with @stop_due
 * @workers: struct late_worker by id
 * @in_flight: starts that have been sent and may yet be answered
 * @full_logged: @starts_held_back of the cell when that was logged last
 */
struct late_starts {
	struct late_start *first;
	struct late_start *last;
	struct late_start *due;
	struct index workers;
	size_t count;
	size_t in_flight;
	uint64_t full_logged;
};

/**
 * struct cell_loads - the load of the cell, see cell_load.h
 * @table: as of the last sample
 * @stored: as stored last
 * @peak: by row, the most of short work in this period; @last_peak: in the one
 *	before
 * @record_end: value of @taken_bytes of the cell from which on the last record
 *	has been taken, made at @stored_ms
 */
struct cell_loads {
	struct load_table table;
	struct load_table stored;
	uint64_t peak[LOAD_ROWS_MAX];
	uint64_t last_peak[LOAD_ROWS_MAX];
	int64_t sample_due_ms;
	int64_t store_due_ms;
	int64_t peak_due_ms;
	int64_t stored_ms;
	uint64_t record_end;
};

/* Size of the cache of demands that no worker met. */
#define NO_FIT_MAX 64

/**
 * struct cell_demand - demand of a step; in the cache @no_fit of the cell, a
 * demand that no worker met
 * @service: name_hash() of the service whose pool runs the step
 * @step: the step if it limits its tasks per worker; else all zero
 * @image: name_hash() of the image of a best-effort step, else 0
 * @label: name_hash() of the label that the worker must have
 * @best_effort: STEP_BEST_EFFORT or 0
 * @per_worker: most tasks of the step on one worker, 0 for no limit
 * @version: only in the cache: workers whose version is not higher do not meet
 *	the demand
 * @at_ms: only in the cache: when all workers were tried; 0 for an empty entry
 */
struct cell_demand {
	uint64_t service;
	struct step_ref step;
	uint64_t image;
	uint64_t label;
	uint32_t best_effort;
	uint32_t per_worker;
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
 * @misses_deadline: 1 if it cannot meet its objective any more by the running
 *	times that are known of its queue, else 0
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
 * struct pool_demand - what the short tasks of a pool have needed of late
 * @service: name_hash() of the service of the pool
 * @cpu: mean of the tasks that became ready, newer ones weigh more
 * @cpu_large: the most that a task that waited needed, as of @large_at_ms
 */
struct pool_demand {
	uint64_t service;
	double cpu;
	uint32_t cpu_large;
	int64_t large_at_ms;
};

/* Workers with a planned start. */
#define PLANS_MAX 256

/* Pools of which the demand is tracked; others are served as tasks come. */
#define POOL_DEMANDS_MAX 8

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
 * @now_ms: boot time of the last tick or call
 * @wall_ms: milliseconds since 1970 at the last tick, @wall_offset_ms more than
 *	its boot time
 * @authority_until_ms: tasks may be started before this time
 * @renew_until_ms: workers are polled, and their leases extended, before this
 *	time
 * @renews: whether that was so at the last tick
 * @handover_began_ms: since when another host is about to take the cell; or 0
 * @unheard: workers with @unheard set; @unheard_by_ref counts them by
 *	reference
 * @former_named_workers: the owner before this one stored references of workers
 *	and the ends of leases
 * @raises_fences: the fences of workers rise with their new processes, see
 *	cell_fence.h
 * @fences_record_end: value of @taken_bytes from which on the record of that
 *	has been taken; 0 before there is one
 * @storing_fences: that record has been part of a batch
 * @least_raises: raises of the fence of a worker that is added
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
 * @unpolled: list of the workers without a poll in flight
 * @workers_at: the next worker that cell_workers_tick() looks at; NULL at the
 *	beginning of a pass over all workers
 * @stops_due: the present pass sends stops
 * @workers_seen: workers that these passes have looked at
 * @calls: calls to workers in flight
 * @poll_seq: number of the last poll
 * @trials: sum of @trials of all workers
 * @contained_trials: those among them of contained tasks
 * @contained_crash_ms: when a worker crashed under a contained task last; 0
 *	before
 * @losses: the newest losses of workers, overwritten in turn at @losses_noted,
 *	the last one noted at @lost_ms
 * @verdicts: sum of the tasks in @pending of all losses
 * @late: starts without an answer
 * @version: counts changes of workers
 * @no_fit: cache of demands that no worker met, overwritten in turn at
 *	@no_fit_next
 * @run_times: running times of tasks that this owner has seen
 * @is_registry_read: the registry has been listed as a whole
 * @quotas: client accounts of the jobs
 * @has_accounts: the configuration has been read; no task of a client account
 *	is started before
 * @full_at_ms: when a task found no worker last; 0 before
 * @shares: room for @share_cap accounts
 * @intents: list of the tasks whose intent to start waits to be stored
 * @queue: steps to place, sorted; room for @queue_cap
 * @plans: workers with a plan, @plan_count of them
 * @plans_in_pass: attempts to plan a step in this pass
 * @plans_logged: @plans_made of the counts when they were logged last
 * @demands: of the pools, @demand_count of them
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
	int64_t wall_offset_ms;
	int64_t ticked_ms;
	int64_t authority_until_ms;
	int64_t renew_until_ms;
	bool renews;
	int64_t handover_began_ms;
	uint32_t unheard;
	uint16_t unheard_by_ref[WORKER_REF_COUNT];
	bool former_named_workers;
	bool raises_fences;
	bool storing_fences;
	uint64_t fences_record_end;
	uint32_t least_raises;
	bool doubts_ended;
	bool stopped;
	bool batch_open;
	bool has_new_ends;
	bool place_due;
	uint32_t calls;
	uint64_t poll_seq;
	uint32_t trials;
	uint32_t contained_trials;
	int64_t contained_crash_ms;
	uint32_t verdicts;
	size_t losses_noted;
	int64_t lost_ms;
	int64_t verdicts_due_ms;
	struct worker_loss losses[LOSSES_MAX];
	struct late_starts late;
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
	struct cell_worker *unpolled;
	struct cell_worker **workers_at;
	bool stops_due;
	int64_t workers_ms;
	uint64_t workers_seen;
	struct cell_job *dirty; /* jobs with progress to store */
	struct cell_job *round;
	uint64_t taken_bytes;
	struct cell_worker *changed; /* all workers, last changed first */
	uint64_t version;
	struct cell_demand no_fit[NO_FIT_MAX];
	size_t no_fit_next;
	struct cell_job *jobs;
	struct effect_model effect_model;
	struct run_time_table run_times;
	struct size_table sizes;
	bool is_registry_read;
	int64_t sizes_due_ms;
	int64_t sizes_store_due_ms;
	struct cell_loads loads;
	struct quota_table quotas;
	bool has_accounts;
	int64_t full_at_ms;
	struct fair_share *shares;
	size_t share_cap;
	struct cell_task *intents;
	struct cell_queued_step *queue;
	size_t queue_cap;
	struct cell_worker *plans[PLANS_MAX];
	size_t plan_count;
	uint32_t plans_in_pass;
	uint64_t plans_logged;
	struct pool_demand demands[POOL_DEMANDS_MAX];
	size_t demand_count;
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

/* A worker's capacity may shrink below what its tasks declare. */
static inline uint32_t cell_worker_cpu_free(const struct cell_worker *w)
{
	return w->cpu_used < w->entry.cpu ? w->entry.cpu - w->cpu_used : 0;
}

/* Whether a task has been started on a worker, as far as the owner knows. */
static inline bool cell_worker_has_runs(const struct cell_worker *w)
{
	const struct cell_task *t;

	for (t = w->first_task; t; t = t->next)
		if (t->state != TASK_STORING)
			return true;
	return false;
}

static inline bool step_has_flag(const struct cell_step *s, uint32_t flag)
{
	return s->spec->flags & flag;
}

/* Short work ends by itself and has processors allocated. */
static inline bool step_is_short(const struct cell_step *s)
{
	return !step_has_flag(s, STEP_LONG_RUNNING | STEP_BEST_EFFORT);
}

static inline bool step_is_serving(const struct cell_step *s)
{
	return s->spec->target_ms > 0;
}

#endif
