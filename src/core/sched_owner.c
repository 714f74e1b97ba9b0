#include "core/sched_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Time in milliseconds after which a claim or release that was not read back
 * forces another read.
 */
#define READ_BACK_TIMEOUT_MS 10000
#define OWNER_CANDIDATES_MAX 256

static const struct stream_ops shard_stream_ops = {sched_load_shard_stream,
						   sched_shard_caught_up};

static void hand_over_shard(struct sched *s, struct shard *sh);

struct shard *sched_shard(const struct sched *s, uint64_t id)
{
	return index_get(&s->shard_by_id, id);
}

void sched_set_state(struct sched *s, struct shard *sh, enum shard_state state)
{
	if ((sh->state == SHARD_OWNED) != (state == SHARD_OWNED)) {
		/* Announce the change of ownership to all zones at once. */
		s->heartbeat_due_ms = s->now_ms;
		s->cross_zone_due_ms = s->now_ms;
		s->full_heartbeat_due_ms = s->now_ms;
	}
	sh->state = state;
	sh->state_since_ms = s->now_ms;
}

static struct stream *add_stream(struct sched *s, const char *name)
{
	struct stream *st = xcalloc(1, sizeof(*st));

	s->streams = xrealloc(s->streams,
			      (s->stream_count + 1) * sizeof(*s->streams));
	stream_init(st, name, (uint32_t)s->stream_count, &s->ports,
		    &shard_stream_ops, s);
	st->writer = s->opts.incarnation;
	s->streams[s->stream_count++] = st;
	return st;
}

/* A job shard has a stream of its own; @claims is that of a rack's zone. */
static struct shard *add_shard(struct sched *s, enum shard_kind kind,
			       const char *name, const char *zone,
			       struct stream *claims)
{
	struct shard *sh = xcalloc(1, sizeof(*sh));

	sh->id = name_hash(name);
	sh->kind = kind;
	name_set(sh->name, name);
	name_set(sh->zone, zone);
	job_table_init(&sh->jobs);
	ledger_init(&sh->ledger, true);
	index_init(&sh->refused);
	sh->owns_stream = kind == SHARD_JOBS;
	sh->stream = sh->owns_stream ? add_stream(s, sh->name) : claims;
	s->shards =
		xrealloc(s->shards, (s->shard_count + 1) * sizeof(*s->shards));
	s->shards[s->shard_count++] = sh;
	index_put(&s->shard_by_id, sh->id, sh);
	return sh;
}

static void add_region(struct sched *s, const struct document *d)
{
	char name[NAME_SIZE * 2];
	uint32_t i;

	for (i = 0; i < d->region.job_shards; i++) {
		snprintf(name, sizeof(name), "jobs-%s-%" PRIu32, d->name, i);
		name[NAME_SIZE - 1] = '\0';
		if (!sched_shard(s, name_hash(name)))
			add_shard(s, SHARD_JOBS, name,
				  d->region.zones[i % d->region.zone_count],
				  NULL);
	}
}

static struct rack_zone *find_or_add_zone(struct sched *s, const char *name)
{
	char claims[NAME_SIZE * 2];
	struct rack_zone *z;
	size_t i;

	for (i = 0; i < s->zone_count; i++)
		if (!strcmp(s->zones[i].name, name))
			return &s->zones[i];
	if (s->zone_count == DOCUMENT_ZONES_MAX)
		return NULL;
	z = &s->zones[s->zone_count++];
	name_set(z->name, name);
	snprintf(claims, sizeof(claims), "claims-%s", name);
	claims[NAME_SIZE - 1] = '\0';
	z->claims = strcmp(name, s->opts.zone) ? add_stream(s, claims)
					       : &s->claims_stream;
	return z;
}

static void add_zone(struct sched *s, const struct document *d)
{
	struct rack_zone *z = find_or_add_zone(s, d->name);
	char name[NAME_SIZE * 3];
	size_t i;

	for (i = 0; z && i < d->zone.rack_count; i++) {
		snprintf(name, sizeof(name), "rack-%s-%s", d->name,
			 d->zone.racks[i]);
		name[NAME_SIZE - 1] = '\0';
		if (sched_shard(s, name_hash(name)))
			continue;
		z->racks =
			xrealloc(z->racks, (z->count + 1) * sizeof(*z->racks));
		z->racks[z->count++] =
			add_shard(s, SHARD_RACK, name, d->name, z->claims);
	}
}

