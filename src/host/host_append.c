#include "host/host_call.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#include "adapters/clock.h"
#include "base/logger.h"

/* A refused append is retried until its oldest call is this old; then the calls
 * whose records have never been sent without an answer are refused. */
#define APPEND_RETRY_MAX_MS 500
#define APPEND_RETRY_MS 60
/* Appends of callers' records that one host may have in flight. */
#define BATCHES_IN_FLIGHT_MAX 4
/* Share of an append that callers' records may take: the owner adds them to its
 * own. */
#define APPEND_SHARE_DIVISOR 2

/**
 * struct call_batch - an append that holds the records of several calls
 * @calls: linked by @append_next
 * @oldest_call_ms: boot time at which the oldest call arrived
 * @via_owner: the records were passed to the owner of the cell
 * @relay_seq: number of the batch at the record relay
 * @is_withdrawal_asked: the owner was asked to drop the records
 */
struct call_batch {
	struct host *host;
	struct buf frames;
	struct host_call *calls;
	int64_t oldest_call_ms;
	bool via_owner;
	uint64_t relay_seq;
	bool is_withdrawal_asked;
};

void call_queue_append(struct host *h, struct host_call *c)
{
	struct host_call **at = &h->append_queue;

	c->append_pending = true;
	while (*at)
		at = &(*at)->append_next;
	*at = c;
}

bool call_withdraw(struct host *h, struct host_call *c)
{
	struct host_call **at = &h->append_queue;

	while (*at && *at != c)
		at = &(*at)->append_next;
	if (*at) {
		*at = c->append_next;
		c->append_next = NULL;
		c->append_pending = false;
	}
	return !c->append_pending && !c->may_be_stored;
}

void call_ask_withdrawal(struct host *h, struct host_call *c)
{
	struct call_batch *b = c->batch;

	if (!b || !b->via_owner || b->is_withdrawal_asked || c->may_be_stored)
		return;
	b->is_withdrawal_asked = true;
	record_relay_withdraw(&h->record_relay, b->relay_seq);
}

static void batch_free(struct call_batch *b)
{
	b->host->batches_in_flight--;
	buf_finish(&b->frames);
	free(b);
}

static bool is_withdrawn(const struct call_batch *b, enum store_status status)
{
	return b->is_withdrawal_asked && status == STORE_REFUSED;
}

static bool can_append_again(const struct call_batch *b,
			     const struct host_call *c,
			     enum store_status status)
{
	if (c->may_be_stored)
		return true;
	if (is_withdrawn(b, status))
		return !call_is_expiring(b->host, c);
	return b->host->now_ms - b->oldest_call_ms < APPEND_RETRY_MAX_MS;
}

/*
 * A record is appended again as long as its caller waits: after a refusal,
 * since nothing was stored, and after an append without an answer, since of
 * several equal records the first one counts. Only a record whose every append
 * was refused makes the call refused.
 */
static void settle_call(struct call_batch *b, struct host_call *c,
			enum store_status status)
{
	struct host *h = b->host;

	if (status == STORE_OK) {
		call_apply_record(h, c);
		if (c->request)
			call_answer_stored(h, c);
		return;
	}
	if (status == STORE_UNKNOWN)
		c->may_be_stored = true;
	if (!c->request)
		return;
	if (can_append_again(b, c, status))
		call_queue_append(h, c);
	else
		call_refuse(h, c);
}

static void note_failure(struct call_batch *b, enum store_status status)
{
	struct host *h = b->host;

	if (!h->store_failures++)
		h->store_failed_ms = h->now_ms;
	h->append_due_ms = h->now_ms + APPEND_RETRY_MS;
	h->counts.append_failures++;
	log_line(LOG_WARN, "append of calls' records failed",
		 "status=%d age_ms=%lld bytes=%zu via_owner=%d", (int)status,
		 (long long)(h->now_ms - b->oldest_call_ms), b->frames.len,
		 b->via_owner);
}

