#include "core/sched_internal.h"

/*
 * Refused reservations after which a worker on which the job failed is allowed
 * again.
 */
#define AVOID_TRIES 20

void sched_queue_job(struct sched *s, struct job *j, int64_t delay_ms)
{
	j->phase = JOB_QUEUED;
	j->due_ms = s->now_ms + delay_ms;
}

static void refresh_owned_capacity(const struct sched *s, struct shard *sh)
{
	struct owned_shard o = {0};

	if (sh->state != SHARD_OWNED)
		return;
	sched_rack_free_capacity(s, sh, &o);
	sh->free_capacity.cpu_milli = o.cpu_milli;
	sh->free_capacity.mem_mb = o.mem_mb;
	sh->free_capacity.accel = o.accel;
	sh->free_capacity.slots = o.slots;
	sh->free_capacity.conns = UINT32_MAX;
}

/**
 * struct rack_range - the racks on which a service may run, zone by zone
 * @count: number of racks in all @zones
 */
struct rack_range {
	const struct rack_zone *zones[DOCUMENT_ZONES_MAX];
	size_t zone_count;
	size_t count;
};

static void find_rack_range(const struct sched *s,
			    const struct service_doc *doc, struct rack_range *r)
{
	size_t i, k;

	r->zone_count = 0;
	r->count = 0;
	for (i = 0; i < s->zone_count; i++) {
		const struct rack_zone *z = &s->zones[i];

		for (k = 0; k < doc->zone_count; k++)
			if (!strcmp(doc->zones[k], z->name))
				break;
		if (k == doc->zone_count ||
		    config_is_zone_out(&s->config, z->name))
			continue;
		r->zones[r->zone_count++] = z;
		r->count += z->count;
	}
}

static struct shard *rack_at(const struct rack_range *r, size_t at)
{
	size_t i;

	for (i = 0; i < r->zone_count; i++) {
		if (at < r->zones[i]->count)
			return r->zones[i]->racks[at];
		at -= r->zones[i]->count;
	}
	return NULL;
}

static bool rack_is_eligible(struct sched *s, struct shard *sh,
			     const struct service_doc *doc, bool check_capacity)
{
	if (!sched_shard_host(s, sh))
		return false;
	refresh_owned_capacity(s, sh);
	return !check_capacity || resources_fit(&doc->res, &sh->free_capacity);
}

static void fill_candidate(const struct sched *s, const struct shard *sh,
			   const struct service_doc *doc, bool check_capacity,
			   struct candidate *c)
{
	memset(c, 0, sizeof(*c));
	c->free = check_capacity ? sh->free_capacity : doc->res;
	c->capacity = c->free;
	/*
	 * Small costs prefer the racks of this schedd, which need no message
	 * between processes, and then the other racks of its zone.
	 */
	c->interference = sh->state == SHARD_OWNED         ? 0.0
			  : strcmp(sh->zone, s->opts.zone) ? 0.02
							   : 0.01;
}

/*
 * Picks the best of a random sample of racks. If none of the sample fits,
 * returns the first rack that fits, starting at a random one. Returns NULL when
 * no rack fits.
 */
static struct shard *pick_rack(struct sched *s, const struct service_doc *doc,
			       uint64_t excluded, bool check_capacity)
{
	struct candidate c[SCHED_RACK_SAMPLE];
	struct shard *chosen[SCHED_RACK_SAMPLE], *sh;
	struct rack_range range;
	size_t i, n = 0, from;
	int best;

	find_rack_range(s, doc, &range);
	for (i = 0;
	     i < SCHED_RACK_TRIES && range.count && n < SCHED_RACK_SAMPLE;
	     i++) {
		sh = rack_at(&range, rng_below(&s->rng, range.count));
		if (!sh || sh->id == excluded ||
		    !rack_is_eligible(s, sh, doc, check_capacity))
			continue;
		fill_candidate(s, sh, doc, check_capacity, &c[n]);
		chosen[n++] = sh;
	}
	best = placement_pick(&placement_best, c, n, &doc->res, &s->rng);
	if (best >= 0)
		return chosen[best];
	from = rng_below(&s->rng, range.count);
	for (i = 0; i < range.count; i++) {
		sh = rack_at(&range, (from + i) % range.count);
		if (sh && sh->id != excluded &&
		    rack_is_eligible(s, sh, doc, check_capacity))
			return sh;
	}
	return NULL;
}