/*
 * Returns the region of this schedd, or "" while the document of its zone is
 * not known. A schedd owns only shards of its own region.
 */
static const char *home_region(const struct sched *s)
{
	const struct document *d =
		config_get(&s->config, DOCUMENT_ZONE, s->opts.zone);

	return d ? d->zone.region : "";
}

bool sched_zone_is_in_region(const struct sched *s, const char *zone)
{
	const struct document *d = config_get(&s->config, DOCUMENT_ZONE, zone);

	return d && !strcmp(d->zone.region, home_region(s));
}

static void replay_claims(struct sched *s, struct stream *claims)
{
	claims->next = 0;
	claims->caught_up = false;
	stream_schedule_read(claims, s->now_ms);
}

void sched_sync_shards(struct sched *s)
{
	size_t i;

	for (i = 0; i < s->config.count; i++) {
		const struct document *d = s->config.docs[i];

		if (d->kind == DOCUMENT_REGION &&
		    !strcmp(d->name, home_region(s)))
			add_region(s, d);
		else if (d->kind == DOCUMENT_ZONE &&
			 !strcmp(d->zone.region, home_region(s)))
			add_zone(s, d);
	}
	/* Replay the claims: those of racks not known before were skipped. */
	replay_claims(s, &s->claims_stream);
	for (i = 0; i < s->zone_count; i++)
		if (s->zones[i].failed_over)
			replay_claims(s, s->zones[i].claims);
}

/* Assignment */

struct owner_candidates {
	uint64_t ids[OWNER_CANDIDATES_MAX];
	size_t counts[OWNER_CANDIDATES_MAX];
	size_t count;
};

static void add_owner_candidate(struct owner_candidates *c, uint64_t id)
{
	size_t i;

	if (c->count == OWNER_CANDIDATES_MAX)
		return;
	for (i = c->count; i > 0 && c->ids[i - 1] > id; i--)
		c->ids[i] = c->ids[i - 1];
	c->ids[i] = id;
	c->counts[c->count] = 0;
	c->count++;
}

/*
 * Collects the live schedds that are not draining, of one zone, or of all
 * zones when @zone is NULL.
 */
static void find_owner_candidates(const struct sched *s, const char *zone,
				  struct owner_candidates *c)
{
	size_t i;

	c->count = 0;
	if (!s->draining && (!zone || !strcmp(zone, s->opts.zone)))
		add_owner_candidate(c, s->host_id);
	for (i = 0; i < s->peer_count; i++) {
		const struct peer *p = s->peers[i];

		if (!p->draining && sched_peer_is_alive(s, p) &&
		    (!zone || !strcmp(zone, p->zone)))
			add_owner_candidate(c, p->id);
	}
}

/*
 * Picks the owner of a shard by rendezvous hashing among the candidates that
 * have fewer than @cap shards.
 */
static uint64_t pick_owner(struct owner_candidates *c, uint64_t shard,
			   size_t cap)
{
	uint64_t best_weight = 0;
	size_t i, best = 0;

	for (i = 0; i < c->count; i++) {
		uint64_t weight = attempt_id(c->ids[i] ^ shard, 1);

		if (c->counts[i] >= cap || weight <= best_weight)
			continue;
		best_weight = weight;
		best = i;
	}
	c->counts[best]++;
	return c->ids[best];
}

static int compare_shard_ids(const void *a, const void *b)
{
	uint64_t x = (*(struct shard *const *)a)->id;
	uint64_t y = (*(struct shard *const *)b)->id;

	return x < y ? -1 : x > y;
}

void sched_start_claim(struct sched *s, struct shard *sh)
{
	struct record r = {0};

	if (sh->kind == SHARD_JOBS)
		sh->stream->epoch = sh->claim.epoch;
	r.kind = RECORD_CLAIM;
	r.shard = sh->id;
	r.epoch = sh->claim.epoch;
	r.owner = s->opts.incarnation;
	r.at_ms = sched_wall_ms(s);
	name_set(r.name, s->opts.name);
	stream_add_record(sh->stream, s->now_ms, &r);
	sh->stream->urgent = true;
	sched_set_state(s, sh, SHARD_CLAIMING);
}

