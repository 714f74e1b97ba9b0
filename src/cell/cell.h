#ifndef CELL_CELL_H
#define CELL_CELL_H

#include "cell/job_view.h"
#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORKER_LABELS_MAX 4

/**
 * struct worker_entry - what a worker says of itself in the registry
 * @labels: the last one names its rack
 * @leaving_ms: while it drains, least time that is left, or 0
 * @born: start of this life, ms since 1970
 */
struct worker_entry {
	struct worker_addr addr;
	char zone[NAME_SIZE];
	char service[NAME_SIZE];
	char labels[WORKER_LABELS_MAX][NAME_SIZE];
	uint32_t label_count;
	uint32_t cpu;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool draining;
	int64_t leaving_ms;
	uint64_t born;
};

/**
 * struct cell_options - bounds of the deployment
 * @lease_ms: lease that an order gives a worker, on its clock
 * @takeover_ms: how long a former owner may still renew leases
 * @renew_after_ms: how long leases are renewed after authority ran out
 * @early_ms: how much before its time an occurrence may start
 * @keep_final_ms: how long a final state is kept
 * @poll_wait_ms: how long a worker may hold back its answer
 */
struct cell_options {
	int64_t lease_ms;
	int64_t takeover_ms;
	int64_t renew_after_ms;
	int64_t early_ms;
	int64_t keep_final_ms;
	uint32_t poll_wait_ms;
};

struct cell;

/**
 * struct cell_ops - what a cell asks of its host
 * @now: boot time, milliseconds
 * @zone_open: whether tasks may start in a zone
 * @queue_service: service that runs a queue now, or NULL if it is unknown
 * @fenced: a worker has seen a higher epoch; the cell is to be stopped, later
 */
struct cell_ops {
	int64_t (*now)(void *ctx);
	bool (*zone_open)(void *ctx, const char *zone);
	const char *(*queue_service)(void *ctx, const char *queue);
	void (*fenced)(void *ctx);
};

/**
 * cell_new() - schedule the jobs of one partition as its owner
 * @epoch: fence of this ownership
 * @table: jobs; all records up to the start of the epoch have been applied
 *
 * Return: a cell, to be given up by cell_stop().
 */
struct cell *cell_new(const struct cell_options *o, uint64_t epoch,
		      struct job_view *table, const struct cell_ops *ops,
		      void *ctx, const struct worker_ops *workers, void *port,
		      int64_t now_ms, int64_t wall_ms);

/**
 * cell_stop() - give up ownership; memory is freed once no call is open
 */
void cell_stop(struct cell *c);

/**
 * cell_set_authority() - until when tasks may be started, boot time
 */
void cell_set_authority(struct cell *c, int64_t until_ms);

void cell_job_accepted(struct cell *c, struct job_entry *e);
void cell_job_cancelled(struct cell *c, struct job_entry *e);
void cell_job_dropped(struct cell *c, struct job_entry *e);

void cell_worker_update(struct cell *c, const struct worker_entry *e);
void cell_worker_gone(struct cell *c, const char *id);

/**
 * cell_workers_retain() - all workers that are not in @ids have gone
 * @ids: name_hash() of the ids
 */
void cell_workers_retain(struct cell *c, const struct index *ids);

/**
 * cell_tick() - start, stop, renew and pace what is due
 *
 * Return: milliseconds until it wants to be called again.
 */
int64_t cell_tick(struct cell *c, int64_t now_ms, int64_t wall_ms);

/**
 * cell_take_batch() - records that wait to be stored, framed for one append
 *
 * Nothing is taken while the batch before is not stored.
 *
 * Return: true when @out holds records.
 */
bool cell_take_batch(struct cell *c, struct buf *out);

/**
 * cell_batch_stored() - the batch taken last is in the store
 */
void cell_batch_stored(struct cell *c);

/**
 * struct cell_counts - figures for status and metrics
 */
struct cell_counts {
	uint64_t epoch;
	uint32_t jobs;
	uint32_t workers;
	uint32_t usable;
	uint32_t waiting;
	uint32_t placed;
	bool recovering;
	uint64_t starts;
	uint64_t ends_done;
	uint64_t ends_failed;
	uint64_t ends_other;
	uint64_t no_room;
	uint64_t unanswered;
	uint64_t paces;
	uint64_t moves;
};

void cell_get_counts(const struct cell *c, struct cell_counts *out);

#ifdef __cplusplus
}
#endif

#endif
