#include "host/host.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapters/clock.h"
#include "base/build_info.h"
#include "base/logger.h"
#include "platform/config.h"

#define SECOND_MS 1000
/* Largest body of a request before there is a configuration, in bytes. */
#define BODY_MAX_UNCONFIGURED (1024 * 1024)
#define MB (1024 * 1024)
/* Parts of the memory that the bodies and the connections of callers may take.
 */
#define BODIES_DIVISOR 8
#define CONNECTIONS_DIVISOR 4
/* All bodies that the metrics server holds at a time, in bytes. */
#define EXPLAINED_BODIES_MAX (2 * MB)
/* Connections to the probe and to the metrics server: a part of the
 * descriptors, which leaves some for several monitors on the smallest host. */
#define PROBE_FDS_DIVISOR 32
#define PROBE_CONNECTIONS_MIN 8
#define PROBE_CONNECTIONS_MAX 64
/* Number of the only cell of a deployment, and of its partition of the jobs'
 * topic. */
#define CELL_INDEX 0
#define CELL_GROUP "schedulers"
#define CELL_TOPIC "cells"
/* A group member without a successful join for this long loses its cells. The
 * time covers four joins, each of which may take a slow store a third of a
 * second. */
#define GROUP_TTL_MS 2000
/* Length of the lease that an order grants to a worker. It outlasts most link
 * outages; a longer lease would delay the restart of work of lost workers. */
#define LEASE_MS 4000
/* How long an owner renews leases after its authority to start tasks has ended,
 * so that running tasks survive an outage of the store; less if the last
 * evidence that no other host has the cell is older. */
#define RENEW_AFTER_MS 4000
/* Added to the time for which leases that a former owner renewed may last. */
#define TAKEOVER_MARGIN_MS 500
/* Bound on interference where the deployment gives none. */
#define VIOLATION_DEFAULT_MS 4000
/* How long a worker, or the store, may delay the reply to a long poll. */
#define WORKER_POLL_WAIT_MS 1000
#define LOG_POLL_WAIT_MS 1000
/* Terminal states are kept this many times as long as callers may query
 * them. */
#define TERMINAL_KEEP_FACTOR 2
/* A host is ready only if it has read the job log and the operators' topic to
 * their ends within this time. */
#define READY_LOG_AGE_MS 2500
/* The probe fails if the event loop has not turned for this long. */
#define LOOP_STILL_MAX_MS 2000
/* Callers are served for this long during a shutdown: the load balancer needs
 * two probes, one second apart, to send new connections elsewhere. */
#define STOP_SERVE_MS 3500
/* The loop ends at least this long before the platform kills the process. */
#define STOP_MARGIN_MS 800
/* Number of rounds that answer the last requests on exit, and the pause after
 * each round. */
#define DRAIN_ROUNDS 50
#define DRAIN_PAUSE_US 3000
/* Longest time between two ticks. */
#define TICK_MS 50
/* The job log tells whether the cell has an owner only if it was read to its
 * end within this time. */
#define CANDIDACY_LOG_AGE_MS 1500
/* One in this many descriptors may hold an idle connection for reuse. */
#define IDLE_CONNECTIONS_DIVISOR 2
#define METRICS_PATH "/metrics"
/* Period of the log lines on a busy loop, and the share of it, percent, that
 * the loop has to work for a line. */
