#include "host/owner.h"

#include <inttypes.h>

#include "base/logger.h"

#define PRODUCER "cell"
/* Appends of one owner are at least this far apart: ends that come together
 * share one. */
#define COMMIT_PERIOD_MS 15
#define APPEND_RETRY_MS 60
#define IDLE_TICK_MS 50
/* While it owns, a host reads new jobs as they come; else it lags a little. */
#define OWNER_GAP_MS 5
#define OTHER_GAP_MS 200
/* Workers announce themselves about once a second; drains bind in two. */
#define WORKERS_PERIOD_MS 400

static void workers_begin(void *ctx)
{
	struct owner *o = ctx;

	index_finish(&o->listed_workers);
	index_init(&o->listed_workers);
}

static void workers_apply(void *ctx, const struct store_record *r)
{
	struct owner *o = ctx;
	struct worker_entry e;
	char id[NAME_SIZE];

	if (!r->key.len || r->key.len >= NAME_SIZE)
		return;
	memcpy(id, r->key.data, r->key.len);
	id[r->key.len] = '\0';
	if (!o->cell)
		return;
	if (!r->value.len) {
		cell_worker_gone(o->cell, id);
		return;
	}
	if (o->parse_worker(r->key, r->value, &e)) {
		log_line(LOG_WARN, "worker's entry not usable",
			 "worker=%s bytes=%zu", id, r->value.len);
		return;
	}
	index_put(&o->listed_workers, name_hash(id), o);
	cell_worker_entry(o->cell, &e);
}

static void workers_end(void *ctx)
{
	struct owner *o = ctx;

	if (o->cell)
		cell_workers_keep(o->cell, &o->listed_workers);
}

static const struct follower_ops worker_follower_ops = {workers_begin,
							workers_apply,
							workers_end};

void owner_init(struct owner *o)
{
	buf_init(&o->batch);
	index_init(&o->listed_workers);
	follower_init(&o->workers, o->store, o->port, o->worker_topic, 0,
		      &worker_follower_ops, o);
	o->workers.gap_ms = WORKERS_PERIOD_MS;
	o->jobs->gap_ms = OTHER_GAP_MS;
}

void owner_finish(struct owner *o)
{
	owner_end(o, "finish");
	buf_finish(&o->batch);
	index_finish(&o->listed_workers);
	follower_finish(&o->workers);
}

static void append(struct owner *o, store_done done)
{
	char producer[NAME_SIZE];
	struct store_append a = {0};

	snprintf(producer, sizeof(producer), PRODUCER "-%u", o->part);
	a.topic = TOPIC_JOBS;
	a.part = o->part;
	a.records.data = o->batch.data;
	a.records.len = o->batch.len;
	a.producer = producer;
	a.epoch = o->epoch;
	a.seq = o->seq;
	o->appending = true;
	o->appends++;
	o->store->append(o->port, &a, done, o);
}

static void on_fence(void *ctx, const struct store_reply *r)
{
	struct owner *o = ctx;

	o->appending = false;
	if (o->phase != OWNER_FENCING)
		return;
	if (r->status == STORE_OK) {
		o->fence_end = r->end;
		o->phase = OWNER_CATCHING;
		o->seq = 1;
		follower_probe(o->jobs);
	} else if (r->status == STORE_FENCED) {
		owner_end(o, "fenced by a higher epoch");
	} else {
		o->append_due_ms = o->now_ms + APPEND_RETRY_MS;
	}
}

static void on_batch(void *ctx, const struct store_reply *r)
{
	struct owner *o = ctx;

	o->appending = false;
	if (o->phase != OWNER_ACTIVE)
		return;
	o->append_due_ms = o->now_ms + COMMIT_PERIOD_MS;
	switch (r->status) {
	case STORE_OK:
		if (o->attempt)
			log_line(LOG_INFO, "batch stored after retries",
				 "seq=%" PRIu64 " attempts=%u", o->seq,
				 o->attempt + 1);
		o->attempt = 0;
		o->seq++;
		buf_clear(&o->batch);
		cell_batch_stored(o->cell);
		return;
	case STORE_FENCED:
		owner_end(o, "fenced by a higher epoch");
		return;
	case STORE_BAD_SEQ:
		log_line(LOG_WARN, "number of the batch corrected",
			 "seq=%" PRIu64 " expected=%" PRIu64, o->seq, r->seq);
		o->seq = r->seq;
		return;
	case STORE_REFUSED:
	case STORE_UNKNOWN:
	case STORE_TRIMMED:
		break;
	}
	o->append_failures++;
	if (!o->attempt++)
		log_line(LOG_WARN, "batch not stored",
			 "seq=%" PRIu64 " bytes=%zu status=%d", o->seq,
			 o->batch.len, (int)r->status);
	o->append_due_ms = o->now_ms + APPEND_RETRY_MS;
}

