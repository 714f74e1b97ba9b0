#include "host/owner.h"

#include <inttypes.h>

#include "base/logger.h"

#define PRODUCER "cell"
/* Pause between the reply to an append and the next append, so that run ends
 * that arrive together share one append. */
#define COMMIT_PERIOD_MS 15
#define APPEND_RETRY_MS 60
/* Records of other hosts whose appends the store has refused for this long are
 * refused. */
#define PEER_REFUSED_MS 500
/* A store that gives no answer for this long is dark: records that wait for the
 * next batch are refused, as they were never sent. */
#define STORE_DARK_MS 2000
/* A cell is retained for this long after the last append that the store took;
 * an owner appends each two seconds at least. */
#define RETAIN_WITHOUT_APPEND_MS 3000
#define IDLE_TICK_MS 50
/* Share of an append that records of other hosts may take before those of the
 * cell, so that neither waits for ever for the other. */
#define PEER_SHARE_DIVISOR 2
/* Pauses between reads of the job log, by an owner and by any other host: an
 * owner reads new jobs as they arrive, other hosts may lag a little. */
#define OWNER_READ_GAP_MS 5
#define IDLE_READ_GAP_MS 200
/* Pause between reads of the worker registry: workers announce themselves about
 * once a second, and a drain must take effect within two seconds. */
#define WORKERS_READ_GAP_MS 400

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
	int err;

	if (!o->cell)
		return;
	if (!r->key.len || r->key.len >= NAME_SIZE) {
		log_line(LOG_WARN, "cannot use the key of a worker entry",
			 "offset=%" PRIu64 " key_bytes=%zu max=%d", r->offset,
			 r->key.len, NAME_SIZE - 1);
		return;
	}
	memcpy(id, r->key.data, r->key.len);
	id[r->key.len] = '\0';
	if (!r->value.len) {
		cell_worker_gone(o->cell, id);
		return;
	}
	err = o->parse_worker(r->key, r->value, &e);
	if (err) {
		log_line(LOG_WARN, "cannot parse worker entry",
			 "worker=%s offset=%" PRIu64 " bytes=%zu error=%d", id,
			 r->offset, r->value.len, err);
		return;
	}
	index_put(&o->listed_workers, name_hash(id), o);
	cell_worker_update(o->cell, &e);
}

static void workers_end(void *ctx)
{
	struct owner *o = ctx;

	if (o->cell)
		cell_workers_retain(o->cell, &o->listed_workers);
}

static const struct follower_ops worker_follower_ops = {
	.begin = workers_begin,
	.apply = workers_apply,
	.end = workers_end,
	.is_refreshed = true,
};

void owner_init(struct owner *o)
{
	buf_init(&o->batch);
	record_queue_init(&o->peer_records, o->peer_records_done, o->ctx);
	index_init(&o->listed_workers);
	follower_init(&o->worker_follower, o->store, o->port, o->worker_topic,
		      0, &worker_follower_ops, o);
	o->worker_follower.read_gap_ms = WORKERS_READ_GAP_MS;
	o->job_follower->read_gap_ms = IDLE_READ_GAP_MS;
}

void owner_finish(struct owner *o)
{
	owner_step_down(o, "finish");
	buf_finish(&o->batch);
	record_queue_finish(&o->peer_records);
	index_finish(&o->listed_workers);
	follower_finish(&o->worker_follower);
}

bool owner_add_records(struct owner *o, uint64_t from, uint64_t seq,
		       struct str records)
{
	size_t max = o->options.append_max_bytes;

	if (o->phase != OWNER_ACTIVE || o->handover_began_ms)
		return false;
	if (max && records.len > max) {
		log_line(LOG_ERROR, "records of another host exceed an append",
			 "bytes=%zu append_max=%zu", records.len, max);
		return false;
	}
	record_queue_add(&o->peer_records, from, seq, records);
	return true;
}

bool owner_withdraw_records(struct owner *o, uint64_t from, uint64_t seq)
{
	return record_queue_withdraw(&o->peer_records, from, seq);
}

