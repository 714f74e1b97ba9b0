#include "host/host.h"

#include <inttypes.h>

#include "adapters/clock.h"
#include "base/logger.h"

/* Period of updates of the relay's worker count, which decides whether calls
 * are relayed. */
#define WORKER_COUNT_PERIOD_MS 1000
/* Numbers of record batches begin at the start time of the process, in ms,
 * times 2 to this power. */
#define SEQ_TIME_SHIFT 20

static void receive_records(struct host *h, uint64_t from, struct str text)
{
	int err = record_relay_receive(&h->record_relay, from, text);

	if (err)
		log_line(LOG_ERROR, "cannot decode records of another host",
			 "from=%016" PRIx64 " bytes=%zu error=%d", from,
			 text.len, err);
}

void host_peers_receive(struct host *h, uint64_t from, enum peers_kind kind,
			struct str text)
{
	enum activity before =
		activity_enter(&h->loop.activity, ACTIVITY_PEERS);
	struct relay_batch batch = {0};
	struct arena a;

	arena_init(&a);
	if (kind == PEERS_RECORDS)
		receive_records(h, from, text);
	else if (shape_read(&relay_batch_shape, text, &batch, &a))
		log_line(LOG_ERROR, "cannot decode batch from another host",
			 "from=%016" PRIx64 " bytes=%zu", from, text.len);
	else if (kind == PEERS_CALLS)
		relay_server_receive(&h->relay_server, from, &batch);
	else
		relay_receive(&h->relay, from, &batch);
	arena_finish(&a);
	activity_enter(&h->loop.activity, before);
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

static void update_known_owner(struct host *h)
{
	const struct cell_owner *o = &h->job_view.owner;

	if (!o->name[0] || !memcmp(o, &h->known_owner, sizeof(*o)))
		return;
	if (h->known_owner.name[0])
		record_relay_abandon(&h->record_relay);
	h->known_owner = *o;
	if (strcmp(o->name, h->settings.name))
		peers_set_address(h->peers, o->name, o->address);
}

int64_t host_peers_tick(struct host *h)
{
	enum activity before;
	int64_t wait;

	if (!h->peers)
		return INT64_MAX;
	before = activity_enter(&h->loop.activity, ACTIVITY_RELAY);
	update_relay_workers(h);
	fleet_tick(&h->fleet, h->relay.worker_count > 0, h->now_ms);
	h->owner.raises_fences = fleet_raises_fences(&h->fleet);
	relay_tick(&h->relay, h->now_ms);
	update_known_owner(h);
	record_relay_tick(&h->record_relay, h->now_ms);
	wait = relay_server_tick(&h->relay_server, h->now_ms);
	activity_enter(&h->loop.activity, before);
	return wait;
}

static void send_calls(void *ctx, uint64_t to, struct str batch)
{
	peers_send(((struct host *)ctx)->peers, to, PEERS_CALLS, batch);
}

static void send_answers(void *ctx, uint64_t to, struct str batch)
{
	peers_send(((struct host *)ctx)->peers, to, PEERS_ANSWERS, batch);
}

static void send_records(void *ctx, uint64_t to, struct str message)
{
	peers_send(((struct host *)ctx)->peers, to, PEERS_RECORDS, message);
}

static bool accept_records(void *ctx, uint64_t from, uint64_t seq,
			   struct str records)
{
	return owner_add_records(&((struct host *)ctx)->owner, from, seq,
				 records);
}

static bool withdraw_records(void *ctx, uint64_t from, uint64_t seq)
{
	return owner_withdraw_records(&((struct host *)ctx)->owner, from, seq);
}

static const struct record_relay_ops record_ops = {accept_records,
						   withdraw_records};

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
	struct relay_net records = {send_records, disconnect_peer, h};

	relay_init(&h->relay, &platform_worker_ops, &h->platform, &calls);
	relay_server_init(&h->relay_server, &platform_worker_ops, &h->platform,
			  &answers);
	record_relay_init(&h->record_relay, &records, &record_ops, h,
			  name_hash(h->settings.name));
	h->record_relay.seq = (uint64_t)clock_wall_ms() << SEQ_TIME_SHIFT;
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
	name_set(h->owner.self.name, h->settings.name);
	name_set(h->owner.self.address, h->fleet.address);
	return err;
}

void host_peers_finish(struct host *h)
{
	if (h->peers)
		peers_stop(h->peers);
	relay_finish(&h->relay);
	record_relay_finish(&h->record_relay);
	fleet_finish(&h->fleet);
	relay_server_finish(&h->relay_server);
}
