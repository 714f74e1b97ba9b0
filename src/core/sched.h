#ifndef CORE_SCHED_H
#define CORE_SCHED_H

#include "base/rng.h"
#include "core/config.h"
#include "core/interference.h"
#include "core/job.h"
#include "core/placement.h"
#include "core/protection.h"
#include "core/stream.h"
#include "core/worker_table.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct sched_options - settings of one schedd
 * @name: name of the host; name_hash() of it is the host id
 * @zone: availability zone of the host
 * @incarnation: identifies this run of the process; differs at every start
 * @append_budget: mean number of log appends per second, shared by all schedds
 * @append_burst: number of appends that may be sent at once after an idle time
 * @key_keep_ms: time for which a done job is kept, so that a duplicate of its
 *               key gets the same answer
 * @refresh_ms: age at which state is written to the log again; must be well
 *              below the retention of the log
 * @protections: bit set of enum protection
 */
struct sched_options {
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	uint64_t incarnation;
	uint32_t append_budget;
	uint32_t append_burst;
	int64_t key_keep_ms;
	int64_t refresh_ms;
	uint32_t protections;
};

/* Times of the protocol, in milliseconds. */
#define SCHED_TICK_MS 50
#define SCHED_HEARTBEAT_MS 500 /* to the schedds of the own zone */
#define SCHED_PEER_TIMEOUT_MS 2000
#define SCHED_CROSS_ZONE_MS 5000     /* heartbeats to other zones */
#define SCHED_FULL_HEARTBEAT_MS 2000 /* heartbeats that list shards */
/* Time without a live schedd after which a zone loses its shards to schedds of
 * other zones. */
#define SCHED_ZONE_FAILOVER_MS 20000
#define SCHED_STARTUP_DELAY_MS 2500 /* from start to first assignment */
/*
 * Back-off after another schedd has claimed a shard. Without it, two schedds
 * that do not receive each other's heartbeats would claim the shard in turn.
 */
#define SCHED_CLAIM_BACKOFF_MS 10000
#define SCHED_REBALANCE_MS 5000 /* from reassignment to release of a shard */
#define SCHED_POLL_MS 1000      /* between reads of a stream */
/* Age of the newest read, or of the host list, above which no task starts. */
#define SCHED_STALENESS_MAX_MS 2500
#define SCHED_ORDER_VALID_MS 2000 /* validity, by the worker's clock */
/* Time between two ticks above which the process counts as paused. */
#define SCHED_PAUSE_MIN_MS 1000
/* After this long without a host list, tasks start without one. */
#define SCHED_HOSTS_TIMEOUT_MS 10000
#define SCHED_RENEW_MIN_MS 1000
#define SCHED_RENEW_MAX_MS 5000
#define SCHED_FULL_RENEW_MS 30000 /* renewals that ask for full inventories */
#define SCHED_FENCE_RETRY_MS 500
/*
 * Age of the newest configuration read above which a rack owner renews only
 * the leases of services that keep their tasks when cut off.
 */
#define SCHED_RENEW_STALENESS_MS 20000
/*
 * An owner that cannot read the claims stops all renewals when a peer of its
 * zone has been unreachable for this long.
 */
#define SCHED_ISOLATION_MS 60000
#define SCHED_LEASE_MARGIN_MS 500 /* added to the end of a lease */
#define SCHED_RESEND_MS 1000
#define SCHED_RESERVE_TTL_MS 10000 /* reservation without a start */
#define SCHED_PLACE_RETRY_MS 200
#define SCHED_HOLD_MS 3000 /* freed capacity, for the preempting job */
#define SCHED_QUARANTINE_MS 10000

/* Limits of the protocol. */
#define SCHED_WORKER_FAILURES 3    /* in a row, before quarantine */
#define SCHED_JOB_FAILURES 3       /* over all workers, until the job fails */
#define SCHED_START_TRIES 4        /* start messages before a stop */
#define SCHED_RACK_SAMPLE 6        /* racks compared for one placement */
#define SCHED_RACK_TRIES 12        /* random draws to fill the sample */
#define SCHED_QUEUE_MAX 20000      /* active jobs of one job shard */
#define SCHED_EVICTIONS_PER_MIN 30 /* with preemptions, per schedd */

struct shard;
struct peer;

/**
 * struct rack_zone - the racks of one availability zone
 * @claims: stream with the claims of the racks; of another zone it is read only
 *          during its failover
 * @failed_over: the zone has no live schedd, so schedds of other zones may own
 *               its racks; stays true until this schedd has none of them
 */
