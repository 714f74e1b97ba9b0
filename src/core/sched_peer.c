#include "core/sched_internal.h"

#include <stdlib.h>

bool sched_peer_is_alive(const struct sched *s, const struct peer *p)
{
	int64_t timeout_ms = strcmp(p->zone, s->opts.zone)
				     ? SCHED_CROSS_ZONE_MS * 3
				     : SCHED_PEER_TIMEOUT_MS;

	return s->now_ms - p->last_contact_ms <= timeout_ms;
}

static struct peer *add_peer(struct sched *s, const struct msg *m)
{
	struct peer *p = index_get(&s->peer_by_id, m->from);

	if (!p) {
		p = xcalloc(1, sizeof(*p));
		p->id = m->from;
		s->peers = xrealloc(s->peers,
				    (s->peer_count + 1) * sizeof(*s->peers));
		s->peers[s->peer_count++] = p;
		index_put(&s->peer_by_id, p->id, p);
		p->last_contact_ms = INT64_MIN / 2;
	}
	if (!sched_peer_is_alive(s, p))
		p->alive_since_ms = s->now_ms;
	name_set(p->name, m->name);
	name_set(p->zone, m->zone);
	p->last_contact_ms = s->now_ms;
	return p;
}

struct peer *sched_peer_of_owner(const struct sched *s, uint64_t owner)
{
	size_t i;

	for (i = 0; i < s->peer_count; i++)
		if (s->peers[i]->incarnation == owner)
			return s->peers[i];
	return NULL;
}

uint64_t sched_shard_host(const struct sched *s, const struct shard *sh)
{
	const struct peer *p;

	if (sh->state == SHARD_OWNED)
		return s->host_id;
	p = sh->hint_host ? index_get(&s->peer_by_id, sh->hint_host) : NULL;
	return p && sched_peer_is_alive(s, p) ? sh->hint_host : 0;
}

static size_t fill_owned(const struct sched *s, struct owned_shard *out,
			 bool racks)
{
	size_t i, n = 0;

	for (i = 0; i < s->shard_count; i++) {
		const struct shard *sh = s->shards[i];

		if (sh->state != SHARD_OWNED ||
		    (sh->kind == SHARD_RACK && !racks))
			continue;
		memset(&out[n], 0, sizeof(out[n]));
		out[n].shard = sh->id;
		out[n].epoch = sh->claim.epoch;
		if (sh->kind == SHARD_RACK)
			sched_rack_free_capacity(s, sh, &out[n]);
		n++;
	}
	return n;
}

static void send_heartbeat(struct sched *s, uint64_t to, bool racks, bool full)
{
	struct owned_shard *owned =
		xcalloc(s->shard_count, sizeof(struct owned_shard));
	struct msg m = {0};

	m.kind = MSG_HEARTBEAT;
	m.boot = s->opts.incarnation;
	m.draining = s->draining;
	m.current = sched_log_freshness(s) == FRESHNESS_CURRENT;
	m.config = s->config.offset;
	name_set(m.name, s->opts.name);
	name_set(m.zone, s->opts.zone);
	m.full = full;
	m.owned.items = owned;
	m.owned.count = full ? fill_owned(s, owned, racks) : 0;
	sched_send(s, to, &m);
	free(owned);
}

void sched_send_heartbeats(struct sched *s)
{
	bool cross_zone = s->now_ms >= s->cross_zone_due_ms;
	bool full = s->now_ms >= s->full_heartbeat_due_ms;
	size_t i;

	if (cross_zone)
		s->cross_zone_due_ms = s->now_ms + SCHED_CROSS_ZONE_MS;
	if (full)
		s->full_heartbeat_due_ms = s->now_ms + SCHED_FULL_HEARTBEAT_MS;
	for (i = 0; i < s->host_count; i++) {
		const struct listed_host *h = &s->hosts[i];

		if (h->role != HOST_SCHEDD || h->id == s->host_id)
			continue;
		if (!strcmp(h->zone, s->opts.zone) ||
		    (cross_zone && sched_zone_is_in_region(s, h->zone)))
			send_heartbeat(s, h->id, true, full || cross_zone);
	}
}

/* Answers an entry host. The host is not stored; it asks again as needed. */
void sched_on_hello(struct sched *s, const struct msg *m)
{
	send_heartbeat(s, m->from, false, true);
}

static void update_owner_hint(struct sched *s, const struct msg *m,
			      const struct owned_shard *o)
{
	struct shard *sh = sched_shard(s, o->shard);

	if (!sh)
		return;
	if (sh->state == SHARD_OWNED && o->epoch > sh->claim.epoch) {
		stream_schedule_read(sh->stream, s->now_ms);
		/*
		 * An owner that cannot read the log would not learn of the
		 * claim from there, and would go on renewing leases.
		 */
		if (sh->kind == SHARD_RACK)
			sched_step_down(s, sh, "a peer owns it");
	}
	if (sh->hint_host && sh->hint_host != m->from &&
	    o->epoch < sh->hint_epoch)
		return;
	sh->hint_host = m->from;
	sh->hint_epoch = o->epoch;
	sh->hint_ms = s->now_ms;
	if (sh->kind == SHARD_RACK) {
		sh->free_capacity.cpu_milli = o->cpu_milli;
		sh->free_capacity.mem_mb = o->mem_mb;
		sh->free_capacity.accel = o->accel;
		sh->free_capacity.slots = o->slots;
		sh->free_capacity.conns = UINT32_MAX;
	}
}

void sched_on_heartbeat(struct sched *s, const struct msg *m)
{
	const struct owned_shard *o = m->owned.items;
	struct peer *p = add_peer(s, m);
	size_t i;

	p->incarnation = m->boot;
	p->draining = m->draining;
	for (i = 0; i < m->owned.count; i++)
		update_owner_hint(s, m, &o[i]);
	if (!m->full)
		return;
	/* The list is complete: drop hints for shards that are not in it. */
	for (i = 0; i < s->shard_count; i++) {
		struct shard *sh = s->shards[i];

		if (sh->hint_host == m->from && sh->hint_ms != s->now_ms)
			sh->hint_host = 0;
	}
}
