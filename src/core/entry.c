#include "core/entry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/counter.h"
#include "core/job.h"

/**
 * struct entry_owner - owner of a job shard, as its heartbeats report it
 */
struct entry_owner {
	uint64_t shard;
	uint64_t host;
	uint64_t epoch;
	int64_t last_heartbeat_ms;
};

/**
 * struct entry_region - a region that calls were made for
 * @used_ms: time of the newest call
 */
struct entry_region {
	uint64_t id;
	int64_t used_ms;
};

/**
 * struct entry_request - a call that waits for its answer
 * @resend_ms: time when it is sent again
 * @sent_host: owner that it was last sent to
 * @sent_epoch: epoch of that owner
 * @sent: at least one copy left this process, so the job may have run
 */
struct entry_request {
	uint64_t corr;
	uint64_t caller;
	uint32_t kind;
	uint64_t job;
	uint64_t shard;
	char service[NAME_SIZE];
	char key[NAME_SIZE];
	struct str payload;
	int64_t deadline_ms;
	int64_t resend_ms;
	uint64_t sent_host;
	uint64_t sent_epoch;
	bool sent;
	bool wait;
	CK_LIST_ENTRY(entry_request) link;
};

static void load_config(void *ctx, struct stream *st, const struct log_read *r)
{
	struct entry *e = ctx;

	config_load(&e->config, r);
	st->next = e->config.offset;
}

static void config_caught_up(void *ctx, struct stream *st)
{
	(void)ctx;
	(void)st;
}

static const struct stream_ops config_stream_ops = {load_config,
						    config_caught_up};

void entry_init(struct entry *e, const char *name, const char *zone,
		uint64_t incarnation, const struct ports *ports,
		const struct entry_sink *sink, int64_t now_ms)
{
	memset(e, 0, sizeof(*e));
	name_set(e->name, name);
	name_set(e->zone, zone);
	e->host_id = name_hash(name);
	e->ports = *ports;
	e->sink = *sink;
	e->now_ms = now_ms;
	e->corr = attempt_id(e->host_id ^ incarnation, 7) & ~0xffffffffULL;
	config_init(&e->config);
	index_init(&e->owners);
	index_init(&e->region_by_id);
	index_init(&e->by_corr);
	CK_LIST_INIT(&e->requests);
	stream_init(&e->config_stream, CONFIG_STREAM, 0, &e->ports,
		    &config_stream_ops, e);
	e->config_stream.poll_ms = ENTRY_HELLO_MS;
	stream_schedule_read(&e->config_stream, now_ms);
}

static void request_free(struct entry *e, struct entry_request *r)
{
	CK_LIST_REMOVE(r, link);
	index_remove(&e->by_corr, r->corr);
	free((char *)r->payload.data);
	free(r);
	e->open_count--;
}

void entry_finish(struct entry *e)
{
	size_t i;

	while (!CK_LIST_EMPTY(&e->requests))
		request_free(e, CK_LIST_FIRST(&e->requests));
	for (i = 0; i < e->owner_count; i++)
		free(e->owner_list[i]);
	free(e->owner_list);
	free(e->hosts);
	for (i = 0; i < e->region_count; i++)
		free(e->regions[i]);
	free(e->regions);
	index_finish(&e->region_by_id);
	index_finish(&e->owners);
	index_finish(&e->by_corr);
	stream_finish(&e->config_stream);
	config_finish(&e->config);
}

bool entry_is_ready(const struct entry *e)
{
	return !e->draining && e->config_stream.caught_up && e->config.count;
}

void entry_drain(struct entry *e)
{
	e->draining = true;
}

bool entry_is_drained(const struct entry *e)
{
	return e->draining && !e->open_count;
}

uint64_t job_shard_of(const struct config *c, const struct service_doc *doc,
		      uint64_t job)
{
	const struct document *region = config_service_region(c, doc);
	char name[NAME_SIZE * 2];

	if (!region)
		return 0;
	snprintf(name, sizeof(name), "jobs-%s-%" PRIu64, region->name,
		 job % region->region.job_shards);
	name[NAME_SIZE - 1] = '\0';
	return name_hash(name);
}

static void count_answer(struct entry *e, enum verdict v)
{
	enum counter_id id = v == VERDICT_RAN       ? COUNTER_ANSWERS
			     : v == VERDICT_NOT_RUN ? COUNTER_REFUSALS
						    : COUNTER_MAY_HAVE_RUN;

	if (v != VERDICT_NONE)
		e->ports.ops->count(e->ports.ctx, id, 1);
}

static void send_answer(struct entry *e, uint64_t caller, uint64_t job,
			enum verdict v, enum reason reason)
{
	struct entry_answer a = {caller, job, 0, v, reason, {NULL, 0}};

	count_answer(e, v);
	e->sink.answer(e->sink.ctx, &a);
}

static const struct entry_owner *find_live_owner(const struct entry *e,
						 uint64_t shard)
{
	const struct entry_owner *o = index_get(&e->owners, shard);

	if (!o || !o->host ||
	    e->now_ms - o->last_heartbeat_ms > ENTRY_OWNER_TIMEOUT_MS)
		return NULL;
	return o;
}