#define BUSY_LOG_PERIOD_MS 1000
#define BUSY_LOG_PERCENT 15
#define BUSY_TEXT_SIZE 256
#define NS_PER_MS 1000000
/* Period at which the settings file is read again. */
#define SETTINGS_PERIOD_MS 2000

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_signal(int sig)
{
	if (sig == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
}

static int64_t cell_now(void *ctx)
{
	(void)ctx;
	return clock_boot_ms();
}

static bool is_zone_open(void *ctx, const char *zone)
{
	struct host *h = ctx;

	return !index_get(&h->evacuated_zones, name_hash(zone));
}

static const char *queue_service(void *ctx, const char *name)
{
	struct host *h = ctx;
	const struct queue *q = queue_table_find(&h->queues, name);

	return q ? q->service : NULL;
}

static const struct account_table *client_accounts(void *ctx)
{
	struct host *h = ctx;

	return h->queues.version ? &h->queues.accounts : NULL;
}

static void on_cell_fenced(void *ctx)
{
	struct host *h = ctx;

	h->owner.fenced_by_worker = true;
}

static void on_job_accepted(void *ctx, struct job_entry *e)
{
	struct host *h = ctx;

	if (h->owner.cell)
		cell_job_accepted(h->owner.cell, e);
}

static void on_job_cancelled(void *ctx, struct job_entry *e)
{
	struct host *h = ctx;

	if (h->owner.cell)
		cell_job_cancelled(h->owner.cell, e);
}

static void on_job_dropped(void *ctx, struct job_entry *e)
{
	struct host *h = ctx;

	if (h->owner.cell)
		cell_job_dropped(h->owner.cell, e);
}

static const struct job_view_ops job_ops = {on_job_accepted, on_job_cancelled,
					    on_job_dropped};

static void ignore_listing(void *ctx)
{
	(void)ctx;
}

static void jobs_apply(void *ctx, const struct store_record *r)
{
	struct host *h = ctx;
	/* Not the time of the last tick, after which the process may have been
	 * paused: the ends of leases count from here. */
	int err =
		job_view_apply(&h->job_view, r->key, r->value, clock_boot_ms());

	if (err)
		log_line(LOG_ERROR, "cannot decode job record",
			 "offset=%" PRIu64 " key_bytes=%zu bytes=%zu error=%d",
			 r->offset, r->key.len, r->value.len, err);
}

/* What the listing lacks was deleted by records that have expired before this
 * host read them: as the owner, it would run those jobs again. */
static void jobs_end(void *ctx)
{
	struct host *h = ctx;
	size_t dropped = job_view_drop_unread(&h->job_view,
					      h->job_follower.list_began_ms);

	if (dropped)
		log_line(LOG_INFO, "dropped what a listing lacks",
			 "entries=%zu left=%zu", dropped,
			 index_count(&h->job_view.by_id));
}

const struct follower_ops host_job_ops = {ignore_listing, jobs_apply, jobs_end};

bool host_probe_passes(const struct host *h, int64_t now_ms)
{
	int64_t still_ms =
		now_ms - __atomic_load_n(&h->loop_turned_ms, __ATOMIC_RELAXED);

	if (!__atomic_load_n(&h->ready, __ATOMIC_RELAXED))
		return false;
	if (still_ms <= LOOP_STILL_MAX_MS)
		return true;
	log_line(LOG_WARN, "not ready: event loop stands still",
		 "still_ms=%lld max_ms=%d", (long long)still_ms,
		 LOOP_STILL_MAX_MS);
	return false;
}

/*
 * Runs on the thread of the probe or metrics server and reads only what is set
 * for it. Other requests are posted to the loop, which owns the state.
 */
static void on_probe(void *ctx, struct http_request *r)
{
	struct host *h = ctx;

	if (r->server == &h->metrics && !strcmp(r->path, EXPLAIN_PATH)) {
		host_post_request(h, r);
		return;
	}
	if (r->too_large) {
		http_reply(r, 413, 0, "{}", 2);
		return;
	}
	if (!strcmp(r->path, METRICS_PATH)) {
		host_post_request(h, r);
		return;
	}
	http_reply(r, host_probe_passes(h, clock_boot_ms()) ? 200 : 503, 0,
		   "{}", 2);
}

bool host_is_ready(const struct host *h)
{
	return h->queues.version && !h->stop_began_ms &&
	       follower_is_fresh(&h->job_follower, h->now_ms,
				 READY_LOG_AGE_MS) &&
	       follower_is_fresh(&h->operator_follower, h->now_ms,
				 READY_LOG_AGE_MS) &&
	       (!h->queues.has_accounts ||
		host_config_age_ms(h) <= h->auth_bounds.serve_age_ms);
}

static void update_readiness(struct host *h)
{
	bool ready = host_is_ready(h);

	__atomic_store_n(&h->ready, ready, __ATOMIC_RELAXED);
	__atomic_store_n(&h->loop_turned_ms, h->now_ms, __ATOMIC_RELAXED);
	if (ready == h->was_ready)
		return;
	h->was_ready = ready;
	log_line(LOG_INFO, ready ? "ready" : "not ready",
		 "config=%" PRIu64 " jobs_age_ms=%lld operators_age_ms=%lld "
		 "config_age_ms=%lld stopping=%d",
		 h->queues.version,
		 (long long)(h->now_ms - h->job_follower.caught_up_ms),
		 (long long)(h->now_ms - h->operator_follower.caught_up_ms),
		 (long long)host_config_age_ms(h), h->stop_began_ms != 0);
}

static void shutdown_tick(struct host *h)
{
	int64_t grace = (int64_t)h->settings.grace_s * SECOND_MS;

	if (stop_requested && !h->stop_began_ms) {
		h->stop_began_ms = h->now_ms;
		log_line(LOG_INFO, "stopping", "owner_phase=%d",
			 (int)h->owner.phase);
		owner_hand_over(&h->owner, "stop");
		member_leave(&h->member);
		fleet_leave(&h->fleet);
		h->relay_server.leaving = true;
	}
	if (!h->stop_began_ms)
		return;
	if (h->now_ms - h->stop_began_ms >= grace - STOP_MARGIN_MS ||
	    (h->now_ms - h->stop_began_ms >= STOP_SERVE_MS &&
	     !host_has_calls(h)))
		loop_stop(&h->loop);
}

static void update_auth_bounds(struct host *h)
{
	auth_bounds_init(&h->auth_bounds, h->settings.config_apply_ms,
			 h->settings.strict_revocation, h->settings.revoke_ms);
	h->operator_follower.wait_ms =
		auth_bounds_poll_wait_ms(&h->auth_bounds, LOG_POLL_WAIT_MS);
}

static void settings_reload(struct host *h)
{
	struct host_settings s;
	struct buf error;

	buf_init(&error);
	if (host_settings_load(&s, &error)) {
		log_line(LOG_ERROR,
			 "cannot load settings file; keeping current settings",
			 "error=\"%s\"", error.data);
	} else if (memcmp(&s, &h->settings, sizeof(s))) {
		log_line(LOG_INFO, "settings changed", "store=%s before=%s",
			 s.store_addr, h->settings.store_addr);
		h->settings = s;
		name_set(h->platform.store_addr, s.store_addr);
		update_auth_bounds(h);
	}
	buf_finish(&error);
}

static void settings_poll(struct host *h)
{
	if (!reload_requested && h->now_ms < h->settings_due_ms)
		return;
	reload_requested = 0;
	h->settings_due_ms = h->now_ms + SETTINGS_PERIOD_MS;
	settings_reload(h);
}

/* Logs what a busy loop works on, in milliseconds. */
static void log_busy_loop(struct host *h)
{
	const struct activity_meter *m = &h->loop.activity;
	int64_t passed = h->now_ms - h->busy_logged_ms, busy = 0;
	char text[BUSY_TEXT_SIZE];
	size_t used = 0;
	int a;

	if (passed < BUSY_LOG_PERIOD_MS)
		return;
	for (a = 0; a < ACTIVITY_COUNT; a++) {
		int64_t ms =
			(int64_t)(m->spent_ns[a] - h->logged_ns[a]) / NS_PER_MS;

		h->logged_ns[a] = m->spent_ns[a];
		if (a == ACTIVITY_WAIT)
			continue;
		busy += ms;
		used += (size_t)snprintf(text + used, sizeof(text) - used,
					 " %s_ms=%lld",
					 activity_name((enum activity)a),
					 (long long)ms);
	}
	h->busy_logged_ms = h->now_ms;
	if (busy * 100 >= passed * BUSY_LOG_PERCENT)
		log_line(LOG_INFO, "loop is busy",
			 "passed_ms=%lld busy_ms=%lld longest_ms=%lld%s",
			 (long long)passed, (long long)busy,
			 (long long)activity_take_longest(&h->loop.activity) /
				 NS_PER_MS,
			 text);
}

static int64_t on_tick(void *ctx)
{
	struct host *h = ctx;
	int64_t wait, peers_wait;

	h->now_ms = clock_boot_ms();
	settings_poll(h);
	shutdown_tick(h);
	host_follow_logs(h);
	if (!h->stop_began_ms)
		candidacy_tick(&h->candidacy, &h->member, CELL_INDEX,
			       h->job_view.owner_seen_ms,
			       follower_is_fresh(&h->job_follower, h->now_ms,
						 CANDIDACY_LOG_AGE_MS),
			       h->now_ms);
	h->member.retained = 0;
	if (owner_may_retain(&h->owner) && !h->candidacy.is_standby)
		h->member.retained = 1ULL << CELL_INDEX;
	activity_enter(&h->loop.activity, ACTIVITY_SCHEDULE);
	wait = owner_tick(&h->owner, &h->member, h->now_ms, clock_wall_ms());
	activity_enter(&h->loop.activity, ACTIVITY_CALLERS);
	host_calls_tick(h);
	activity_enter(&h->loop.activity, ACTIVITY_IO);
	log_busy_loop(h);
	peers_wait = host_peers_tick(h);
	update_readiness(h);
	heap_trim_tick(&h->heap, h->now_ms);
	if (peers_wait < wait)
		wait = peers_wait;
	return wait < TICK_MS ? wait : TICK_MS;
}

static const struct loop_ops host_loop_ops = {on_tick, host_on_post};

static int split_address(const char *address, char ip[NAME_SIZE],
			 uint16_t *port)
{
	const char *colon = strrchr(address, ':');

	if (!colon)
		return -EINVAL;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	*port = (uint16_t)strtoul(colon + 1, NULL, 10);
	return 0;
}

static uint32_t probe_connections(const struct host *h)
{
	uint32_t n = h->settings.fd_limit / PROBE_FDS_DIVISOR;

	if (n < PROBE_CONNECTIONS_MIN)
		return PROBE_CONNECTIONS_MIN;
	return n < PROBE_CONNECTIONS_MAX ? n : PROBE_CONNECTIONS_MAX;
}

/* The readiness server accepts no bodies, that of the metrics the jobs that
 * operators have explained. */
static int start_server(struct http_server *s, const char *address,
			struct host *h,
			void (*handle)(void *ctx, struct http_request *r))
{
	uint64_t memory = (uint64_t)h->settings.memory_mb * MB;
	char ip[NAME_SIZE];
	uint16_t port;
	int err = split_address(address, ip, &port);
	size_t body_max = 0;

	if (err)
		return err;
	s->connections_max = probe_connections(h);
	if (s == &h->callers) {
		body_max = BODY_MAX_UNCONFIGURED;
		s->bodies_max = memory / BODIES_DIVISOR;
		s->connections_max =
			request_memory_connections(h->settings.fd_limit,
						   memory / CONNECTIONS_DIVISOR,
						   HTTP_CONNECTION_BYTES);
	} else if (s == &h->metrics) {
		body_max = BODY_MAX_UNCONFIGURED;
		s->bodies_max = EXPLAINED_BODIES_MAX;
	}
	s->threads = 1;
	s->handle = handle;
	s->ctx = h;
	err = http_server_start(s, ip, port, body_max);
	if (err)
		log_line(LOG_ERROR, "cannot listen", "address=%s error=%d",
			 address, err);
	return err;
}

static void on_peer_records_done(void *ctx, uint64_t from, uint64_t seq,
				 enum store_status status)
{
	record_relay_answer(&((struct host *)ctx)->record_relay, from, seq,
			    status);
}

static void init_owner(struct host *h)
{
	struct owner *o = &h->owner;

	h->cell_ops.now = cell_now;
	h->cell_ops.zone_open = is_zone_open;
	h->cell_ops.queue_service = queue_service;
	h->cell_ops.accounts = client_accounts;
	h->cell_ops.fenced = on_cell_fenced;
	o->store = &platform_store_ops;
	o->port = &h->platform;
	o->worker_ops = &relay_worker_ops;
	o->worker_port = &h->relay;
	o->worker_topic = TOPIC_WORKERS;
	o->part = CELL_INDEX;
	o->job_view = &h->job_view;
	o->job_follower = &h->job_follower;
	o->cell_ops = &h->cell_ops;
	o->parse_worker = worker_entry_parse;
	o->ctx = h;
	o->peer_records_done = on_peer_records_done;
	o->options.lease_ms = LEASE_MS;
	if (o->options.lease_ms > h->settings.lease_max_ms)
		o->options.lease_ms = h->settings.lease_max_ms;
	o->options.lease_max_ms = h->settings.lease_max_ms;
	o->options.takeover_ms =
		RENEW_AFTER_MS + o->options.lease_ms + TAKEOVER_MARGIN_MS;
	o->options.renew_after_ms = RENEW_AFTER_MS;
	o->options.early_ms = h->settings.early_ms;
	o->options.terminal_retention_ms =
		(int64_t)h->settings.terminal_keep_s * SECOND_MS *
		TERMINAL_KEEP_FACTOR;
	o->options.poll_wait_ms = WORKER_POLL_WAIT_MS;
	o->options.heartbeat_ms = h->settings.heartbeat_ms;
	o->options.violation_ms = h->settings.violation_ms
					  ? h->settings.violation_ms
					  : VIOLATION_DEFAULT_MS;
	o->options.record_max_bytes = h->settings.record_max_bytes;
	o->options.append_max_bytes = h->settings.append_max_bytes;
	o->options.look_ahead = h->look_ahead;
	owner_init(o);
}

static void init_member(struct host *h)
{
	int64_t ttl = GROUP_TTL_MS;
	char name[NAME_SIZE];

	if (ttl < h->settings.group_ttl_min_ms)
		ttl = h->settings.group_ttl_min_ms;
	h->platform.group_ttl_ms = (uint32_t)ttl;
	snprintf(name, sizeof(name), "%.40s-%" PRIx64, h->settings.name,
		 (uint64_t)clock_wall_ms());
	member_init(&h->member, &platform_store_ops, &h->platform, name, ttl);
	candidacy_init(&h->candidacy, h->settings.cpu_milli,
		       h->settings.store_parts, &h->member, h->now_ms);
}

static void init_store(struct host *h)
{
	h->platform.loop = &h->loop;
	name_set(h->platform.store_addr, h->settings.store_addr);
	name_set(h->platform.group, CELL_GROUP);
	name_set(h->platform.topic, CELL_TOPIC);
	index_init(&h->evacuated_zones);
	index_init(&h->listed_zones);
	job_view_init(&h->job_view, &job_ops, h);
	follower_init(&h->operator_follower, &platform_store_ops, &h->platform,
		      TOPIC_OPERATORS, 0, &host_operator_ops, h);
	follower_init(&h->job_follower, &platform_store_ops, &h->platform,
		      TOPIC_JOBS, CELL_INDEX, &host_job_ops, h);
	update_auth_bounds(h);
	h->job_follower.wait_ms = LOG_POLL_WAIT_MS;
	follower_start(&h->operator_follower, h->now_ms);
	follower_start(&h->job_follower, h->now_ms);
}

static bool has_pending_requests(const struct host *h)
{
	return http_server_has_pending(&h->callers) ||
	       http_server_has_pending(&h->probes) ||
	       (h->metrics_port && http_server_has_pending(&h->metrics));
}

/* Answers requests that arrived after the last iteration of the loop. */
static void answer_remaining(struct host *h)
{
	int round;

	http_server_close(&h->callers);
	http_server_close(&h->probes);
	if (h->metrics_port)
		http_server_close(&h->metrics);
	for (round = 0; round < DRAIN_ROUNDS && has_pending_requests(h);
	     round++) {
		loop_drain(&h->loop);
		host_calls_finish(h);
		usleep(DRAIN_PAUSE_US);
	}
}

static void host_finish(struct host *h)
{
	answer_remaining(h);
	http_server_stop(&h->callers);
	http_server_stop(&h->probes);
	if (h->metrics_port)
		http_server_stop(&h->metrics);
	owner_finish(&h->owner);
	host_peers_finish(h);
	follower_finish(&h->operator_follower);
	follower_finish(&h->job_follower);
	job_view_finish(&h->job_view);
	queue_table_finish(&h->queues);
	index_finish(&h->evacuated_zones);
	index_finish(&h->listed_zones);
	loop_finish(&h->loop);
}

int host_run(struct host *h)
{
	struct sigaction sa = {0};
	char address[NAME_SIZE];
	int err;

	sa.sa_handler = on_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	sigaction(SIGHUP, &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
	h->now_ms = clock_boot_ms();
	err = loop_init(&h->loop, &host_loop_ops, h,
			h->settings.fd_limit / IDLE_CONNECTIONS_DIVISOR);
	if (err)
		return err;
	init_store(h);
	init_member(h);
	host_peers_init(h);
	init_owner(h);
	err = start_server(&h->callers, h->settings.caller_addr, h,
			   host_post_request);
	if (!err)
		err = start_server(&h->probes, h->settings.readiness_addr, h,
				   on_probe);
	if (!err && h->metrics_port) {
		snprintf(address, sizeof(address), "%.48s:%u", h->settings.ip,
			 h->metrics_port);
		err = start_server(&h->metrics, address, h, on_probe);
	}
	if (!err)
		err = host_peers_start(h);
	if (err)
		return err;
	log_line(LOG_INFO, "started",
		 "callers=%s port=%u probe_port=%u store=%s zone=%s build=%s "
		 "sources=%s",
		 h->settings.caller_addr, h->callers.port, h->probes.port,
		 h->settings.store_addr, h->settings.zone, build_info.commit,
		 build_info.sources);
	loop_run(&h->loop);
	log_line(LOG_INFO, "stopped", "jobs=%zu",
		 index_count(&h->job_view.by_id));
	host_finish(h);
	return 0;
}
