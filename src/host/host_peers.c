#include "host/host.h"

#include <inttypes.h>

#include "base/logger.h"

/* Period of updates of the relay's worker count, which decides whether calls
 * are relayed. */
#define WORKER_COUNT_PERIOD_MS 1000

void host_peers_receive(struct host *h, uint64_t from, enum peers_kind kind,
			struct str text)
{
	struct relay_batch batch = {{NULL, 0}, {NULL, 0}};
	struct arena a;

	arena_init(&a);
	if (shape_read(&relay_batch_shape, text, &batch, &a))
		log_line(LOG_ERROR, "cannot decode batch from another host",
			 "from=%016" PRIx64 " bytes=%zu", from, text.len);
	else if (kind == PEERS_CALLS)
		relay_server_receive(&h->relay_server, from, &batch);
	else
		relay_receive(&h->relay, from, &batch);
	arena_finish(&a);
}

static void update_relay_workers(struct host *h)
{
	struct cell_counts n;

	if (h->owner.phase != OWNER_ACTIVE) {
		h->relay.worker_count = 0;
		h->workers_counted_ms = 0;
	} else if (h->now_ms - h->workers_counted_ms >=
		   WORKER_COUNT_PERIOD_MS) {
		cell_get_counts(h->owner.cell, &n);
		h->relay.worker_count = n.workers;
		h->workers_counted_ms = h->now_ms;
	}
}

int64_t host_peers_tick(struct host *h)
{
	if (!h->peers)
		return INT64_MAX;
	update_relay_workers(h);
	fleet_tick(&h->fleet, h->relay.worker_count > 0, h->now_ms);
	relay_tick(&h->relay, h->now_ms);
	return relay_server_tick(&h->relay_server, h->now_ms);
}

static void send_calls(void *ctx, uint64_t to, struct str batch)
{
	peers_send(((struct host *)ctx)->peers, to, PEERS_CALLS, batch);
}

static void send_answers(void *ctx, uint64_t to, struct str batch)
{
	peers_send(((struct host *)ctx)->peers, to, PEERS_ANSWERS, batch);
}

static void disconnect_peer(void *ctx, uint64_t to)
{
	peers_disconnect(((struct host *)ctx)->peers, to);
}

static void on_host_announced(void *ctx, const char *name, const char *address,
			      uint32_t cpu_milli)
{
	struct host *h = ctx;

	peers_set_address(h->peers, name, address);
	relay_peer_set(&h->relay, name, address, cpu_milli);
}

static void on_host_removed(void *ctx, const char *name)
{
	relay_peer_drain(&((struct host *)ctx)->relay, name);
}

static const struct fleet_ops fleet_ops = {on_host_announced, on_host_removed};

void host_peers_init(struct host *h)
{
	struct relay_net calls = {send_calls, disconnect_peer, h};
	struct relay_net answers = {send_answers, disconnect_peer, h};

	relay_init(&h->relay, &platform_worker_ops, &h->platform, &calls);
	relay_server_init(&h->relay_server, &platform_worker_ops, &h->platform,
			  &answers);
	fleet_init(&h->fleet, &platform_store_ops, &h->platform, &fleet_ops, h);
	name_set(h->fleet.name, h->settings.name);
	h->fleet.cpu_milli = h->settings.cpu_milli;
}

int host_peers_start(struct host *h)
{
	int err = 0;

	h->peers = peers_start(h->settings.name, h->settings.ip,
			       (uint16_t)h->settings.peer_port,
			       host_post_message, h, &err);
	if (err)
		log_line(LOG_ERROR, "cannot listen for other hosts",
			 "port=%u error=%d", h->settings.peer_port, err);
	else
		snprintf(h->fleet.address, sizeof(h->fleet.address), "%.48s:%u",
			 h->settings.ip, peers_port(h->peers));
	return err;
}

void host_peers_finish(struct host *h)
{
	if (h->peers)
		peers_stop(h->peers);
	relay_finish(&h->relay);
	fleet_finish(&h->fleet);
	relay_server_finish(&h->relay_server);
}
