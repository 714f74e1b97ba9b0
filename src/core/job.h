#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <ck_queue.h>

#include "base/index.h"
#include "core/record.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum job_phase - what the owner of a job waits for
 */
enum job_phase {
	JOB_QUEUED,    /* room on a worker */
	JOB_RESERVING, /* the rack owner's answer */
	JOB_RECORDING, /* confirmation of the start record */
	JOB_STARTING,  /* the worker's word that it runs */
	JOB_RUNNING,   /* the end of the task */
	JOB_STOPPING,  /* the worker's word that the attempt is over */
	JOB_ENDING,    /* confirmation of an over or finish record */
	JOB_DONE,      /* nothing */
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
 * struct job - one request that is a task
 *
 * The first part is changed only by records read back from the log; the
 * second is the owner's own and is lost with it.
 * @may_have_run: some attempt may have run
 * @attempt_open: attempt @attempt may be running
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
	uint64_t last_full_rack; /* the rack that had no room last */
	uint64_t rack_epoch;     /* of the rack owner that says it runs */
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
 * @active: jobs that are not done
 * @done: answered jobs, kept so that a key gets the same answer again
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
 * job_table_add() - new job, active and not accepted
 */
struct job *job_table_add(struct job_table *t, uint64_t id, const char *service,
			  const char *key, struct str payload);
void job_table_remove(struct job_table *t, struct job *j);

/**
 * job_table_apply() - change the durable part by one record
 *
 * Return: the job, or NULL when the record names no known job or is void.
 */
struct job *job_table_apply(struct job_table *t, const struct record *r);

/**
 * job_table_expire() - forget done jobs older than a wall time
 */
void job_table_expire(struct job_table *t, int64_t before_ms);

/**
 * job_to_record() - the whole durable part, for a snapshot
 */
void job_to_record(const struct job *j, struct record *r);

/**
 * job_table_set_team() - count an active job for a team
 */
void job_table_set_team(struct job_table *t, struct job *j, uint64_t team);
uint32_t job_table_team_open(const struct job_table *t, uint64_t team);

void job_add_waiter(struct job *j, uint64_t host, uint64_t corr,
		    int64_t deadline_ms);

/**
 * job_id() - identity of a request: service and idempotency key
 */
uint64_t job_id(const char *service, const char *key);
const char *job_phase_name(enum job_phase p);

#ifdef __cplusplus
}
#endif

#endif
