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
 * @incarnation: differs at every start of the process
 * @append_budget: appends a second of all schedds together, on average
 * @append_burst: appends that may be sent at once after a rest
 * @key_keep_ms: how long an answered key is remembered
 * @refresh_ms: age at which a job's state is written again; well below the
 *              retention of the log
 * @protections: set of enum protection
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

/* Times of the protocol, milliseconds. */
#define SCHED_TICK_MS 50
#define SCHED_HEARTBEAT_MS 500
#define SCHED_PEER_TIMEOUT_MS 2000
#define SCHED_CROSS_ZONE_MS 5000     /* heartbeats to other zones */
#define SCHED_FULL_HEARTBEAT_MS 2000 /* heartbeats that list what is owned */
#define SCHED_ZONE_FAILOVER_MS 20000
#define SCHED_STARTUP_DELAY_MS 2500
/*
 * After a claim by another, which we perhaps do not hear: without it, two
 * that cannot hear each other would claim in turn.
 */
#define SCHED_CLAIM_BACKOFF_MS 10000
#define SCHED_REBALANCE_MS 5000
#define SCHED_POLL_MS 1000
#define SCHED_STALENESS_MAX_MS 2500
#define SCHED_ORDER_VALID_MS 2000
#define SCHED_PAUSE_MIN_MS 1000 /* between ticks; more is a pause */
#define SCHED_HOSTS_TIMEOUT_MS 10000
#define SCHED_RENEW_MIN_MS 1000
#define SCHED_RENEW_MAX_MS 5000
#define SCHED_FULL_RENEW_MS 30000 /* inventories with all that runs */
#define SCHED_FENCE_RETRY_MS 500
#define SCHED_RENEW_STALENESS_MS 20000
#define SCHED_ISOLATION_MS 60000 /* blind, and a peer unheard */
#define SCHED_LEASE_MARGIN_MS 500
#define SCHED_RESEND_MS 1000
#define SCHED_RESERVE_TTL_MS 10000
#define SCHED_PLACE_RETRY_MS 200
#define SCHED_HOLD_MS 3000
#define SCHED_QUARANTINE_MS 10000

/* Counts of the protocol. */
#define SCHED_WORKER_FAILURES 3    /* in a row, before quarantine */
#define SCHED_JOB_FAILURES 3       /* on any workers, before it is given up */
#define SCHED_START_TRIES 4        /* before an attempt is ended */
#define SCHED_RACK_SAMPLE 6        /* racks looked at for one placement */
#define SCHED_RACK_TRIES 12        /* racks drawn to find the sample */
#define SCHED_QUEUE_MAX 20000      /* jobs not done in one job shard */
#define SCHED_EVICTIONS_PER_MIN 30 /* by one rack owner */

struct shard;
struct peer;

/**
 * struct rack_zone - the racks of one availability zone
 */
struct rack_zone {
	char name[NAME_SIZE];
	struct shard **racks;
	size_t count;
};

/**
 * struct sched - a schedd's decisions: no thread, no socket, no clock
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
	struct stream **streams; /* by number */
	size_t stream_count;

	struct index shard_by_id;
	struct shard **shards;
	size_t shard_count;
	struct rack_zone zones[DOCUMENT_ZONES_MAX];
	size_t zone_count;
	struct index peer_by_id;
	struct peer **peers;
	size_t peer_count;
	struct host *hosts;
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

/* Inputs. Each carries the local monotonic time, milliseconds. */
void sched_tick(struct sched *s, int64_t now_ms);
void sched_on_msg(struct sched *s, int64_t now_ms, const struct msg *m);
void sched_on_append(struct sched *s, int64_t now_ms, uint64_t token,
		     enum log_status status, uint64_t offset);
void sched_on_read(struct sched *s, int64_t now_ms, uint64_t token,
		   const struct log_read *r);
void sched_on_hosts(struct sched *s, int64_t now_ms, const struct host *hosts,
		    size_t count);

/**
 * sched_on_hosts_unchanged() - the list was asked for and has not changed
 */
void sched_on_hosts_unchanged(struct sched *s, int64_t now_ms);

/**
 * sched_drain() - begin a planned stop: take nothing new, release shards
 */
void sched_drain(struct sched *s, int64_t now_ms);

/**
 * sched_is_drained() - true when no shard is owned and nothing is unwritten
 */
bool sched_is_drained(const struct sched *s);

/**
 * sched_is_ready() - true when the configuration was read to a confirmed head
 */
bool sched_is_ready(const struct sched *s);

/**
 * enum log_freshness - what the process can know of the operators' will
 */
enum log_freshness { FRESHNESS_CURRENT, FRESHNESS_LOG_DOWN, FRESHNESS_STALE };

enum log_freshness sched_log_freshness(const struct sched *s);

/**
 * sched_write_status() - shards, workers and states, as JSON
 */
void sched_write_status(const struct sched *s, struct buf *out);

/**
 * sched_write_job() - what is known of a job and why it waits, as JSON
 *
 * Return: 0, or -ENOENT.
 */
int sched_write_job(const struct sched *s, uint64_t job, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