void owner_end(struct owner *o, const char *reason)
{
	if (o->phase == OWNER_IDLE)
		return;
	log_line(LOG_INFO, "cell given up",
		 "part=%u epoch=%" PRIu64 " reason=\"%s\"", o->part, o->epoch,
		 reason);
	if (o->cell)
		cell_stop(o->cell);
	o->cell = NULL;
	o->lost_epoch = o->epoch;
	o->released_ms = 0;
	o->phase = OWNER_IDLE;
	o->fenced = false;
	o->attempt = 0;
	buf_clear(&o->batch);
	follower_stop(&o->workers);
	o->jobs->gap_ms = OTHER_GAP_MS;
}

void owner_release(struct owner *o, const char *reason)
{
	if (o->phase != OWNER_ACTIVE) {
		owner_end(o, reason);
		return;
	}
	if (o->released_ms)
		return;
	log_line(LOG_INFO, "cell handed over",
		 "part=%u epoch=%" PRIu64 " reason=\"%s\"", o->part, o->epoch,
		 reason);
	o->released_ms = o->now_ms;
}

static void begin(struct owner *o, uint64_t generation)
{
	o->epoch = generation;
	o->phase = OWNER_FENCING;
	o->began_ms = o->now_ms;
	o->append_due_ms = o->now_ms;
	o->seq = 0;
	o->jobs->gap_ms = OWNER_GAP_MS;
	buf_clear(&o->batch);
	log_line(LOG_INFO, "cell dealt to this host", "part=%u epoch=%" PRIu64,
		 o->part, generation);
}

static void activate(struct owner *o, int64_t wall_ms)
{
	struct cell_counts n;

	o->cell = cell_new(&o->options, o->epoch, o->table, o->cell_ops, o->ctx,
			   o->worker_ops, o->worker_port, o->now_ms, wall_ms);
	o->phase = OWNER_ACTIVE;
	follower_start(&o->workers, o->now_ms);
	cell_count(o->cell, &n);
	log_line(LOG_INFO, "cell taken over",
		 "part=%u epoch=%" PRIu64 " jobs=%u known_workers=%u "
		 "after_ms=%lld",
		 o->part, o->epoch, n.jobs, n.workers,
		 (long long)(o->now_ms - o->began_ms));
}

static void commit(struct owner *o)
{
	if (o->appending || o->now_ms < o->append_due_ms)
		return;
	if (!o->batch.len && !cell_take_batch(o->cell, &o->batch))
		return;
	append(o, on_batch);
}

static int64_t run(struct owner *o, const struct member *m, int64_t wall_ms)
{
	int64_t wait;

	cell_set_authority(o->cell,
			   o->released_ms ? o->released_ms : m->until_ms);
	wait = cell_tick(o->cell, o->now_ms, wall_ms);
	commit(o);
	follower_tick(&o->workers, o->now_ms);
	return wait;
}

int64_t owner_tick(struct owner *o, const struct member *m, int64_t now_ms,
		   int64_t wall_ms)
{
	bool held = m->held >> o->part & 1;

	o->now_ms = now_ms;
	if (o->fenced)
		owner_end(o, "fenced by a worker");
	if (o->released_ms &&
	    (held || now_ms - o->released_ms > o->options.renew_after_ms))
		owner_end(o, held ? "dealt back" : "handed over");
	if (!held)
		owner_release(o, "dealt to another host");
	else if (o->phase == OWNER_IDLE && m->generation > o->lost_epoch &&
		 now_ms < m->until_ms && o->jobs->loaded)
		begin(o, m->generation);
	if (o->phase == OWNER_FENCING && !o->appending &&
	    now_ms >= o->append_due_ms)
		append(o, on_fence);
	if (o->phase == OWNER_CATCHING) {
		if (o->jobs->next >= o->fence_end)
			activate(o, wall_ms);
		else
			follower_probe(o->jobs);
	}
	return o->phase == OWNER_ACTIVE ? run(o, m, wall_ms) : IDLE_TICK_MS;
}
