#include "host/follower.h"

#include <stdlib.h>

#include "base/logger.h"

/* Back-off after a failed read or listing: the pause doubles with each failure
 * as long as it is below RETRY_DOUBLE_BELOW_MS. */
#define RETRY_PAUSE_FIRST_MS 60
#define RETRY_DOUBLE_BELOW_MS 800
/* The same where no connection was made, so that the store has no work. */
#define RETRY_DOUBLE_BELOW_UNSENT_MS 200
/* Least pause between extra reads after one that the store has refused; it
 * doubles with each refusal and halves with each answer. All hosts share the
 * store's limit on reads: where each caller's query made its host read at once,
 * refused hosts that read again without a pause kept the store refusing. */
#define EXTRA_PAUSE_FIRST_MS 40
#define EXTRA_PAUSE_MAX_MS 640
#define LISTED_CAP_INITIAL 256
/* Pause before a listing that the store did not let go on begins again. */
#define LIST_AGAIN_MS 1000
/* Without an answer for this long, more than one record of a key may have been
 * missed, and a listing is shorter than all of them. */
#define LIST_AFTER_MS 3000

void follower_init(struct follower *f, const struct store_ops *store,
		   void *port, const char *topic, uint32_t part,
		   const struct follower_ops *ops, void *ctx)
{
	memset(f, 0, sizeof(*f));
	f->store = store;
	f->port = port;
	f->ops = ops;
	f->ctx = ctx;
	f->part = part;
	f->stopped = true;
	name_set(f->topic, topic);
	arena_init(&f->listed_memory);
}

static void listed_clear(struct follower *f)
{
	arena_finish(&f->listed_memory);
	arena_init(&f->listed_memory);
	free(f->listed);
	f->listed = NULL;
	f->listed_cap = 0;
	f->listed_count = 0;
	f->is_listing = false;
	f->list_after.data = NULL;
	f->list_after.len = 0;
	f->list_pages = 0;
	f->list_checkpoint = f->list_after;
}

void follower_finish(struct follower *f)
{
	arena_finish(&f->listed_memory);
	free(f->listed);
}

void follower_start(struct follower *f, int64_t now_ms)
{
	f->stopped = false;
	f->loaded = false;
	f->caught_up_ms = 0;
	f->due_ms = now_ms;
	listed_clear(f);
}

void follower_stop(struct follower *f)
{
	f->stopped = true;
	f->loaded = false;
	f->caught_up_ms = 0;
	listed_clear(f);
}

static void follower_note_failure(struct follower *f,
				  const struct store_reply *r)
{
	int64_t limit = r->not_sent ? RETRY_DOUBLE_BELOW_UNSENT_MS
				    : RETRY_DOUBLE_BELOW_MS;
	int64_t pause = RETRY_PAUSE_FIRST_MS;
	uint32_t i;

	for (i = 0; i < f->failures && pause < limit; i++)
		pause *= 2;
	f->unconnected = r->not_sent;
	if (!f->failures++)
		f->failed_ms = r->received_ms;
	log_line(LOG_WARN, "cannot read partition",
		 "topic=%s part=%u status=%d connected=%d next=%llu "
		 "read_ms=%lld failures=%u pause_ms=%lld",
		 f->topic, f->part, (int)r->status, !r->not_sent,
		 (unsigned long long)f->next,
		 (long long)(r->received_ms - r->sent_ms), f->failures,
		 (long long)pause);
	f->due_ms = f->now_ms + pause;
}

static void follower_note_recovery(struct follower *f,
				   const struct store_reply *r)
{
	if (f->failures)
		log_line(LOG_INFO, "partition readable again",
			 "topic=%s part=%u after_failures=%u after_ms=%lld "
			 "read_ms=%lld bytes=%zu",
			 f->topic, f->part, f->failures,
			 (long long)(r->received_ms - f->failed_ms),
			 (long long)(r->received_ms - r->sent_ms), r->bytes);
	f->failures = 0;
	f->unconnected = false;
}

static void follower_note_reply(struct follower *f, const struct store_reply *r)
{
	f->reply_bytes = r->bytes;
	f->reply_end = r->end;
	f->reply_took_ms = r->received_ms - r->sent_ms;
	f->answered_ms = r->received_ms;
}

