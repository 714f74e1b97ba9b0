#ifndef HOST_HOST_H
#define HOST_HOST_H

#include "adapters/http_server.h"
#include "adapters/loop.h"
#include "base/heap.h"
#include "base/histogram.h"
#include "cell/queue_table.h"
#include "host/append_route.h"
#include "host/caller_auth.h"
#include "host/candidacy.h"
#include "host/fleet.h"
#include "host/owner.h"
#include "host/peers.h"
#include "host/record_relay.h"
#include "host/relay_server.h"
#include "host/retry_after.h"
#include "platform/platform.h"
#include "platform/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct host_counts - counters of callers' requests, for metrics
 * @submits: submissions received
 * @accepted: submissions answered with 200, except for jobs known on arrival
 * @refused: submissions answered with 503 or 429
 * @unknown: submissions answered with 504: the job may or may not be stored
 * @not_found: calls answered with 410: no such job
 * @unauthorized: calls answered with 401: no key, or an unknown one
 * @config_too_old: calls answered with 503 as the configuration was too old to
 *	judge their keys, or to deny or count their queue
 * @unknown_queue: calls answered with 404: no queue for the host and the path
 * @configs_applied: configurations that have come into force here
 * @other_account: calls about a job of another account, answered with 410 or
 *	409
 * @appends: appends of callers' records, retries included
 * @retries: refused calls that were told when to come back
 * @retry_ms: sum of the times that they were told
 */
struct host_counts {
	uint64_t submits;
	uint64_t accepted;
	uint64_t refused;
	uint64_t unknown;
	uint64_t cancels;
	uint64_t queries;
	uint64_t not_found;
	uint64_t unauthorized;
	uint64_t config_too_old;
	uint64_t unknown_queue;
	uint64_t configs_applied;
	uint64_t other_account;
	uint64_t appends;
	uint64_t append_failures;
	uint64_t retries[RETRY_REASON_COUNT];
	uint64_t retry_ms[RETRY_REASON_COUNT];
};

/**
 * struct host - one entry host: interface for callers, and owner of the cell
 *	while it is assigned to this host
 * @callers: HTTP server for callers
 * @probes: HTTP server for readiness probes; also serves metrics
 * @metrics_port: port for metrics beside the readiness port; 0 for none
 * @look_ahead: see struct cell_options
 * @evacuated_zones: zones in which no task may start
 * @listed_zones: evacuated zones found by the listing that is being applied
 * @job_view: state of all jobs, as read from the log
 * @operator_follower: follower of the operators' topic
 * @config_offset: offset of the record that holds @queues
 * @config_until_ms: while a newer configuration cannot be decoded, boot time up
 *	to which @queues is known to be the newest one; 0 else
 * @auth_bounds: ages of the configuration for decisions on callers' keys
 * @peers: connections to the other hosts; NULL until host_peers_start()
 * @known_owner: owner whose address @peers has
 * @workers_counted_ms: boot time of the last update of the relay's worker
 *	count; 0 while this host is not the active owner
 * @calls: callers' requests that are not finished
 * @append_queue: calls whose record waits for the next append
 * @batches_in_flight: appends of callers' records without a reply
 * @append_route: by which way callers' records are stored
 * @append_due_ms: after a failed append, boot time of the next one
 * @call_count: length of @calls
 * @stored_ms: boot time of the last successful append; 0 before
 * @store_failures: appends that failed since the last successful one
 * @store_failed_ms: boot time of the first of these failures
 * @stop_began_ms: boot time at which the shutdown began; 0 before
 * @settings_due_ms: boot time at which the settings file is read next
 * @ready: result of the readiness probe; atomic, as the thread of the probe
 *	server reads it
 * @loop_turned_ms: boot time of the loop's last tick; atomic like @ready
 * @was_ready: @ready as logged last
 * @busy_logged_ms: boot time at which @logged_ns was set
 * @logged_ns: time by activity up to the last look at how busy the loop is
 * @accept_ms: time from the arrival of a submission to its acceptance
 * @heap: gives memory back that has become free
 *
 * The struct belongs to the loop's thread. Other threads only read @ready and
 * @loop_turned_ms, run
 * the HTTP servers and post to @loop.
 */