static void start_release(struct sched *s, struct shard *sh)
{
	struct record r = {0};

	r.kind = RECORD_RELEASE;
	r.shard = sh->id;
	r.epoch = sh->claim.epoch;
	r.owner = s->opts.incarnation;
	r.at_ms = sched_wall_ms(s);
	stream_add_record(sh->stream, s->now_ms, &r);
	sh->stream->urgent = true;
	sched_set_state(s, sh, SHARD_RELEASING);
	sched_count(s, COUNTER_RELEASES, 1);
}

bool sched_owner_is_alive(const struct sched *s, const struct shard *sh)
{
	const struct peer *p;

	if (!sh->claim.owner || sh->claim.owner == s->opts.incarnation)
		return false;
	p = sched_peer_of_owner(s, sh->claim.owner);
	if (!p || !sched_peer_is_alive(s, p))
		return false;
	/* Give a live owner time to list the shard in a full heartbeat. */
	return sh->hint_host == p->id ||
	       s->now_ms - sh->state_since_ms <
		       SCHED_FULL_HEARTBEAT_MS + SCHED_HEARTBEAT_MS;
}

static void start_takeover(struct sched *s, struct shard *sh)
{
	sh->reassigned_ms = 0;
	if (sh->state != SHARD_IDLE ||
	    (s->now_ms < sh->claim_backoff_until_ms &&
	     sched_has_protection(s, PROTECT_CLAIM_BACKOFF)))
		return;
	if (sched_log_freshness(s) != FRESHNESS_CURRENT)
		return;
	if (sh->hint_host && sched_shard_host(s, sh))
		return;
	if (sh->kind == SHARD_JOBS) {
		sched_set_state(s, sh, SHARD_FOLLOWING);
		sh->stream->poll_ms = SCHED_POLL_MS;
		stream_schedule_read(sh->stream, s->now_ms);
	} else if (sh->stream->caught_up && !sched_owner_is_alive(s, sh)) {
		sched_start_claim(s, sh);
	}
}

static void hand_over_shard(struct sched *s, struct shard *sh)
{
	if (sh->state == SHARD_FOLLOWING) {
		sched_step_down(s, sh, "assigned elsewhere");
		return;
	}
	if (sh->state != SHARD_OWNED)
		return;
	if (!sh->reassigned_ms)
		sh->reassigned_ms = s->now_ms;
	if (s->draining || s->now_ms - sh->reassigned_ms >= SCHED_REBALANCE_MS)
		start_release(s, sh);
}

static void assign_shards(struct sched *s, struct shard **set, size_t count,
			  const char *zone)
{
	struct owner_candidates c;
	size_t i, cap;

	if (!count)
		return;
	find_owner_candidates(s, zone, &c);
	if (!c.count) {
		for (i = 0; s->draining && i < count; i++)
			hand_over_shard(s, set[i]);
		return;
	}
	qsort(set, count, sizeof(struct shard *), compare_shard_ids);
	cap = (count + c.count - 1) / c.count;
	for (i = 0; i < count; i++) {
		if (pick_owner(&c, set[i]->id, cap) == s->host_id)
			start_takeover(s, set[i]);
		else
			hand_over_shard(s, set[i]);
	}
}

/*
 * True when no schedd of a zone has been in contact for
 * SCHED_ZONE_FAILOVER_MS. Schedds of other zones then take over its shards.
 */
static bool zone_is_unavailable(const struct sched *s, const char *zone)
{
	/* Contacts missed while this process was paused do not count. */
	int64_t newest =
		s->resumed_ms > s->started_ms ? s->resumed_ms : s->started_ms;
	size_t i;

	if (!strcmp(zone, s->opts.zone))
		return false;
	for (i = 0; i < s->peer_count; i++) {
		const struct peer *p = s->peers[i];

		if (!p->draining && !strcmp(p->zone, zone) &&
		    p->last_contact_ms > newest)
			newest = p->last_contact_ms;
	}
	return s->now_ms - newest >= SCHED_ZONE_FAILOVER_MS;
}