struct rack_zone {
	char name[NAME_SIZE];
	struct stream *claims;
	bool failed_over;
	struct shard **racks;
	size_t count;
};

/**
 * struct sched - state of one schedd, the scheduler daemon
 * @wall_offset_ms: wall clock minus monotonic clock at the start
 * @corr: newest correlation id
 * @streams: all streams that are read, by stream.id
 * @hosts_ms: time when the host list was last received or confirmed
 * @tick_ms: time of the newest tick
 * @resumed_ms: time of the first tick after the newest pause of the process
 * @loopback_head: messages from this schedd to itself, oldest first
 * @is_dispatching: the loopback messages are being handled
 *
 * A schedd owns shards: it decides on the jobs of the job shards and commits
 * the workers of the racks that it has claimed in the log. It has no thread, no
 * socket and no clock of its own: the caller passes in the time and every
 * input, one call at a time. Output goes through the ports.
 */
struct sched {
	struct sched_options opts;
	struct ports ports;
	struct rng rng;
	int64_t now_ms;
	int64_t wall_offset_ms;
	int64_t started_ms;
	uint64_t host_id;
	uint64_t corr;

	struct config config;
	struct stream config_stream;
	struct stream claims_stream;
	struct stream **streams;
	size_t stream_count;

	struct index shard_by_id;
	struct shard **shards;
	size_t shard_count;
	struct rack_zone zones[DOCUMENT_ZONES_MAX];
	size_t zone_count;
	struct index peer_by_id;
	struct peer **peers;
	size_t peer_count;
	struct listed_host *hosts;
	size_t host_count;
	int64_t hosts_ms;
	int64_t tick_ms;
	int64_t resumed_ms;
	struct worker_table workers;
	struct interference interference;

	int64_t heartbeat_due_ms;
	int64_t cross_zone_due_ms;
	int64_t full_heartbeat_due_ms;
	int64_t owner_due_ms;
	int64_t config_snapshot_ms;
	int64_t append_tokens_milli;
	int64_t append_refill_ms;
	int64_t eviction_tokens_milli;
	int64_t eviction_refill_ms;
	bool draining;

	struct loopback_msg *loopback_head;
	struct loopback_msg **loopback_tail;
	bool is_dispatching;
};

void sched_init(struct sched *s, const struct sched_options *o,
		const struct ports *ports, int64_t now_ms, int64_t wall_ms);
void sched_finish(struct sched *s);

/* Inputs. @now_ms is the local monotonic clock, in milliseconds. */
void sched_tick(struct sched *s, int64_t now_ms);
void sched_on_msg(struct sched *s, int64_t now_ms, const struct msg *m);
void sched_on_append(struct sched *s, int64_t now_ms, uint64_t token,
		     enum log_status status, uint64_t offset);
void sched_on_read(struct sched *s, int64_t now_ms, uint64_t token,
		   const struct log_read *r);
void sched_on_hosts(struct sched *s, int64_t now_ms,
		    const struct listed_host *hosts, size_t count);

/**
 * sched_on_hosts_unchanged() - handle the report of an unchanged host list
 */
void sched_on_hosts_unchanged(struct sched *s, int64_t now_ms);

/**
 * sched_drain() - begin a planned shutdown: refuse new jobs, release shards
 */
void sched_drain(struct sched *s, int64_t now_ms);

/**
 * sched_is_drained() - test whether a draining schedd has released all shards
 */
bool sched_is_drained(const struct sched *s);

/**
 * sched_is_ready() - test whether configuration and claims have caught up
 *
 * False while draining, and while no document is in force.
 */
bool sched_is_ready(const struct sched *s);

/**
 * enum log_freshness - age of the reads of configuration and claims
 * @FRESHNESS_CURRENT: both streams were read to the head recently
 * @FRESHNESS_LOG_DOWN: the reads are recent, and the log refuses appends
 * @FRESHNESS_STALE: a stream was not read to the head recently
 */
enum log_freshness { FRESHNESS_CURRENT, FRESHNESS_LOG_DOWN, FRESHNESS_STALE };

enum log_freshness sched_log_freshness(const struct sched *s);

/**
 * sched_write_status() - append the status as JSON
 *
 * It holds the configuration version, the log freshness, and the state of every
 * shard that is not idle.
 */
void sched_write_status(const struct sched *s, struct buf *out);

/**
 * sched_write_job() - append the state of a job, with its wait reason, as JSON
 *
 * Return: 0, or -ENOENT when the job is in no job shard that this schedd owns.
 */
int sched_write_job(const struct sched *s, uint64_t job, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