static void take_peer_records(struct owner *o)
{
	size_t share = o->options.append_max_bytes / PEER_SHARE_DIVISOR;

	o->batch_peer_bytes =
		record_queue_take(&o->peer_records, share, &o->batch);
	o->batch_may_be_stored = false;
	o->batch_began_ms = o->now_ms;
}

/* Lets the jobs of other hosts be scheduled before the log is read. */
static void apply_peer_records(struct owner *o, uint64_t offset)
{
	struct str rest = {o->batch.data, o->batch_peer_bytes};
	struct store_record r;
	int err;

	while (!store_record_take(&rest, &r)) {
		err = job_view_apply(o->job_view, r.key, r.value, o->now_ms);
		if (err)
			log_line(LOG_ERROR, "cannot decode job record",
				 "offset=%" PRIu64
				 " key_bytes=%zu bytes=%zu error=%d",
				 offset, r.key.len, r.value.len, err);
		offset++;
	}
}

/*
 * The store has refused every append of the batch: the records of other hosts
 * are taken out of it, so that their callers are told in time.
 */
static void refuse_batch_peers(struct owner *o)
{
	size_t left = o->batch.len - o->batch_peer_bytes;

	if (!o->batch_peer_bytes || o->batch_may_be_stored ||
	    o->now_ms - o->batch_began_ms < PEER_REFUSED_MS)
		return;
	memmove(o->batch.data, o->batch.data + o->batch_peer_bytes, left);
	o->batch.len = left;
	o->batch_peer_bytes = 0;
	record_queue_end_batch(&o->peer_records, STORE_REFUSED);
	if (!left)
		cell_batch_stored(o->cell);
}

/* Without it, callers whose records wait behind a batch that cannot be stored
 * would be told at their deadline that they may have been accepted. */
static void refuse_waiting_peers(struct owner *o, enum store_status status)
{
	if (o->now_ms - o->batch_began_ms <
	    (status == STORE_REFUSED ? PEER_REFUSED_MS : STORE_DARK_MS))
		return;
	record_queue_refuse_waiting(&o->peer_records);
}

/* What waits for the next batch was never sent; the current batch may be stored
 * unless every append of it was refused. */
static void drop_peer_records(struct owner *o)
{
	bool may_be_stored = o->append_in_flight || o->batch_may_be_stored;

	record_queue_end_batch(&o->peer_records,
			       may_be_stored ? STORE_UNKNOWN : STORE_REFUSED);
	record_queue_refuse_waiting(&o->peer_records);
}

static void owner_append(struct owner *o, store_done done)
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
	o->append_in_flight = true;
	o->append_began_ms = o->now_ms;
	o->append_epoch = o->epoch;
	o->appends++;
	o->store->append(o->port, &a, done, o);
}

static void note_held(struct owner *o, int64_t sent_ms)
{
	if (sent_ms > o->held_ms)
		o->held_ms = sent_ms;
}

/* The store may answer a repeat as it would have answered the first append,
 * whoever has taken the cell since. */
static void note_stored(struct owner *o, int64_t sent_ms)
{
	o->stored_ms = o->unanswered_ms ? o->unanswered_ms : sent_ms;
	o->unanswered_ms = 0;
	note_held(o, o->stored_ms);
}

static void note_unanswered(struct owner *o, enum store_status status)
{
	if (status == STORE_UNKNOWN && !o->unanswered_ms)
		o->unanswered_ms = o->append_began_ms;
}

/* Under another number, the next append is no repeat. */
static void change_seq(struct owner *o, uint64_t seq)
{
	o->seq = seq;
	o->unanswered_ms = 0;
}

static void on_fence_append(void *ctx, const struct store_reply *r)
{
	struct owner *o = ctx;

	o->append_in_flight = false;
	if (o->phase != OWNER_FENCING || o->append_epoch != o->epoch)
		return;
	if (r->status == STORE_OK) {
		o->fence_offset = r->end;
		note_stored(o, r->sent_ms);
		o->phase = OWNER_CATCHING_UP;
		o->seq++;
		o->attempt = 0;
		follower_read_now(o->job_follower);
	} else if (r->status == STORE_FENCED) {
		owner_step_down(o, "fenced by a higher epoch");
	} else {
		if (!o->attempt++)
			log_line(LOG_WARN, "append of fence failed",
				 "part=%u epoch=%" PRIu64 " seq=%" PRIu64
				 " status=%d",
				 o->part, o->epoch, o->seq, (int)r->status);
		note_unanswered(o, r->status);
		/* An earlier try, whose answer was lost, has set the epoch. */
		if (r->status == STORE_BAD_SEQ)
			change_seq(o, r->seq);
		o->append_due_ms = o->now_ms + APPEND_RETRY_MS;
	}
}