static void on_outcome(void *ctx, enum store_status status)
{
	struct call_batch *b = ctx;
	struct host_call *c, *next;
	struct host *h = b->host;

	h->now_ms = clock_boot_ms();
	if (is_withdrawn(b, status)) {
		log_line(LOG_INFO, "calls' records withdrawn",
			 "age_ms=%lld bytes=%zu",
			 (long long)(h->now_ms - b->oldest_call_ms),
			 b->frames.len);
	} else {
		append_route_note(&h->append_route, b->via_owner, status,
				  h->now_ms);
		if (status == STORE_OK) {
			h->store_failures = 0;
			h->stored_ms = h->now_ms;
		} else {
			note_failure(b, status);
		}
	}
	for (c = b->calls; c; c = next) {
		next = c->append_next;
		c->append_next = NULL;
		c->append_pending = false;
		c->batch = NULL;
		settle_call(b, c, status);
	}
	batch_free(b);
}

static void on_append(void *ctx, const struct store_reply *r)
{
	on_outcome(ctx, r->status);
}

static void batch_send(struct call_batch *b)
{
	struct str records = {b->frames.data, b->frames.len};
	const char *owner = b->host->job_view.owner.name;
	struct host *h = b->host;
	struct store_append a = {0};

	h->counts.appends++;
	b->via_owner = owner[0] && h->peers &&
		       append_route_use_owner(&h->append_route, h->now_ms);
	if (b->via_owner) {
		b->relay_seq =
			record_relay_send(&h->record_relay, name_hash(owner),
					  records, on_outcome, b);
		return;
	}
	a.topic = TOPIC_JOBS;
	a.part = h->owner.part;
	a.records = records;
	h->owner.store->append(h->owner.port, &a, on_append, b);
}

/*
 * Add the record of a call to a batch.
 *
 * Return: 0, or -ENOSPC when the batch is full, or -EFBIG when the store takes
 * no such record; the batch is not changed then.
 */
static int batch_add(struct call_batch *b, struct host_call *c)
{
	const struct cell_options *o = &b->host->owner.options;
	size_t share = o->append_max_bytes / APPEND_SHARE_DIVISOR;
	struct str value = {c->record.data, c->record.len};
	size_t before = b->frames.len;
	char key[JOB_KEY_SIZE];

	store_record_add(&b->frames,
			 job_key(c->id, c->kind == CALL_CANCEL ? 'c' : 0, key),
			 value);
	if (!store_record_fits(b->frames.len - before, o->record_max_bytes,
			       o->append_max_bytes)) {
		b->frames.len = before;
		return -EFBIG;
	}
	if (!share || !before || b->frames.len <= share)
		return 0;
	b->frames.len = before;
	return -ENOSPC;
}

static void refuse_large_record(struct host *h, struct host_call *c)
{
	log_line(LOG_ERROR, "record of a call is too large to store",
		 "job=%016" PRIx64 " bytes=%zu record_max=%zu", c->id,
		 c->record.len, h->owner.options.record_max_bytes);
	c->append_pending = false;
	if (c->request)
		call_answer(h, c, 413, 0, "{}");
}

/* Takes calls from the queue until the batch is full. */
static void batch_fill(struct call_batch *b)
{
	struct host *h = b->host;
	struct host_call **last = &b->calls, *c;
	int err;

	while (h->append_queue) {
		c = h->append_queue;
		err = batch_add(b, c);
		if (err == -ENOSPC)
			break;
		h->append_queue = c->append_next;
		c->append_next = NULL;
		if (err) {
			refuse_large_record(h, c);
			continue;
		}
		c->batch = b;
		*last = c;
		last = &c->append_next;
		if (c->arrived_ms < b->oldest_call_ms)
			b->oldest_call_ms = c->arrived_ms;
	}
}

void host_append_queue_send(struct host *h)
{
	struct call_batch *b;

	if (!h->append_queue || h->batches_in_flight >= BATCHES_IN_FLIGHT_MAX ||
	    (h->store_failures && h->now_ms < h->append_due_ms))
		return;
	b = xcalloc(1, sizeof(*b));
	b->host = h;
	b->oldest_call_ms = h->now_ms;
	buf_init(&b->frames);
	batch_fill(b);
	h->batches_in_flight++;
	if (b->calls)
		batch_send(b);
	else
		batch_free(b);
}
