#ifndef CELL_JOB_VIEW_H
#define CELL_JOB_VIEW_H

#include "base/index.h"
#include "cell/job_spec.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Keys: ID, ID/c and ID/p, the ID as 16 hexadecimal digits; w/WORKER; learned
 * for what owners have learned of images that disturb each other. */
#define JOB_KEY_SIZE 20
#define WORKER_KEY_PREFIX "w/"
#define LEARNED_KEY "learned"

/**
 * struct job_entry - one job as the store tells it
 * @spec: what the caller handed in, or NULL before that record is read
 * @state: enum job_state
 * @cancelled: a cancel is stored; only ends that were stored earlier count
 * @progress: the newest record of what is settled
 * @seen_ms: when the entry appeared here, boot time
 * @terminal_ms: when the state became final here, boot time; 0 before
 * @cell_job: the scheduler's own state of the job, or NULL
 */
struct job_entry {
	uint64_t id;
	struct job_spec *spec;
	struct arena memory;
	struct buf progress;
	uint32_t state;
	bool cancelled;
	bool is_pending;
	int64_t seen_ms;
	int64_t terminal_ms;
	void *cell_job;
	struct job_entry *next;
	struct job_entry *prev;
};

/**
 * struct known_worker - a worker that an owner has given orders to
 */
struct known_worker {
	char id[NAME_SIZE];
	char address[NAME_SIZE];
	uint64_t born;
	struct known_worker *next;
};

/**
 * struct job_view - all jobs of one partition, built from its records
 *
 * @owner_seen_ms: when a record of an owner was read last, boot time
 *
 * Every host that follows the partition builds the same table. Records may be
 * read twice: each is whole, and the first accept of an ID counts.
 */
struct job_view {
	struct index by_id;
	struct index queues;  /* name_hash() to struct queue_count */
	struct index workers; /* name_hash() to struct known_worker */
	struct arena memory;
	struct job_entry *jobs;
	struct known_worker *known_workers;
	struct buf learned;
	int64_t owner_seen_ms;
	const struct job_view_ops *ops;
	void *ctx;
};

/**
 * struct job_view_ops - told of changes that matter to a scheduler
 */
struct job_view_ops {
	void (*accepted)(void *ctx, struct job_entry *e);
	void (*cancelled)(void *ctx, struct job_entry *e);
	void (*dropped)(void *ctx, struct job_entry *e);
};

void job_view_init(struct job_view *t, const struct job_view_ops *ops,
		   void *ctx);
void job_view_finish(struct job_view *t);

/**
 * job_view_apply() - take in one record
 * @now_ms: boot time
 *
 * Return: 0, -EBADMSG for a record that cannot be read, or -ENOENT for a key
 * that names nothing of ours.
 */
int job_view_apply(struct job_view *t, struct str key, struct str value,
		   int64_t now_ms);

struct job_entry *job_view_get(const struct job_view *t, uint64_t id);

/**
 * job_view_pending() - accepted jobs of a queue that have not started
 *
 * Jobs that repeat at set times are left out.
 */
uint32_t job_view_pending(const struct job_view *t, const char *queue);

/**
 * job_entry_set_state() - a state that is stored
 */
void job_entry_set_state(struct job_view *t, struct job_entry *e,
			 uint32_t state, int64_t now_ms);

/**
 * job_key() - key of one of a job's records
 * @kind: 0, 'c' for its cancel or 'p' for its progress
 */
struct str job_key(uint64_t id, char kind, char out[JOB_KEY_SIZE]);

/**
 * job_id_parse() - the ID in text of 16 hexadecimal digits
 *
 * Return: the ID, or 0.
 */
uint64_t job_id_parse(struct str text);

void known_worker_write(const struct known_worker *w, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