static void listed_add(struct follower *f, const struct store_record *r)
{
	struct store_record *k;

	if (f->listed_count == f->listed_cap) {
		f->listed_cap =
			f->listed_cap ? f->listed_cap * 2 : LISTED_CAP_INITIAL;
		f->listed =
			xrealloc(f->listed, f->listed_cap * sizeof(*f->listed));
	}
	k = &f->listed[f->listed_count++];
	k->key = arena_str(&f->listed_memory, r->key.data, r->key.len);
	k->value = arena_str(&f->listed_memory, r->value.data, r->value.len);
	k->offset = r->offset;
}

static int offset_cmp(const void *a, const void *b)
{
	uint64_t x = ((const struct store_record *)a)->offset;
	uint64_t y = ((const struct store_record *)b)->offset;

	return x < y ? -1 : x > y;
}

static void follower_apply_listing(struct follower *f, bool is_complete)
{
	size_t i;

	if (f->listed_count)
		qsort(f->listed, f->listed_count, sizeof(*f->listed),
		      offset_cmp);
	f->ops->begin(f->ctx);
	for (i = 0; i < f->listed_count; i++)
		f->ops->apply(f->ctx, &f->listed[i]);
	if (is_complete)
		f->ops->end(f->ctx);
	log_line(LOG_INFO, "partition listed",
		 "topic=%s part=%u keys=%zu complete=%d next=%llu", f->topic,
		 f->part, f->listed_count, is_complete,
		 (unsigned long long)f->list_end_offset);
	f->next = f->list_end_offset;
	f->caught_up_ms = f->list_sent_ms;
	f->confirming = f->ops->newest_only;
	f->loaded = true;
	listed_clear(f);
}

/* Whether a call that was sent after the last reply has an answer from before
 * it: a store whose reads lie behind tells nothing about what is newest. */
static bool is_older_than_known(const struct follower *f,
				const struct store_reply *r)
{
	return f->caught_up_ms && r->end < f->next &&
	       r->sent_ms >= f->answered_ms;
}

/* A store may tell a key that is no UTF-8 by another text, after which the same
 * page follows again, or one from which the listing comes back to it. */
static bool can_list_on(const struct follower *f, const struct store_reply *r)
{
	return r->last_key.len && !str_eq(r->last_key, f->list_checkpoint);
}

/* The last key of each page whose number is a power of two is compared with
 * those of the pages that follow: that finds a cycle of any length. */
static void follower_list_on(struct follower *f, const struct store_reply *r)
{
	f->list_after =
		arena_str(&f->listed_memory, r->last_key.data, r->last_key.len);
	f->list_pages++;
	if (!(f->list_pages & (f->list_pages - 1)))
		f->list_checkpoint = f->list_after;
}

static void follower_end_listing(struct follower *f,
				 const struct store_reply *r)
{
	log_line(LOG_ERROR, "page of a listing tells no key to go on from",
		 "topic=%s part=%u keys=%zu last_key_bytes=%zu", f->topic,
		 f->part, f->listed_count, r->last_key.len);
	if (f->ops->is_refreshed) {
		follower_apply_listing(f, false);
		return;
	}
	listed_clear(f);
	f->due_ms = f->now_ms + LIST_AGAIN_MS;
}

static void on_listed(void *ctx, const struct store_reply *r)
{
	struct follower *f = ctx;
	size_t i;

	f->list_in_flight = false;
	if (f->stopped)
		return;
	if (r->status != STORE_OK) {
		listed_clear(f);
		follower_note_failure(f, r);
		return;
	}
	if (is_older_than_known(f, r)) {
		log_line(LOG_WARN, "listing is older than what is known",
			 "topic=%s part=%u end=%llu next=%llu", f->topic,
			 f->part, (unsigned long long)r->end,
			 (unsigned long long)f->next);
		listed_clear(f);
		follower_note_failure(f, r);
		return;
	}
	follower_note_recovery(f, r);
	if (!f->is_listing) {
		f->is_listing = true;
		f->list_end_offset = r->end;
		f->list_sent_ms = r->sent_ms;
	}
	follower_note_reply(f, r);
	for (i = 0; i < r->count; i++)
		listed_add(f, &r->records[i]);
	if (!r->has_more) {
		follower_apply_listing(f, true);
	} else if (can_list_on(f, r)) {
		follower_list_on(f, r);
	} else {
		follower_end_listing(f, r);
	}
}

/* Whether a later record of the reply has the key of record @i. */
static bool is_replaced(const struct store_reply *r, size_t i)
{
	size_t k;

	for (k = i + 1; k < r->count; k++)
		if (str_eq(r->records[k].key, r->records[i].key))
			return true;
	return false;
}