struct host {
	struct host_settings settings;
	struct loop loop;
	struct platform platform;
	struct http_server callers;
	struct http_server probes;
	struct http_server metrics;
	uint16_t metrics_port;
	bool look_ahead;
	struct queue_table queues;
	uint64_t config_offset;
	int64_t config_until_ms;
	struct auth_bounds auth_bounds;
	struct index evacuated_zones;
	struct index listed_zones;
	struct job_view job_view;
	struct follower operator_follower;
	struct follower job_follower;
	struct member member;
	struct candidacy candidacy;
	struct owner owner;
	struct peers *peers;
	struct fleet fleet;
	struct relay relay;
	struct relay_server relay_server;
	struct record_relay record_relay;
	struct append_route append_route;
	struct cell_owner known_owner;
	int64_t append_due_ms;
	int64_t workers_counted_ms;
	struct cell_ops cell_ops;
	struct host_call *calls;
	struct host_call *append_queue;
	uint32_t batches_in_flight;
	uint32_t call_count;
	uint32_t store_failures;
	int64_t store_failed_ms;
	int64_t stored_ms;
	int64_t now_ms;
	int64_t stop_began_ms;
	int64_t settings_due_ms;
	bool ready;
	int64_t loop_turned_ms;
	bool was_ready;
	struct host_counts counts;
	int64_t busy_logged_ms;
	uint64_t logged_ns[ACTIVITY_COUNT];
	struct histogram accept_ms;
	struct heap_trim heap;
};

/**
 * host_run() - serve until SIGTERM or SIGINT
 * @h: zeroed, except for @settings, @metrics_port and @look_ahead
 *
 * Return: 0, or a negative error number when the host could not start.
 */
int host_run(struct host *h);

/**
 * host_is_ready() - whether the load balancer shall send callers to this host
 *
 * Not while it has read the logs too long ago, or would refuse all requests
 * with a key for that reason.
 */
bool host_is_ready(const struct host *h);

/**
 * host_probe_passes() - answer of the readiness probe, on any thread
 *
 * It fails, whatever the loop has set last, once the loop does not turn.
 */
bool host_probe_passes(const struct host *h, int64_t now_ms);

/* host_metrics.c */

/**
 * host_write_metrics() - append all metrics in the Prometheus text format
 */
void host_write_metrics(struct host *h, struct buf *out);

/* host_explain.c */

#define EXPLAIN_PATH "/explain"

/**
 * host_explain() - tell where a job would be placed, on the loop's thread
 *
 * The body is a job as callers send it; the query has the "host" and the "path"
 * that they would send it to, and may name an "account". Only the metrics port
 * answers it.
 */
void host_explain(struct host *h, struct http_request *r);

/* host_call.c */

/**
 * host_handle_call() - handle a caller's request on the loop's thread
 */
void host_handle_call(struct host *h, struct http_request *r);

/**
 * host_calls_tick() - answer the calls whose outcome is known or whose deadline
 *	has passed, and append the queued records
 */
void host_calls_tick(struct host *h);
bool host_has_calls(const struct host *h);

/* host.c: jobs, into @job_view */
extern const struct follower_ops host_job_ops;

/* host_operators.c: configuration and zone evacuations from operators */
extern const struct follower_ops host_operator_ops;

/**
 * host_follow_logs() - start the reads of the operators' topic and of the jobs
 * that are due
 *
 * While the store cannot be reached, only the first is tried: beside the jobs
 * that were missed, the configuration would take several times as long over a
 * weak link.
 */
void host_follow_logs(struct host *h);

/**
 * host_config_age_ms() - time since the configuration of this host was known to
 * be the newest one, at the boot time h->now_ms
 */
int64_t host_config_age_ms(const struct host *h);

/* host_mail.c: requests and messages that other threads post to the loop */
void host_post_request(void *ctx, struct http_request *r);
void host_post_message(void *ctx, uint64_t from, enum peers_kind kind,
		       struct str payload);
void host_on_post(void *ctx, void *value);

/* host_peers.c: the other hosts, and worker calls relayed between hosts */
void host_peers_init(struct host *h);
int host_peers_start(struct host *h);
void host_peers_finish(struct host *h);
void host_peers_receive(struct host *h, uint64_t from, enum peers_kind kind,
			struct str text);

/**
 * host_peers_tick() - exchange pending calls and answers with other hosts
 *
 * Return: milliseconds until the next call is due.
 */
int64_t host_peers_tick(struct host *h);

/* host_call.c */

/**
 * host_calls_finish() - answer all pending calls before the process ends
 */
void host_calls_finish(struct host *h);

#ifdef __cplusplus
}
#endif

#endif
