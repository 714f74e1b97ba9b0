#include "core/sched_internal.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* One token of a rate limit, in thousandths. */
#define RATE_TOKEN_MILLI 1000

/* A message from this schedd to itself; owns copies of its strings. */
struct loopback_msg {
	struct loopback_msg *next;
	struct msg msg;
	struct arena memory;
};

static void load_config(void *ctx, struct stream *st, const struct log_read *r);
static void config_caught_up(void *ctx, struct stream *st);

static const struct stream_ops config_stream_ops = {load_config,
						    config_caught_up};
static const struct stream_ops claims_stream_ops = {sched_load_shard_stream,
						    sched_shard_caught_up};

void sched_event(struct sched *s, const char *name, uint64_t job,
		 uint32_t attempt, const char *fmt, ...)
{
	char detail[NAME_SIZE * 2];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	s->ports.ops->event(s->ports.ctx, name, job, attempt, detail);
}

void sched_count(struct sched *s, enum counter_id id, uint64_t n)
{
	s->ports.ops->count(s->ports.ctx, (int)id, n);
}

static struct str dup_str(struct arena *a, struct str s)
{
	return s.len ? arena_str(a, s.data, s.len) : s;
}

static void loopback_put(struct sched *s, const struct msg *m)
{
	struct loopback_msg *l = xcalloc(1, sizeof(*l));

	arena_init(&l->memory);
	l->msg = *m;
	l->msg.payload = dup_str(&l->memory, m->payload);
	l->msg.result = dup_str(&l->memory, m->result);
	*s->loopback_tail = l;
	s->loopback_tail = &l->next;
}

void sched_send(struct sched *s, uint64_t to, struct msg *m)
{
	if (!to)
		return;
	m->from = s->host_id;
	if (to == s->host_id)
		loopback_put(s, m);
	else
		s->ports.ops->send(s->ports.ctx, to, m);
}

static void dispatch(struct sched *s, const struct msg *m)
{
	switch (m->kind) {
	case MSG_HELLO:
		sched_on_hello(s, m);
		break;
	case MSG_HEARTBEAT:
		sched_on_heartbeat(s, m);
		break;
	case MSG_SUBMIT:
		sched_on_submit(s, m);
		break;
	case MSG_CANCEL:
		sched_on_cancel(s, m);
		break;
	case MSG_QUERY:
		sched_on_query(s, m);
		break;
	case MSG_RESERVE:
		sched_on_reserve(s, m);
		break;
	case MSG_RESERVED:
		sched_on_reserved(s, m);
		break;
	case MSG_START:
		sched_on_start(s, m);
		break;
	case MSG_STOP:
		sched_on_stop(s, m);
		break;
	case MSG_VERIFY:
		sched_on_verify(s, m);
		break;
	case MSG_DISPLACE:
		sched_on_displace(s, m);
		break;
	case MSG_TASK:
		sched_on_task(s, m);
		break;
	case MSG_FORGET:
		sched_on_forget(s, m);
		break;
	case MSG_INVENTORY:
		sched_on_inventory(s, m);
		break;
	case MSG_WORKER_TASK:
		sched_on_worker_task(s, m);
		break;
	default:
		break;
	}
}

/* Handles all loopback messages, also those added while it runs. */
static void dispatch_loopback(struct sched *s)
{
	if (s->is_dispatching)
		return;
	s->is_dispatching = true;
	while (s->loopback_head) {
		struct loopback_msg *l = s->loopback_head;

		s->loopback_head = l->next;
		if (!s->loopback_head)
			s->loopback_tail = &s->loopback_head;
		dispatch(s, &l->msg);
		arena_finish(&l->memory);
		free(l);
	}
	s->is_dispatching = false;
}

