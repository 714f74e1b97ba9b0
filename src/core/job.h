#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <ck_queue.h>

#include "base/index.h"
#include "core/record.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum job_phase - the event that the owner of a job waits for
 */
enum job_phase {
	JOB_QUEUED,    /* free capacity on a worker */
	JOB_RESERVING, /* the rack owner's reply to a reservation */
	JOB_RECORDING, /* confirmation of the start record */
	JOB_STARTING,  /* the worker's report that the attempt runs */
	JOB_RUNNING,   /* the end of the attempt */
	JOB_STOPPING,  /* the worker's report that the attempt is over */
	JOB_ENDING,    /* confirmation of an over or finish record */
	JOB_DONE,      /* nothing: the job has its final answer */
};

/**
 * struct waiter - an entry host that waits for a job's answer
 */
struct waiter {
	uint64_t host;
	uint64_t corr;
	int64_t deadline_ms; /* local clock */
};

/**
 * struct job - a request and the state of its execution
 * @attempt_open: attempt @attempt may be running
 * @may_have_run: an attempt that is over may have run
 * @attempt: number of the newest attempt, 0 before the first
 * @accept_appended: the accept record was handed to the stream
 * @answered_early: the callers have the result; its finish record is not
 *                  confirmed yet
 * @tries: unsuccessful tries in the current phase
 * @corr: correlation id of the pending request to a rack owner
 * @avoid_worker: worker on which the last attempt failed, or 0
 * @last_full_rack: rack that refused the last reservation, or 0
 * @rack_epoch: epoch of the rack owner that last reported the attempt running
 * @due_ms: time of the next action
 * @snapshot_ms: time of the last snapshot record; before the first one, the
 *               time of submission, or a random recent time after a takeover
 *
 * The first part is durable: it changes only when records are read back from
 * the log. The second part is held by the owner in memory and is lost with it.
 */
struct job {
	uint64_t id;
	char service[NAME_SIZE];
	char key[NAME_SIZE];
	uint64_t digest;
	struct str payload;
	struct str result;
	int64_t accepted_at_ms; /* wall */
	int64_t deadline_ms;    /* wall */
	bool accepted;
	bool attempt_open;
	bool may_have_run;
	bool done;
	uint32_t attempt;
	uint32_t failures;
	uint32_t reason;
	uint32_t verdict;
	uint64_t worker;
	uint64_t rack;
	uint64_t boot;
	uint64_t progress;
	uint64_t cpu_ms;
	int64_t done_at_ms; /* wall */

	enum job_phase phase;
	bool accept_appended;
	bool cancelled;
	bool answered_early;
	uint32_t tries;
	uint64_t corr;
	uint64_t next_worker;
	uint64_t next_boot;
	uint64_t next_rack;
	uint64_t avoid_worker;
	uint64_t last_full_rack;
	uint64_t rack_epoch;
	uint64_t team;
	int64_t due_ms;
	int64_t since_ms;
	int64_t snapshot_ms;
	struct waiter *waiters;
	size_t waiter_count;
	CK_LIST_ENTRY(job) link;
};

CK_LIST_HEAD(job_list, job);

/**
 * struct job_table - the jobs of one job shard
 * @active: jobs without a final answer
 * @done: jobs with a final answer, kept so that a repeated key gets the same
 *        answer again
 */
struct job_table {
	struct index by_id;
	struct index team_open; /* team to number of active jobs */
	struct job_list active;
	struct job_list done;
	size_t active_count;
	size_t done_count;
};

void job_table_init(struct job_table *t);
void job_table_finish(struct job_table *t);
void job_table_clear(struct job_table *t);

struct job *job_table_get(const struct job_table *t, uint64_t id);

/**
 * job_table_add() - add an active job that is not accepted yet
 * @payload: copied
 */
struct job *job_table_add(struct job_table *t, uint64_t id, const char *service,
			  const char *key, struct str payload);
void job_table_remove(struct job_table *t, struct job *j);

/**
 * job_table_apply() - apply one record to the durable part of its job
 *
 * An accept record or a whole job record adds a job that is not known.
 *
 * Return: the job, or NULL when the record is void or names an unknown job.
 */
struct job *job_table_apply(struct job_table *t, const struct record *r);

/**
 * job_table_expire() - remove the done jobs that ended before a time
 * @before_ms: wall-clock time, in milliseconds
 */
void job_table_expire(struct job_table *t, int64_t before_ms);

/**
 * job_to_record() - fill a record with the whole durable part of a job
 * @r: refers to the payload and the result of @j
 */
void job_to_record(const struct job *j, struct record *r);

/**
 * job_table_set_team() - count an active job towards the limit of a team
 */
void job_table_set_team(struct job_table *t, struct job *j, uint64_t team);
uint32_t job_table_team_open(const struct job_table *t, uint64_t team);

void job_add_waiter(struct job *j, uint64_t host, uint64_t corr,
		    int64_t deadline_ms);

/**
 * job_id() - hash a service and an idempotency key to the id of a request
 */
uint64_t job_id(const char *service, const char *key);
const char *job_phase_name(enum job_phase p);

#ifdef __cplusplus
}
#endif

#endif