static void on_batch_append(void *ctx, const struct store_reply *r)
{
	struct owner *o = ctx;

	o->append_in_flight = false;
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
		note_stored(o, r->sent_ms);
		o->seq++;
		apply_peer_records(o, r->first);
		buf_clear(&o->batch);
		record_queue_end_batch(&o->peer_records, STORE_OK);
		cell_batch_stored(o->cell);
		return;
	case STORE_FENCED:
		owner_step_down(o, "fenced by a higher epoch");
		return;
	case STORE_BAD_SEQ:
		log_line(LOG_WARN, "batch sequence number corrected",
			 "seq=%" PRIu64 " expected=%" PRIu64, o->seq, r->seq);
		change_seq(o, r->seq);
		return;
	case STORE_REFUSED:
	case STORE_UNKNOWN:
	case STORE_TRIMMED:
		break;
	}
	o->append_failures++;
	o->batch_may_be_stored |= r->status == STORE_UNKNOWN;
	note_unanswered(o, r->status);
	if (!o->attempt++)
		log_line(LOG_WARN, "append of batch failed",
			 "seq=%" PRIu64 " bytes=%zu status=%d", o->seq,
			 o->batch.len, (int)r->status);
	o->append_due_ms = o->now_ms + APPEND_RETRY_MS;
	refuse_batch_peers(o);
	refuse_waiting_peers(o, r->status);
}

void owner_step_down(struct owner *o, const char *reason)
{
	if (o->phase == OWNER_IDLE)
		return;
	log_line(LOG_INFO, "cell released",
		 "part=%u epoch=%" PRIu64 " reason=\"%s\"", o->part, o->epoch,
		 reason);
	drop_peer_records(o);
	if (o->cell)
		cell_stop(o->cell);
	o->cell = NULL;
	o->ended_epoch = o->epoch;
	o->handover_began_ms = 0;
	o->phase = OWNER_IDLE;
	o->fenced_by_worker = false;
	o->attempt = 0;
	buf_clear(&o->batch);
	o->batch_peer_bytes = 0;
	follower_stop(&o->worker_follower);
	o->job_follower->read_gap_ms = IDLE_READ_GAP_MS;
}

bool owner_may_retain(const struct owner *o)
{
	return o->phase == OWNER_ACTIVE && !o->handover_began_ms &&
	       o->now_ms - o->stored_ms < RETAIN_WITHOUT_APPEND_MS;
}

void owner_hand_over(struct owner *o, const char *reason)
{
	if (o->phase != OWNER_ACTIVE) {
		owner_step_down(o, reason);
		return;
	}
	if (o->handover_began_ms)
		return;
	log_line(LOG_INFO, "cell handover started",
		 "part=%u epoch=%" PRIu64 " reason=\"%s\"", o->part, o->epoch,
		 reason);
	o->handover_began_ms = o->now_ms;
	cell_hand_over(o->cell, o->now_ms);
}

static void owner_start_takeover(struct owner *o, uint64_t generation)
{
	o->epoch = generation;
	o->phase = OWNER_FENCING;
	o->takeover_began_ms = o->now_ms;
	o->append_due_ms = o->now_ms;
	change_seq(o, 0);
	o->job_follower->read_gap_ms = OWNER_READ_GAP_MS;
	buf_clear(&o->batch);
	log_line(LOG_INFO, "cell assigned to this host",
		 "part=%u epoch=%" PRIu64, o->part, generation);
}