void sched_init(struct sched *s, const struct sched_options *o,
		const struct ports *ports, int64_t now_ms, int64_t wall_ms)
{
	char claims[NAME_SIZE * 2];

	memset(s, 0, sizeof(*s));
	s->opts = *o;
	s->ports = *ports;
	s->now_ms = now_ms;
	s->started_ms = now_ms;
	s->wall_offset_ms = wall_ms - now_ms;
	s->host_id = name_hash(o->name);
	s->rng.state = s->host_id ^ o->incarnation;
	s->corr = rng_next(&s->rng) >> 16;
	s->append_tokens_milli = (int64_t)o->append_burst * RATE_TOKEN_MILLI;
	s->append_refill_ms = now_ms;
	s->eviction_tokens_milli = SCHED_EVICTIONS_PER_MIN * RATE_TOKEN_MILLI;
	s->eviction_refill_ms = now_ms;
	s->config_snapshot_ms = now_ms;
	s->loopback_tail = &s->loopback_head;
	config_init(&s->config);
	s->config.protections = o->protections;
	index_init(&s->shard_by_id);
	index_init(&s->peer_by_id);
	worker_table_init(&s->workers);
	interference_init(&s->interference);
	stream_init(&s->config_stream, CONFIG_STREAM, 0, &s->ports,
		    &config_stream_ops, s);
	snprintf(claims, sizeof(claims), "claims-%s", o->zone);
	claims[NAME_SIZE - 1] = '\0';
	stream_init(&s->claims_stream, claims, 1, &s->ports, &claims_stream_ops,
		    s);
	s->streams = xcalloc(2, sizeof(*s->streams));
	s->streams[0] = &s->config_stream;
	s->streams[1] = &s->claims_stream;
	s->stream_count = 2;
	s->claims_stream.writer = o->incarnation;
	s->config_stream.poll_ms = SCHED_POLL_MS;
	s->claims_stream.poll_ms = SCHED_POLL_MS;
	stream_schedule_read(&s->config_stream, now_ms);
	stream_schedule_read(&s->claims_stream, now_ms);
}

void sched_finish(struct sched *s)
{
	size_t i;

	while (s->loopback_head) {
		struct loopback_msg *l = s->loopback_head;

		s->loopback_head = l->next;
		arena_finish(&l->memory);
		free(l);
	}
	for (i = 0; i < s->shard_count; i++) {
		if (s->shards[i]->owns_stream) {
			stream_finish(s->shards[i]->stream);
			free(s->shards[i]->stream);
		}
		job_table_finish(&s->shards[i]->jobs);
		index_finish(&s->shards[i]->refused);
		free(s->shards[i]->refused_ring);
		free(s->shards[i]);
	}
	for (i = 0; i < s->peer_count; i++)
		free(s->peers[i]);
	stream_finish(&s->config_stream);
	stream_finish(&s->claims_stream);
	for (i = 0; i < s->zone_count; i++) {
		free(s->zones[i].racks);
		if (s->zones[i].claims == &s->claims_stream)
			continue;
		stream_finish(s->zones[i].claims);
		free(s->zones[i].claims);
	}
	free(s->shards);
	free(s->peers);
	free(s->streams);
	free(s->hosts);
	index_finish(&s->shard_by_id);
	index_finish(&s->peer_by_id);
	worker_table_finish(&s->workers);
	interference_finish(&s->interference);
	config_finish(&s->config);
}

static void load_config(void *ctx, struct stream *st, const struct log_read *r)
{
	struct sched *s = ctx;
	int changed = config_load(&s->config, r);

	st->next = s->config.offset;
	if (!changed)
		return;
	sched_event(s, "config_applied", 0, 0, "offset %" PRIu64,
		    s->config.offset);
	sched_sync_shards(s);
}

static void config_caught_up(void *ctx, struct stream *st)
{
	(void)ctx;
	(void)st;
}

bool sched_is_ready(const struct sched *s)
{
	return !s->draining && s->config_stream.caught_up &&
	       s->claims_stream.caught_up && s->config.count;
}

int64_t sched_claims_fresh_ms(const struct sched *s)
{
	int64_t oldest = s->claims_stream.fresh_ms;
	size_t i;

	for (i = 0; i < s->zone_count; i++) {
		const struct rack_zone *z = &s->zones[i];

		if (z->failed_over && z->claims->caught_up &&
		    z->claims->fresh_ms < oldest)
			oldest = z->claims->fresh_ms;
	}
	return oldest;
}

static bool is_fresh(const struct sched *s, int64_t fresh_ms)
{
	return s->now_ms - fresh_ms <= SCHED_STALENESS_MAX_MS;
}

enum log_freshness sched_log_freshness(const struct sched *s)
{
	if (!is_fresh(s, s->config_stream.fresh_ms) ||
	    !is_fresh(s, sched_claims_fresh_ms(s)))
		return FRESHNESS_STALE;
	if (s->config_stream.status == LOG_REFUSED)
		return FRESHNESS_LOG_DOWN;
	return FRESHNESS_CURRENT;
}