static void subtract_capacity(struct shard *sh, const struct resources *r)
{
	sh->free_capacity.cpu_milli -=
		r->cpu_milli < sh->free_capacity.cpu_milli
			? r->cpu_milli
			: sh->free_capacity.cpu_milli;
	sh->free_capacity.mem_mb -= r->mem_mb < sh->free_capacity.mem_mb
					    ? r->mem_mb
					    : sh->free_capacity.mem_mb;
	sh->free_capacity.slots -= r->slots < sh->free_capacity.slots
					   ? r->slots
					   : sh->free_capacity.slots;
}

static void send_reserve(struct sched *s, const struct shard *sh,
			 struct shard *rack, struct job *j,
			 const struct service_doc *doc, uint32_t kind)
{
	struct msg m = {0};

	m.kind = kind;
	m.corr = j->corr;
	m.rack = rack->id;
	m.shard = sh->id;
	m.job = j->id;
	m.attempt = j->attempt + 1;
	m.worker = j->avoid_worker;
	m.urgency = doc->urgency;
	m.res = doc->res;
	name_set(m.service, j->service);
	sched_send(s, sched_shard_host(s, rack), &m);
}

bool sched_log_is_writable(const struct shard *sh)
{
	return sh->stream->status == LOG_OK;
}

void sched_place_job(struct sched *s, struct shard *sh, struct job *j)
{
	const struct service_doc *doc = sched_service(s, j->service);
	struct shard *rack;

	j->due_ms = s->now_ms + SCHED_PLACE_RETRY_MS;
	if (!doc || !sched_log_is_writable(sh))
		return;
	rack = pick_rack(s, doc, j->last_full_rack, true);
	j->last_full_rack = 0;
	if (!rack) {
		sched_put_accept(s, sh, j);
		if (doc->displace_count) {
			rack = pick_rack(s, doc, 0, false);
			j->corr = ++s->corr;
			if (rack)
				send_reserve(s, sh, rack, j, doc, MSG_DISPLACE);
		}
		return;
	}
	subtract_capacity(rack, &doc->res);
	j->phase = JOB_RESERVING;
	j->corr = ++s->corr;
	j->next_rack = rack->id;
	j->due_ms = s->now_ms + SCHED_PLACE_RETRY_MS * 2;
	send_reserve(s, sh, rack, j, doc, MSG_RESERVE);
}

static void put_start(struct sched *s, struct shard *sh, struct job *j)
{
	struct record r = {0};

	r.kind = RECORD_START;
	r.job = j->id;
	r.attempt = j->attempt + 1;
	r.worker = j->next_worker;
	r.rack = j->next_rack;
	r.boot = j->next_boot;
	sched_put_record(s, sh, &r);
	j->phase = JOB_RECORDING;
	j->due_ms = 0;
}

void sched_on_reserved(struct sched *s, const struct msg *m)
{
	struct shard *rack = sched_shard(s, m->rack);
	struct shard *sh = sched_shard(s, m->shard);
	struct job *j;

	if (!sh || sh->kind != SHARD_JOBS || sh->state != SHARD_OWNED)
		return;
	j = job_table_get(&sh->jobs, m->job);
	if (!j || j->phase != JOB_RESERVING || j->corr != m->corr)
		return;
	if (m->state != TASK_NONE || j->cancelled ||
	    !sched_log_is_writable(sh)) {
		if (m->state != TASK_NONE && rack) {
			rack->free_capacity.slots = 0;
			j->last_full_rack = rack->id;
		}
		/* A worker on which the job failed is better than none. */
		if (j->tries >= AVOID_TRIES)
			j->avoid_worker = 0;
		sched_put_accept(s, sh, j);
		sched_queue_job(s, j,
				j->tries++ < 3 ? 0 : SCHED_PLACE_RETRY_MS);
		return;
	}
	j->tries = 0;
	j->next_worker = m->worker;
	j->next_boot = m->boot;
	sched_put_accept(s, sh, j);
	put_start(s, sh, j);
	if (!sched_has_protection(s, PROTECT_INTENT)) {
		j->attempt++;
		j->worker = j->next_worker;
		j->rack = j->next_rack;
		j->boot = j->next_boot;
		j->attempt_open = true;
		j->phase = JOB_STARTING;
		sched_send_start(s, sh, j);
	}
}