/* Tells all hosts, with the first batch, who owns the cell. */
static void announce_owner(struct owner *o)
{
	struct str value;
	struct buf b;

	o->self.record_version = RECORD_VERSION;
	buf_init(&b);
	cell_owner_write(&o->self, &b);
	value.data = b.data;
	value.len = b.len;
	store_record_add(&o->batch, str_of(OWNER_KEY), value);
	o->batch_began_ms = o->now_ms;
	buf_finish(&b);
}

static void owner_activate(struct owner *o, int64_t wall_ms)
{
	struct cell_counts n;

	o->cell = cell_new(&o->options, o->epoch, o->job_view, o->cell_ops,
			   o->ctx, o->worker_ops, o->worker_port, o->now_ms,
			   wall_ms);
	o->phase = OWNER_ACTIVE;
	follower_start(&o->worker_follower, o->now_ms);
	announce_owner(o);
	cell_get_counts(o->cell, &n);
	log_line(LOG_INFO, "cell taken over",
		 "part=%u epoch=%" PRIu64 " jobs=%u known_workers=%u "
		 "after_ms=%lld",
		 o->part, o->epoch, n.jobs, n.workers,
		 (long long)(o->now_ms - o->takeover_began_ms));
}

static void owner_commit(struct owner *o)
{
	if (o->append_in_flight || o->now_ms < o->append_due_ms)
		return;
	if (!o->batch.len) {
		take_peer_records(o);
		if (!cell_take_batch(o->cell, &o->batch))
			return;
	}
	owner_append(o, on_batch_append);
}

/* Until when tasks may be started. A start needs a stored intent, so the next
 * owner, which fences this one at the store, knows of it. */
static int64_t authority_until_ms(const struct owner *o)
{
	int64_t until = o->member_until_ms;

	if (o->handover_began_ms && o->handover_began_ms < until)
		until = o->handover_began_ms;
	return until;
}

/*
 * Until when leases may be extended, however certain the membership seems: the
 * store may assign the cell to another host at any moment, without a request.
 * That host then counts on takeover_ms for workers that it does not reach.
 */
static int64_t renewals_until_ms(const struct owner *o)
{
	return o->held_ms + o->options.takeover_ms -
	       cell_lease_bound_ms(o->options.lease_ms);
}

static int64_t owner_run(struct owner *o, int64_t wall_ms)
{
	int64_t wait;

	cell_set_authority(o->cell, authority_until_ms(o));
	cell_limit_renewals(o->cell, renewals_until_ms(o));
	if (o->raises_fences && !o->handover_began_ms)
		cell_raise_fences(o->cell);
	wait = cell_tick(o->cell, o->now_ms, wall_ms);
	owner_commit(o);
	follower_tick(&o->worker_follower, o->now_ms);
	return wait;
}

int64_t owner_tick(struct owner *o, const struct member *m, int64_t now_ms,
		   int64_t wall_ms)
{
	bool is_assigned = m->assigned >> o->part & 1;

	o->now_ms = now_ms;
	if (is_assigned) {
		o->member_until_ms = m->assigned_until_ms;
		/* In a later generation the cell may have returned from another
		 * host that has taken it over, and still retains it. */
		if (m->generation == o->epoch)
			note_held(o, m->listed_ms);
	}
	if (o->fenced_by_worker)
		owner_step_down(o, "fenced by a worker");
	if (o->handover_began_ms &&
	    (is_assigned ||
	     now_ms - o->handover_began_ms > o->options.renew_after_ms))
		owner_step_down(o, is_assigned ? "assigned to this host again"
					       : "handed over");
	if (!is_assigned)
		owner_hand_over(o, "assigned to another host");
	else if (o->phase == OWNER_IDLE && m->generation > o->ended_epoch &&
		 now_ms < m->assigned_until_ms && o->job_follower->loaded)
		owner_start_takeover(o, m->generation);
	if (o->phase == OWNER_FENCING && !o->append_in_flight &&
	    now_ms >= o->append_due_ms)
		owner_append(o, on_fence_append);
	if (o->phase == OWNER_CATCHING_UP) {
		if (o->job_follower->next >= o->fence_offset)
			owner_activate(o, wall_ms);
		else
			follower_read_now(o->job_follower);
	}
	return o->phase == OWNER_ACTIVE ? owner_run(o, wall_ms) : IDLE_TICK_MS;
}