/* Whether all that is unread is known after the reply. */
static bool reaches_end(const struct follower *f, const struct store_reply *r)
{
	return f->next >= r->end ||
	       (r->count && r->records[r->count - 1].offset + 1 >= r->end);
}

static void follower_relist(struct follower *f, const char *cause)
{
	log_line(LOG_INFO, "listing partition again",
		 "topic=%s part=%u cause=%s next=%llu end=%llu", f->topic,
		 f->part, cause, (unsigned long long)f->next,
		 (unsigned long long)f->reply_end);
	f->loaded = false;
	f->due_ms = f->now_ms;
}

static void follower_apply_records(struct follower *f,
				   const struct store_reply *r)
{
	size_t i;

	if (is_older_than_known(f, r)) {
		f->confirming = false;
		return;
	}
	follower_note_reply(f, r);
	if (f->ops->newest_only && !reaches_end(f, r)) {
		follower_relist(f, "behind");
		return;
	}
	for (i = 0; i < r->count; i++) {
		if (r->records[i].offset != f->next)
			continue;
		f->next++;
		if (f->ops->newest_only && is_replaced(r, i))
			continue;
		f->ops->apply(f->ctx, &r->records[i]);
	}
	f->confirming = f->ops->newest_only && r->count;
	if (f->next >= r->end && r->sent_ms > f->caught_up_ms)
		f->caught_up_ms = r->sent_ms;
}

static void follower_handle_read(struct follower *f,
				 const struct store_reply *r)
{
	if (r->status == STORE_OK) {
		follower_note_recovery(f, r);
		follower_apply_records(f, r);
		f->due_ms = f->next < r->end ? f->now_ms
					     : f->now_ms + f->read_gap_ms;
	} else if (r->status == STORE_TRIMMED) {
		log_line(LOG_INFO, "unread records of partition trimmed",
			 "topic=%s part=%u next=%llu first=%llu", f->topic,
			 f->part, (unsigned long long)f->next,
			 (unsigned long long)r->first);
		f->loaded = false;
		f->due_ms = f->now_ms;
	} else {
		follower_note_failure(f, r);
	}
}

static void on_read(void *ctx, const struct store_reply *r)
{
	struct follower *f = ctx;

	f->read_in_flight = false;
	if (!f->stopped && f->loaded)
		follower_handle_read(f, r);
}

static void pace_extra_reads(struct follower *f, enum store_status status)
{
	if (status == STORE_OK)
		f->extra_pause_ms /= 2;
	else if (!f->extra_pause_ms)
		f->extra_pause_ms = EXTRA_PAUSE_FIRST_MS;
	else if (f->extra_pause_ms < EXTRA_PAUSE_MAX_MS)
		f->extra_pause_ms *= 2;
	if (f->extra_pause_ms < EXTRA_PAUSE_FIRST_MS)
		f->extra_pause_ms = 0;
	f->extra_due_ms = f->now_ms + f->extra_pause_ms;
}

static void on_extra_read(void *ctx, const struct store_reply *r)
{
	struct follower *f = ctx;

	f->extra_read_in_flight = false;
	pace_extra_reads(f, r->status);
	if (!f->stopped && f->loaded && r->status == STORE_OK)
		follower_apply_records(f, r);
}

void follower_tick(struct follower *f, int64_t now_ms)
{
	f->now_ms = now_ms;
	if (f->stopped || f->held || f->read_in_flight || f->list_in_flight ||
	    now_ms < f->due_ms)
		return;
	if (f->loaded && f->ops->newest_only && f->failures &&
	    now_ms - f->answered_ms > LIST_AFTER_MS)
		follower_relist(f, "outage");
	if (f->loaded) {
		f->read_in_flight = true;
		f->store->read(f->port, f->topic, f->part, f->next,
			       f->confirming ? 0 : f->wait_ms, on_read, f);
		return;
	}
	if (!f->is_listing)
		f->list_began_ms = now_ms;
	f->list_in_flight = true;
	f->store->read_newest(f->port, f->topic, f->part, f->list_after,
			      on_listed, f);
}

void follower_read_now(struct follower *f)
{
	if (f->stopped || !f->loaded || f->extra_read_in_flight ||
	    f->now_ms < f->extra_due_ms)
		return;
	f->extra_read_in_flight = true;
	f->store->read(f->port, f->topic, f->part, f->next, 0, on_extra_read,
		       f);
}

bool follower_is_fresh(const struct follower *f, int64_t now_ms, int64_t age_ms)
{
	return f->caught_up_ms && now_ms - f->caught_up_ms <= age_ms;
}