/*
 * Without the failover nobody would learn how the tasks on the racks of a zone
 * without schedds ended, and their jobs would never end.
 */
static void begin_zone_failover(struct sched *s, struct rack_zone *z)
{
	size_t i;

	if (z->failed_over)
		return;
	z->failed_over = true;
	z->claims->poll_ms = SCHED_POLL_MS;
	/* Claims that were missed since the last failover are read again. */
	for (i = 0; i < z->count; i++)
		memset(&z->racks[i]->claim, 0, sizeof(z->racks[i]->claim));
	replay_claims(s, z->claims);
	sched_add_listed_workers(s);
	sched_event(s, "zone_failover", 0, 0, "%s: no live schedd", z->name);
}

static void end_zone_failover(struct sched *s, struct rack_zone *z)
{
	size_t i;

	if (!z->failed_over)
		return;
	for (i = 0; i < z->count; i++) {
		hand_over_shard(s, z->racks[i]);
		if (z->racks[i]->state != SHARD_IDLE)
			return;
	}
	z->failed_over = false;
	z->claims->poll_ms = 0;
	z->claims->read_due_ms = 0;
	sched_event(s, "zone_failover_end", 0, 0, "%s", z->name);
}

static void assign_racks_of_other_zones(struct sched *s)
{
	size_t i, k;

	for (i = 0; i < s->zone_count; i++) {
		struct rack_zone *z = &s->zones[i];

		if (!strcmp(z->name, s->opts.zone))
			continue;
		if (!zone_is_unavailable(s, z->name)) {
			end_zone_failover(s, z);
			continue;
		}
		begin_zone_failover(s, z);
		for (k = 0; k < z->count; k++)
			assign_shards(s, &z->racks[k], 1, NULL);
	}
}

static void check_read_back(struct sched *s, struct shard *sh)
{
	bool is_pending =
		sh->state == SHARD_CLAIMING || sh->state == SHARD_RELEASING;

	if (!is_pending ||
	    s->now_ms - sh->state_since_ms < READ_BACK_TIMEOUT_MS)
		return;
	stream_schedule_read(sh->stream, s->now_ms);
	sh->state_since_ms = s->now_ms;
}

static void mark_shard(struct sched *s, struct shard *sh)
{
	struct record r = {0};

	if (sh->state != SHARD_OWNED ||
	    s->now_ms - sh->marked_ms < s->opts.refresh_ms ||
	    sh->stream->status != LOG_OK)
		return;
	sh->marked_ms = s->now_ms;
	r.kind = RECORD_MARK;
	name_set(r.name, s->opts.name);
	r.shard = sh->id;
	r.epoch = sh->claim.epoch;
	r.owner = s->opts.incarnation;
	stream_add_record(sh->stream, s->now_ms, &r);
}

void sched_owner_tick(struct sched *s)
{
	struct shard **set = xcalloc(s->shard_count, sizeof(*set));
	size_t i, n;

	if (!s->config_stream.caught_up || !s->claims_stream.caught_up ||
	    s->now_ms - s->started_ms < SCHED_STARTUP_DELAY_MS) {
		free(set);
		return;
	}
	for (i = 0, n = 0; i < s->shard_count; i++)
		if (s->shards[i]->kind == SHARD_RACK &&
		    !strcmp(s->shards[i]->zone, s->opts.zone))
			set[n++] = s->shards[i];
	assign_shards(s, set, n, s->opts.zone);
	for (i = 0, n = 0; i < s->shard_count; i++)
		if (s->shards[i]->kind == SHARD_JOBS &&
		    !strcmp(s->shards[i]->zone, s->opts.zone))
			set[n++] = s->shards[i];
	assign_shards(s, set, n, s->opts.zone);
	for (i = 0; i < s->shard_count; i++) {
		struct shard *sh = s->shards[i];

		check_read_back(s, sh);
		mark_shard(s, sh);
		if (sh->kind != SHARD_JOBS || !strcmp(sh->zone, s->opts.zone))
			continue;
		if (zone_is_unavailable(s, sh->zone))
			assign_shards(s, &sh, 1, NULL);
		else
			hand_over_shard(s, sh);
	}
	assign_racks_of_other_zones(s);
	free(set);
}
