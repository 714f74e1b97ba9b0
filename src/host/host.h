#ifndef HOST_HOST_H
#define HOST_HOST_H

#include "adapters/http_server.h"
#include "adapters/loop.h"
#include "base/histogram.h"
#include "cell/queue_table.h"
#include "host/candidacy.h"
#include "host/fleet.h"
#include "host/owner.h"
#include "host/peers.h"
#include "host/relay_server.h"
#include "platform/platform.h"
#include "platform/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct host_counts - figures for metrics
 */
struct host_counts {
	uint64_t submits;
	uint64_t accepted;
	uint64_t refused;
	uint64_t unknown;
	uint64_t cancels;
	uint64_t queries;
	uint64_t not_found;
	uint64_t appends;
	uint64_t append_failures;
};

/**
 * struct host - one entry host: callers' interface, and perhaps a cell
 * @metrics_port: port for metrics beside the readiness port; 0 for none
 */
struct host {
	struct host_settings settings;
	struct loop loop;
	struct platform platform;
	struct http_server callers;
	struct http_server probes;
	struct http_server metrics;
	uint16_t metrics_port;
	struct queue_table queues;
	struct index evacuated_zones;
	struct index listed_zones;
	struct job_view jobs;
	struct follower operators;
	struct follower job_follower;
	struct member member;
	struct candidacy candidacy;
	struct owner owner;
	struct peers *peers;
	struct fleet fleet;
	struct relay relay;
	struct relay_server relay_server;
	int64_t workers_counted_ms;
	struct cell_ops cell_ops;
	struct host_call *calls;
	struct host_call *append_queue;
	uint32_t batches_in_flight;
	uint32_t store_failures;
	int64_t store_failed_ms;
	int64_t now_ms;
	int64_t stop_ms;
	int64_t settings_due_ms;
	bool ready;
	bool was_ready;
	struct host_counts counts;
	struct histogram accept_ms;
};

/**
 * host_run() - serve until a signal stops the process
 *
 * Return: 0, or a negative error number when the host could not start.
 */
int host_run(struct host *h);

/* host_metrics.c */

/**
 * host_write_metrics() - all counters as text, one line each
 */
void host_write_metrics(const struct host *h, struct buf *out);

/* host_call.c */

/**
 * host_handle_call() - a caller's request, on the loop's thread
 */
void host_handle_call(struct host *h, struct http_request *r);
void host_calls_tick(struct host *h);
bool host_has_calls(const struct host *h);

/* host_operators.c: configuration and zones, as operators publish them */
extern const struct follower_ops host_operator_ops;

/* host_mail.c: what other threads hand to the loop */
void host_post_request(void *ctx, struct http_request *r);
void host_post_message(void *ctx, uint64_t from, enum peers_kind kind,
		       struct str payload);
void host_on_post(void *ctx, void *value);

/* host_peers.c: the other hosts, and calls that are made for one another */
void host_peers_init(struct host *h);
int host_peers_start(struct host *h);
void host_peers_finish(struct host *h);
void host_peers_receive(struct host *h, uint64_t from, enum peers_kind kind,
			struct str text);

/**
 * host_peers_tick() - exchange what waits with other hosts
 *
 * Return: milliseconds until it wants to be called again.
 */
int64_t host_peers_tick(struct host *h);

/**
 * host_calls_finish() - answer all that waits: the process ends
 */
void host_calls_finish(struct host *h);

#ifdef __cplusplus
}
#endif

#endif