static void send_request(struct entry *e, struct entry_request *r)
{
	const struct entry_owner *o = find_live_owner(e, r->shard);
	struct msg m = {0};

	r->resend_ms = e->now_ms + ENTRY_RESEND_MS;
	if (!o) {
		r->resend_ms = e->now_ms + ENTRY_TICK_MS;
		return;
	}
	m.kind = r->kind;
	m.from = e->host_id;
	m.corr = r->corr;
	m.shard = r->shard;
	m.epoch = o->epoch;
	m.job = r->job;
	m.deadline_ms = r->deadline_ms - e->now_ms;
	m.payload = r->payload;
	name_set(m.service, r->service);
	name_set(m.key, r->key);
	r->sent = true;
	r->sent_host = o->host;
	r->sent_epoch = o->epoch;
	e->ports.ops->send(e->ports.ctx, o->host, &m);
}

static enum reason check_call(const struct entry *e, const struct entry_call *c,
			      const struct service_doc *doc)
{
	if (!c->service[0] || !c->key[0] || strlen(c->service) >= NAME_SIZE ||
	    strlen(c->key) >= NAME_SIZE)
		return REASON_BAD_REQUEST;
	if (c->payload.len > ENTRY_PAYLOAD_MAX)
		return REASON_TOO_LARGE;
	if (e->draining)
		return REASON_DRAINING;
	if (!entry_is_ready(e))
		return REASON_NOT_READY;
	if (!doc || !config_service_region(&e->config, doc))
		return REASON_UNKNOWN_SERVICE;
	if (e->open_count >= ENTRY_OPEN_MAX)
		return REASON_ENTRY_FULL;
	return REASON_NONE;
}

/*
 * Marks a region as used. If it had no recent call, its schedds are sent hellos
 * at the next tick, so that their heartbeats report the owners.
 */
static void mark_region_used(struct entry *e, const struct service_doc *doc)
{
	const struct document *d = config_service_region(&e->config, doc);
	struct entry_region *r = index_get(&e->region_by_id, d->id);

	if (!r) {
		r = xcalloc(1, sizeof(*r));
		r->id = d->id;
		r->used_ms = e->now_ms - ENTRY_REGION_IDLE_MS;
		index_put(&e->region_by_id, r->id, r);
		e->regions = xrealloc(e->regions, (e->region_count + 1) *
							  sizeof(*e->regions));
		e->regions[e->region_count++] = r;
	}
	if (e->now_ms - r->used_ms >= ENTRY_REGION_IDLE_MS)
		e->hello_due_ms = e->now_ms;
	r->used_ms = e->now_ms;
}

void entry_handle_call(struct entry *e, int64_t now_ms,
		       const struct entry_call *c)
{
	static const uint32_t kinds[] = {MSG_SUBMIT, MSG_CANCEL, MSG_QUERY};
	const struct document *d =
		config_get(&e->config, DOCUMENT_SERVICE, c->service);
	struct entry_request *r;
	enum reason reason;

	e->now_ms = now_ms;
	e->ports.ops->count(e->ports.ctx, COUNTER_REQUESTS, 1);
	reason = check_call(e, c, d ? &d->service : NULL);
	if (reason != REASON_NONE) {
		send_answer(e, c->caller, 0, VERDICT_NOT_RUN, reason);
		return;
	}
	mark_region_used(e, &d->service);
	r = xcalloc(1, sizeof(*r));
	r->corr = ++e->corr;
	r->caller = c->caller;
	r->kind = kinds[c->action];
	r->job = job_id(c->service, c->key);
	r->shard = job_shard_of(&e->config, &d->service, r->job);
	name_set(r->service, c->service);
	name_set(r->key, c->key);
	r->payload.len = c->payload.len;
	if (c->payload.len)
		r->payload.data = xstrndup(c->payload.data, c->payload.len);
	r->deadline_ms = now_ms + (c->deadline_ms ? c->deadline_ms
						  : d->service.deadline_ms);
	r->wait = c->wait;
	index_put(&e->by_corr, r->corr, r);
	CK_LIST_INSERT_HEAD(&e->requests, r, link);
	e->open_count++;
	send_request(e, r);
}

/* True when the zone is in the entry's own region, or in one used recently. */
static bool is_zone_in_use(const struct entry *e, const char *zone)
{
	const struct document *z = config_get(&e->config, DOCUMENT_ZONE, zone);
	const struct document *home =
		config_get(&e->config, DOCUMENT_ZONE, e->zone);
	const struct entry_region *r;

	if (!z)
		return false;
	if (home && !strcmp(home->zone.region, z->zone.region))
		return true;
	r = index_get(&e->region_by_id,
		      document_id(DOCUMENT_REGION, z->zone.region));
	return r && e->now_ms - r->used_ms < ENTRY_REGION_IDLE_MS;
}

