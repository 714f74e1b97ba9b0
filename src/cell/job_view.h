#ifndef CELL_JOB_VIEW_H
#define CELL_JOB_VIEW_H

#include "base/index.h"
#include "cell/job_spec.h"
#include "cell/load_table.h"
#include "cell/size_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Keys of the records: ID, ID/c (cell/job_cancel.h) and ID/p with the job's ID
 * as 16 hexadecimal digits; w/WORKER for a worker; "learned" for the effect
 * model that the owners learn, see cell/effect_model.h; "sizes" for the sizes
 * of workers; "loads" for what the jobs ask of them. */
#define JOB_KEY_SIZE 20
#define WORKER_KEY_PREFIX "w/"
#define EFFECT_MODEL_KEY "learned"
#define SIZES_KEY "sizes"
#define LOADS_KEY "loads"
/* Key of the record by which each owner raises the fences of new processes of
 * workers, and its value. */
#define FENCES_KEY "fences"
#define FENCES_RAISED "raised"
/* Key of the record that names the owner, which each owner writes first. */
#define OWNER_KEY "owner"
/* Owners of this version store on which worker each start may run, and whether
 * a worker's leases are extended. */
#define RECORD_VERSION 1

/**
 * struct job_entry - one job as recorded in the store
 * @is_accepted: the record with the job as submitted has been read
 * @spec: the job as submitted, or NULL before that record has been read and
 *	after job_entry_shrink()
 * @memory: owns @spec
 * @demand: after job_entry_shrink(), what job_spec_write_demand() left of @spec
 * @progress: the newest progress record, as stored; empty after
 *	job_entry_shrink() if no run can be active
 * @state: enum job_state
 * @cancelled: a cancellation is stored; a terminal state in a later record is
 *	ignored
 * @cancel_accounts: accounts that have cancelled the job before it was
 *	accepted, see cell/job_cancel.h; empty once it is accepted
 * @is_pending: included in the pending jobs of its queue
 * @added_ms: boot time at which this process added the entry
 * @added_number: number of the record that added it, see struct job_view
 * @read_ms: boot time at which a record of the job was applied last
 * @terminal_ms: boot time at which this process saw the terminal state, or
 *	@cancel_accounts; 0 before
 * @cell_job: the owner's struct cell_job, or NULL
 */
struct job_entry {
	uint64_t id;
	struct job_spec *spec;
	struct arena memory;
	struct buf demand;
	struct buf progress;
	uint32_t state;
	bool is_accepted;
	bool cancelled;
	struct buf cancel_accounts;
	bool is_pending;
	int64_t added_ms;
	uint64_t added_number;
	int64_t read_ms;
	int64_t terminal_ms;
	void *cell_job;
	struct job_entry *next;
	struct job_entry *prev;
};

/**
 * struct known_worker - a worker that an owner may have sent orders to
 * @born: start time of the worker process, ms since 1970
 * @lease_left_ms: the worker does not answer; its leases end within this time
 *	from the writing of the record, and none is extended before another
 *	record is stored. 0 if leases may be extended.
 * @leases_end_ms: boot time at which these leases have ended; 0 if they may be
 *	extended. Not stored.
 * @read_ms: boot time at which the record was applied last; not stored
 */
struct known_worker {
	char id[NAME_SIZE];
	char address[NAME_SIZE];
	uint64_t born;
	uint64_t lease_left_ms;
	int64_t leases_end_ms;
	int64_t read_ms;
	struct known_worker *next;
};

/**
 * struct cell_owner - the host that owns the partition's cell
 * @name: of the host
 * @address: on which it takes messages of other hosts
 * @record_version: RECORD_VERSION of its release; 0 in the records of releases
 *	without it
 */
struct cell_owner {
	char name[NAME_SIZE];
	char address[NAME_SIZE];
	uint32_t record_version;
};

/**
 * struct job_view - all jobs of one partition, built from its records
 * @memory: owns the counts in @queues
 * @effect_model: the stored effect model, empty before one has been read
 * @sizes: the largest workers, empty before the record has been read
 * @loads: what the jobs ask of the workers, empty before that
 * @loads_number: number of the record that @loads were read from
 * @jobs: the entries, those that were added last first
 * @applied: records that have been applied, by which they are numbered
 * @early_cancels: number of entries with cancel_accounts
 * @owner: the newest owner, empty before one is known
 * @raises_fences: owners raise fences, see cell_raise_fences(); this is final
 * @owner_seen_ms: boot time at which the last record with the key "learned" was
 *	read, which every owner writes periodically; 0 before
 *
 * Every host that follows the partition builds the same view. Applying a record
 * twice is harmless: a record replaces the one before it, except that the first
 * record that accepts an ID stays.
 */