/*
 * True when no host list has come for SCHED_HOSTS_TIMEOUT_MS although this
 * process was running. Tasks then start without a recent list, and only the
 * workers' own reports tell which of them are leaving. A list that is old
 * because the process was paused does not count: it may lack a worker that has
 * begun to leave.
 */
static bool host_list_is_unavailable(const struct sched *s)
{
	int64_t since =
		s->hosts_ms > s->resumed_ms ? s->hosts_ms : s->resumed_ms;

	return s->now_ms - s->tick_ms <= SCHED_PAUSE_MIN_MS &&
	       s->now_ms - since > SCHED_HOSTS_TIMEOUT_MS;
}

bool sched_can_start(const struct sched *s)
{
	if (!sched_has_protection(s, PROTECT_FRESH_READ))
		return true;
	if (s->now_ms - s->hosts_ms > SCHED_STALENESS_MAX_MS &&
	    !host_list_is_unavailable(s))
		return false;
	return sched_log_freshness(s) != FRESHNESS_STALE;
}

int64_t sched_fresh_until(const struct sched *s)
{
	int64_t a = s->config_stream.fresh_ms, b = sched_claims_fresh_ms(s);

	if (!sched_has_protection(s, PROTECT_FRESH_READ))
		return s->now_ms + 3600000;
	a = a < b ? a : b;
	if (!host_list_is_unavailable(s) && s->hosts_ms < a)
		a = s->hosts_ms;
	return a + SCHED_STALENESS_MAX_MS;
}

static void refill(int64_t *tokens_milli, int64_t *at_ms, int64_t now_ms,
		   int64_t milli_per_s, int64_t cap_milli)
{
	*tokens_milli += (now_ms - *at_ms) * milli_per_s / 1000;
	if (*tokens_milli > cap_milli)
		*tokens_milli = cap_milli;
	*at_ms = now_ms;
}

/*
 * Append rate of this schedd, in thousandths per second: an equal share of the
 * rate for all schedds.
 */
static int64_t append_rate_milli(const struct sched *s)
{
	size_t i, schedds = 0;

	for (i = 0; i < s->host_count; i++)
		schedds += s->hosts[i].role == HOST_SCHEDD;
	return (int64_t)s->opts.append_budget * RATE_TOKEN_MILLI /
	       (int64_t)(schedds ? schedds : 1);
}

static void flush_streams(struct sched *s)
{
	size_t i;

	refill(&s->append_tokens_milli, &s->append_refill_ms, s->now_ms,
	       append_rate_milli(s),
	       (int64_t)s->opts.append_burst * RATE_TOKEN_MILLI);
	for (i = 1; i < s->stream_count; i++) {
		struct stream *st = s->streams[i];

		if (!stream_can_append(st))
			continue;
		if (s->append_tokens_milli < RATE_TOKEN_MILLI && !st->urgent)
			continue;
		s->append_tokens_milli -= RATE_TOKEN_MILLI;
		stream_append(st, s->now_ms);
	}
}

/*
 * Writes a snapshot of the documents in force before the retention of the log
 * removes their entries. Only the owner of the first shard does so.
 */
static void snapshot_config(struct sched *s)
{
	const struct shard *sh = s->shard_count ? s->shards[0] : NULL;
	struct buf b;
	struct str body;

	if (!sh || sh->state != SHARD_OWNED ||
	    s->now_ms - s->config_snapshot_ms < s->opts.refresh_ms ||
	    sched_log_freshness(s) != FRESHNESS_CURRENT)
		return;
	s->config_snapshot_ms = s->now_ms;
	buf_init(&b);
	config_write_snapshot(&s->config, &b);
	body.data = b.data;
	body.len = b.len;
	s->ports.ops->append(s->ports.ctx, 1ULL << 31, CONFIG_STREAM, body);
	sched_count(s, COUNTER_SNAPSHOTS, 1);
	buf_finish(&b);
}

