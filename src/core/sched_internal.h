#ifndef CORE_SCHED_INTERNAL_H
#define CORE_SCHED_INTERNAL_H

#include "base/counter.h"
#include "core/claim.h"
#include "core/ledger.h"
#include "core/sched.h"

#ifdef __cplusplus
extern "C" {
#endif

enum shard_kind { SHARD_JOBS, SHARD_RACK };

enum shard_state {
	SHARD_IDLE,      /* not owned here, and no takeover in progress */
	SHARD_FOLLOWING, /* replaying its stream before the claim */
	SHARD_CLAIMING,  /* claim appended, not read back */
	SHARD_OWNED,
	SHARD_RELEASING, /* release appended, not read back */
};

/**
 * struct shard - a job stream or a rack, with its owner
 * @stream: stream with the claims of the shard; of a job shard also its jobs
 * @owns_stream: @stream is freed with the shard
 * @claim: owner and epoch according to the log
 * @owned_ms: time when this schedd became the owner
 * @marked_ms: time when the owner last repeated its claim in a mark record
 * @reassigned_ms: time since which the owned shard is assigned to another
 *                 schedd; 0 when it is not
 * @state_since_ms: time when @state was last set, or a read-back last forced
 * @claim_backoff_until_ms: time before which this schedd does not claim the
 *                          shard, because another schedd has claimed it
 * @hint_host: host that reports in heartbeats that it owns the shard; 0 when
 *             none does
 * @hint_epoch: epoch of that report
 * @hint_ms: time of that report
 * @free_capacity: largest free amount of each resource on any one worker of
 *                 the rack, and the free slots of the whole rack
 * @billed_ms: time when bill records were last written
 * @refused: the newest submits that were answered as not run
 * @refused_ring: the keys of @refused; when it is full, the oldest is replaced
 */
struct shard {
	uint64_t id;
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	enum shard_kind kind;
	enum shard_state state;
	struct stream *stream;
	bool owns_stream;
	struct claim claim;
	int64_t owned_ms;
	int64_t marked_ms;
	int64_t reassigned_ms;
	int64_t state_since_ms;
	int64_t claim_backoff_until_ms;

	uint64_t hint_host;
	uint64_t hint_epoch;
	int64_t hint_ms;
	struct resources free_capacity;

	struct job_table jobs;
	struct ledger ledger;
	int64_t billed_ms;
	struct index refused;
	uint64_t *refused_ring;
	size_t refused_next;
};

/**
 * struct peer - another schedd of the region
 * @last_contact_ms: time of its newest heartbeat
 * @alive_since_ms: time when heartbeats resumed after its time-out
 */
struct peer {
	uint64_t id;
	uint64_t incarnation;
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	bool draining;
	int64_t last_contact_ms;
	int64_t alive_since_ms;
};

static inline int64_t sched_wall_ms(const struct sched *s)
{
	return s->now_ms + s->wall_offset_ms;
}

static inline bool sched_has_protection(const struct sched *s,
					enum protection p)
{
	return (s->opts.protections & (uint32_t)p) != 0;
}

/**
 * sched_event() - record an event for the timeline
 * @job: id of the job, or 0
 * @attempt: number of the attempt, or 0
 */
void sched_event(struct sched *s, const char *name, uint64_t job,
		 uint32_t attempt, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
void sched_count(struct sched *s, enum counter_id id, uint64_t n);

/**
 * sched_send() - send a message to a host
 * @to: host id; 0 drops the message, the own id queues a copy in the loopback
 *      list
 */
void sched_send(struct sched *s, uint64_t to, struct msg *m);

/**
 * sched_can_start() - test whether a new task may start now
 *
 * The configuration, the claims and the host list must have been read within
 * SCHED_STALENESS_MAX_MS. A log that replies, but refuses appends, does
 * not prevent a start.
 */
bool sched_can_start(const struct sched *s);

/**
 * sched_fresh_until() - get the local time until which a start order is valid
 *
 * After that time, the reads on which the order rests are too old.
 */
int64_t sched_fresh_until(const struct sched *s);

/**
 * sched_claims_fresh_ms() - when the oldest of the last reads of the claims
 * that reached the head was sent, over all zones of which this schedd may own
 * racks
 */
int64_t sched_claims_fresh_ms(const struct sched *s);

/**
 * sched_add_listed_workers() - add the workers of the newest host list whose
 * racks this schedd may own
 */
void sched_add_listed_workers(struct sched *s);

/* Ownership: sched_owner.c, sched_claim.c, sched_peer.c */
void sched_set_state(struct sched *s, struct shard *sh, enum shard_state state);
void sched_start_claim(struct sched *s, struct shard *sh);
bool sched_owner_is_alive(const struct sched *s, const struct shard *sh);
struct peer *sched_peer_of_owner(const struct sched *s, uint64_t owner);
void sched_sync_shards(struct sched *s);
void sched_owner_tick(struct sched *s);
void sched_load_shard_stream(void *ctx, struct stream *st,
			     const struct log_read *r);
void sched_shard_caught_up(void *ctx, struct stream *st);
void sched_step_down(struct sched *s, struct shard *sh, const char *reason);
struct shard *sched_shard(const struct sched *s, uint64_t id);
uint64_t sched_shard_host(const struct sched *s, const struct shard *sh);
bool sched_zone_is_in_region(const struct sched *s, const char *zone);
bool sched_peer_is_alive(const struct sched *s, const struct peer *p);
void sched_send_heartbeats(struct sched *s);
void sched_on_heartbeat(struct sched *s, const struct msg *m);
void sched_on_hello(struct sched *s, const struct msg *m);

/* Jobs: sched_job.c, sched_job_tick.c, sched_place.c, sched_attempt.c */
void sched_send_answer(struct sched *s, const struct job *j, uint64_t host,
		       uint64_t corr, enum verdict v, enum reason reason,
		       struct str result);
void sched_put_accept(struct sched *s, struct shard *sh, struct job *j);
void sched_drop_unrecorded(struct sched *s, struct shard *sh, struct job *j,
			   enum reason reason);
bool sched_log_is_writable(const struct shard *sh);
void sched_jobs_acquired(struct sched *s, struct shard *sh);
void sched_jobs_tick(struct sched *s, struct shard *sh);
void sched_jobs_refresh(struct sched *s, struct shard *sh);
void sched_job_applied(struct sched *s, struct shard *sh, struct job *j,
		       const struct record *r);
void sched_on_submit(struct sched *s, const struct msg *m);
void sched_on_cancel(struct sched *s, const struct msg *m);
void sched_on_query(struct sched *s, const struct msg *m);
void sched_on_reserved(struct sched *s, const struct msg *m);
void sched_on_task(struct sched *s, const struct msg *m);
const struct service_doc *sched_service(const struct sched *s,
					const char *name);
void sched_put_record(struct sched *s, struct shard *sh, struct record *r);
void sched_put_finish(struct sched *s, struct shard *sh, struct job *j,
		      enum verdict v, enum reason reason, struct str result,
		      uint64_t cpu_ms);
void sched_answer_waiters(struct sched *s, struct job *j, enum verdict v,
			  enum reason reason, struct str result);
void sched_place_job(struct sched *s, struct shard *sh, struct job *j);
void sched_queue_job(struct sched *s, struct job *j, int64_t delay_ms);
void sched_send_start(struct sched *s, struct shard *sh, struct job *j);
void sched_send_stop(struct sched *s, struct shard *sh, struct job *j);

/**
 * sched_verify_running() - query a running attempt again after a rack failover
 *
 * Sends MSG_VERIFY when the owner of the rack has a newer epoch than the one
 * that reported the attempt as running. The new owner has no record of a task
 * whose worker it cannot reach or whose worker has restarted.
 */
void sched_verify_running(struct sched *s, struct shard *sh, struct job *j);
void sched_begin_stop(struct sched *s, struct shard *sh, struct job *j);

/* Racks: sched_rack.c, sched_worker.c */
void sched_rack_acquired(struct sched *s, struct shard *sh);
void sched_rack_tick(struct sched *s, struct shard *sh);
void sched_rack_free_capacity(const struct sched *s, const struct shard *sh,
			      struct owned_shard *o);
bool sched_worker_is_usable(const struct sched *s, const struct worker *w);
void sched_on_reserve(struct sched *s, const struct msg *m);
void sched_on_start(struct sched *s, const struct msg *m);
void sched_on_stop(struct sched *s, const struct msg *m);
void sched_on_verify(struct sched *s, const struct msg *m);
void sched_on_displace(struct sched *s, const struct msg *m);
void sched_on_forget(struct sched *s, const struct msg *m);
void sched_on_inventory(struct sched *s, const struct msg *m);
void sched_on_worker_task(struct sched *s, const struct msg *m);
void sched_worker_tick(struct sched *s, struct shard *sh, struct worker *w);
void sched_order_start(struct sched *s, struct shard *sh, struct commitment *c);

/**
 * struct stop_order - an attempt that a worker is ordered to end
 * @shard: job shard that receives the outcome
 */
struct stop_order {
	uint64_t shard;
	uint64_t job;
	uint32_t attempt;
};

void sched_order_stop(struct sched *s, struct shard *sh, struct worker *w,
		      const struct stop_order *o);
void sched_stop_commitment(struct sched *s, struct shard *sh,
			   const struct commitment *c);

/* Interference: sched_interference.c; the last one: sched_worker.c */
void sched_observe_interference(struct sched *s, struct shard *sh,
				struct worker *w, const struct msg *m);
double sched_interference_cost(const struct sched *s, const struct worker *w,
			       uint64_t service);
void sched_report_commitment(struct sched *s, struct commitment *c);

#ifdef __cplusplus
}
#endif

#endif