struct job_view {
	struct index by_id;
	struct index queues;  /* name_hash() to struct queue_count */
	struct index workers; /* name_hash() to struct known_worker */
	struct arena memory;
	struct job_entry *jobs;
	struct known_worker *known_workers;
	uint64_t applied;
	size_t early_cancels;
	struct buf effect_model;
	struct size_table sizes;
	struct load_table loads;
	uint64_t loads_number;
	struct cell_owner owner;
	bool raises_fences;
	int64_t owner_seen_ms;
	const struct job_view_ops *ops;
	void *ctx;
};

/**
 * struct job_view_ops - callbacks of a view, for the scheduler
 * @accepted: the record with the job's spec has been read
 * @cancelled: the job has been cancelled and was not in a terminal state
 * @dropped: the job's record has been deleted; the entry is freed next
 */
struct job_view_ops {
	void (*accepted)(void *ctx, struct job_entry *e);
	void (*cancelled)(void *ctx, struct job_entry *e);
	void (*dropped)(void *ctx, struct job_entry *e);
};

void job_view_init(struct job_view *v, const struct job_view_ops *ops,
		   void *ctx);
void job_view_finish(struct job_view *v);

/**
 * job_view_apply() - apply one record to the view
 * @value: empty when the key was deleted
 * @now_ms: boot time, in milliseconds
 *
 * Return: 0, -EBADMSG for a record that cannot be decoded, or -ENOENT for an
 * unknown key.
 */
int job_view_apply(struct job_view *v, struct str key, struct str value,
		   int64_t now_ms);

/**
 * job_view_drop_unread() - drop what a complete listing lacks
 * @since_ms: boot time at which the listing began, in milliseconds
 *
 * Drops the jobs and workers of which no record has been applied since then.
 *
 * Return: how many were dropped.
 */
size_t job_view_drop_unread(struct job_view *v, int64_t since_ms);

struct job_entry *job_view_get(const struct job_view *v, uint64_t id);

/**
 * job_view_unused_id() - find an ID for a job that is not submitted
 *
 * Return: the highest ID that no job has: of two equal jobs, the one with the
 * higher ID is placed last.
 */
uint64_t job_view_unused_id(const struct job_view *v);

/**
 * job_view_pending() - count the accepted jobs of a queue that have not started
 *
 * Repeating jobs are not counted.
 */
uint32_t job_view_pending(const struct job_view *v, const char *queue);

/**
 * job_entry_set_state() - set the state that is stored for a job
 *
 * A terminal state stays, and a state earlier in enum job_state is ignored.
 */
void job_entry_set_state(struct job_view *v, struct job_entry *e,
			 uint32_t state, int64_t now_ms);

/**
 * job_entry_shrink() - free what nobody needs of a job that has ended
 *
 * Callers may query its state, and its account decides which of them. An owner
 * counts the runs that may still be active on behalf of the account. Does
 * nothing before the job has ended and the owner's cell_job is gone.
 */
void job_entry_shrink(struct job_entry *e);

/**
 * job_entry_spec() - the spec of a job, or its demand after job_entry_shrink()
 * @a: arena that owns what is decoded
 *
 * Return: NULL for a job that has not been accepted. Valid as long as @a and
 * the spec of the entry.
 */
const struct job_spec *job_entry_spec(const struct job_entry *e,
				      struct arena *a);

/**
 * job_key() - write the key of one of a job's records
 * @kind: 0, 'c' for its cancellation or 'p' for its progress
 */
struct str job_key(uint64_t id, char kind, char out[JOB_KEY_SIZE]);

/**
 * job_id_parse() - parse an ID of 16 hexadecimal digits, in either case
 * @id: receives the ID; unchanged when the text is not one
 *
 * Return: 0 or -EINVAL.
 */
int job_id_parse(struct str text, uint64_t *id);

/**
 * job_entry_write_cancel() - write the record that cancels a job
 * @e: entry of the job, or NULL
 * @account: of the caller, which may cancel the job if it is accepted; empty
 *	for none
 */
void job_entry_write_cancel(const struct job_entry *e, const char *account,
			    struct buf *out);

/**
 * job_entry_is_cancelled_for() - whether a cancellation is stored that covers
 * the job of an account
 */
bool job_entry_is_cancelled_for(const struct job_entry *e, const char *account);

void known_worker_write(const struct known_worker *w, struct buf *out);
void cell_owner_write(const struct cell_owner *o, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