void sched_tick(struct sched *s, int64_t now_ms)
{
	size_t i;

	s->now_ms = now_ms;
	if (now_ms - s->tick_ms > SCHED_PAUSE_MIN_MS)
		s->resumed_ms = now_ms;
	s->tick_ms = now_ms;
	for (i = 0; i < s->stream_count; i++)
		stream_tick(s->streams[i], now_ms);
	if (now_ms >= s->heartbeat_due_ms) {
		s->heartbeat_due_ms = now_ms + SCHED_HEARTBEAT_MS;
		sched_send_heartbeats(s);
	}
	if (now_ms >= s->owner_due_ms) {
		s->owner_due_ms = now_ms + SCHED_TICK_MS * 4;
		sched_owner_tick(s);
	}
	refill(&s->eviction_tokens_milli, &s->eviction_refill_ms, now_ms,
	       SCHED_EVICTIONS_PER_MIN * RATE_TOKEN_MILLI / 60,
	       SCHED_EVICTIONS_PER_MIN * RATE_TOKEN_MILLI);
	for (i = 0; i < s->shard_count; i++) {
		struct shard *sh = s->shards[i];

		if (sh->state != SHARD_OWNED)
			continue;
		if (sh->kind == SHARD_JOBS)
			sched_jobs_tick(s, sh);
		else
			sched_rack_tick(s, sh);
	}
	snapshot_config(s);
	dispatch_loopback(s);
	flush_streams(s);
}

void sched_on_msg(struct sched *s, int64_t now_ms, const struct msg *m)
{
	s->now_ms = now_ms;
	dispatch(s, m);
	dispatch_loopback(s);
	flush_streams(s);
}

void sched_on_append(struct sched *s, int64_t now_ms, uint64_t token,
		     enum log_status status, uint64_t offset)
{
	uint32_t id = TOKEN_STREAM(token);

	s->now_ms = now_ms;
	if (id && id < s->stream_count) {
		stream_on_append(s->streams[id], now_ms, TOKEN_SERIAL(token),
				 status, offset);
		stream_tick(s->streams[id], now_ms);
	}
	dispatch_loopback(s);
	flush_streams(s);
}

void sched_on_read(struct sched *s, int64_t now_ms, uint64_t token,
		   const struct log_read *r)
{
	uint32_t id = TOKEN_STREAM(token);

	s->now_ms = now_ms;
	if (id < s->stream_count) {
		stream_on_read(s->streams[id], now_ms, TOKEN_SERIAL(token), r);
		stream_tick(s->streams[id], now_ms);
	}
	dispatch_loopback(s);
	flush_streams(s);
}

static bool may_own_racks_of(const struct sched *s, const char *zone)
{
	size_t i;

	if (!strcmp(zone, s->opts.zone))
		return true;
	for (i = 0; i < s->zone_count; i++)
		if (!strcmp(s->zones[i].name, zone))
			return s->zones[i].failed_over;
	return false;
}

void sched_add_listed_workers(struct sched *s)
{
	size_t i;

	for (i = 0; i < s->host_count; i++) {
		const struct listed_host *h = &s->hosts[i];
		char rack[NAME_SIZE * 3];
		struct worker *w;

		if (h->role != HOST_WORKER || !may_own_racks_of(s, h->zone))
			continue;
		snprintf(rack, sizeof(rack), "rack-%s-%s", h->zone, h->rack);
		w = worker_table_add(&s->workers, h->id, h->name,
				     name_hash(rack));
		w->leaving_listed = h->leaving;
	}
}

void sched_on_hosts(struct sched *s, int64_t now_ms,
		    const struct listed_host *hosts, size_t count)
{
	s->now_ms = now_ms;
	s->hosts = xrealloc(s->hosts, count * sizeof(*hosts));
	if (count)
		memcpy(s->hosts, hosts, count * sizeof(*hosts));
	s->host_count = count;
	s->hosts_ms = now_ms;
	sched_add_listed_workers(s);
}

void sched_on_hosts_unchanged(struct sched *s, int64_t now_ms)
{
	s->now_ms = now_ms;
	s->hosts_ms = now_ms;
}

void sched_drain(struct sched *s, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (s->draining)
		return;
	s->draining = true;
	sched_event(s, "drain", 0, 0, "planned stop");
	sched_send_heartbeats(s);
	dispatch_loopback(s);
}

bool sched_is_drained(const struct sched *s)
{
	size_t i;

	for (i = 0; i < s->shard_count; i++)
		if (s->shards[i]->state != SHARD_IDLE)
			return false;
	return s->draining;
}