static void send_hellos(struct entry *e)
{
	struct msg m = {0};
	size_t i;

	m.kind = MSG_HELLO;
	m.from = e->host_id;
	name_set(m.name, e->name);
	name_set(m.zone, e->zone);
	for (i = 0; i < e->host_count; i++)
		if (e->hosts[i].role == HOST_SCHEDD &&
		    is_zone_in_use(e, e->hosts[i].zone))
			e->ports.ops->send(e->ports.ctx, e->hosts[i].id, &m);
}

static void tick_request(struct entry *e, struct entry_request *r)
{
	const struct entry_owner *o;

	if (e->now_ms >= r->deadline_ms) {
		send_answer(e, r->caller, r->job,
			    r->sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN,
			    r->sent ? REASON_NO_ANSWER : REASON_NO_OWNER);
		request_free(e, r);
		return;
	}
	o = find_live_owner(e, r->shard);
	if (e->now_ms >= r->resend_ms ||
	    (o && (o->host != r->sent_host || o->epoch != r->sent_epoch)))
		send_request(e, r);
}

void entry_tick(struct entry *e, int64_t now_ms)
{
	struct entry_request *r, *next;

	e->now_ms = now_ms;
	stream_tick(&e->config_stream, now_ms);
	if (now_ms >= e->hello_due_ms) {
		e->hello_due_ms = now_ms + ENTRY_HELLO_MS;
		send_hellos(e);
	}
	for (r = CK_LIST_FIRST(&e->requests); r; r = next) {
		next = CK_LIST_NEXT(r, link);
		tick_request(e, r);
	}
}

static void update_owner(struct entry *e, uint64_t host,
			 const struct owned_shard *s)
{
	struct entry_owner *o = index_get(&e->owners, s->shard);

	if (!o) {
		o = xcalloc(1, sizeof(*o));
		o->shard = s->shard;
		index_put(&e->owners, s->shard, o);
		e->owner_list =
			xrealloc(e->owner_list,
				 (e->owner_count + 1) * sizeof(*e->owner_list));
		e->owner_list[e->owner_count++] = o;
	}
	if (s->epoch < o->epoch)
		return;
	o->host = host;
	o->epoch = s->epoch;
	o->last_heartbeat_ms = e->now_ms;
}

static void on_heartbeat(struct entry *e, const struct msg *m)
{
	const struct owned_shard *s = m->owned.items;
	size_t i;

	for (i = 0; i < m->owned.count; i++)
		update_owner(e, m->from, &s[i]);
}

static void on_answer(struct entry *e, const struct msg *m)
{
	struct entry_request *r = index_get(&e->by_corr, m->corr);
	struct entry_answer a;

	/* Ignore an answer to an unknown request, or for another job. */
	if (!r || r->job != m->job)
		return;
	if (m->kind == MSG_ACCEPTED) {
		if (r->wait || r->kind != MSG_SUBMIT)
			return;
		send_answer(e, r->caller, r->job, VERDICT_NONE, REASON_NONE);
		request_free(e, r);
		return;
	}
	memset(&a, 0, sizeof(a));
	a.caller = r->caller;
	a.job = r->job;
	a.attempt = m->attempt;
	a.verdict = (enum verdict)m->verdict;
	a.reason = m->reason < REASON_MAX ? (enum reason)m->reason
					  : REASON_NO_ANSWER;
	a.result = m->result;
	count_answer(e, a.verdict);
	e->sink.answer(e->sink.ctx, &a);
	request_free(e, r);
}

void entry_on_msg(struct entry *e, int64_t now_ms, const struct msg *m)
{
	e->now_ms = now_ms;
	if (m->kind == MSG_HEARTBEAT)
		on_heartbeat(e, m);
	else if (m->kind == MSG_ANSWER || m->kind == MSG_ACCEPTED)
		on_answer(e, m);
}

void entry_on_read(struct entry *e, int64_t now_ms, uint64_t token,
		   const struct log_read *r)
{
	e->now_ms = now_ms;
	stream_on_read(&e->config_stream, now_ms, TOKEN_SERIAL(token), r);
}

void entry_on_hosts(struct entry *e, int64_t now_ms,
		    const struct listed_host *hosts, size_t count)
{
	e->now_ms = now_ms;
	e->hosts = xrealloc(e->hosts, count * sizeof(*hosts));
	if (count)
		memcpy(e->hosts, hosts, count * sizeof(*hosts));
	e->host_count = count;
}

void entry_write_status(const struct entry *e, struct buf *out)
{
	size_t i, known = 0;

	for (i = 0; i < e->owner_count; i++)
		known += find_live_owner(e, e->owner_list[i]->shard) != NULL;
	buf_addf(out,
		 "{\"role\":\"entryd\",\"name\":\"%s\",\"zone\":\"%s\","
		 "\"config\":%" PRIu64 ",\"documents\":%zu,\"owners\":%zu,"
		 "\"open\":%zu,\"ready\":%s}\n",
		 e->name, e->zone, e->config.offset, e->config.count, known,
		 e->open_count, entry_is_ready(e) ? "true" : "false");
}
