#include "host/record_queue.h"

#include <stdlib.h>
#include <string.h>

/* In the current batch if @in_batch is set, else @len bytes of the waiting
 * records from @offset on. */
struct record_set {
	uint64_t from;
	uint64_t seq;
	bool in_batch;
	size_t offset;
	size_t len;
	struct record_set *next;
};

void record_queue_init(struct record_queue *q, record_outcome done, void *ctx)
{
	memset(q, 0, sizeof(*q));
	buf_init(&q->waiting);
	q->done = done;
	q->ctx = ctx;
}

void record_queue_finish(struct record_queue *q)
{
	struct record_set *s;

	while (q->sets) {
		s = q->sets;
		q->sets = s->next;
		free(s);
	}
	buf_finish(&q->waiting);
}

void record_queue_add(struct record_queue *q, uint64_t from, uint64_t seq,
		      struct str records)
{
	struct record_set *s = xcalloc(1, sizeof(*s));

	s->from = from;
	s->seq = seq;
	s->offset = q->waiting.len;
	s->len = records.len;
	s->next = q->sets;
	q->sets = s;
	buf_add(&q->waiting, records.data, records.len);
}

static void cut_waiting(struct record_queue *q, const struct record_set *cut)
{
	struct buf *b = &q->waiting;
	size_t end = cut->offset + cut->len;
	struct record_set *s;

	memmove(b->data + cut->offset, b->data + end, b->len - end);
	b->len -= cut->len;
	for (s = q->sets; s; s = s->next)
		if (!s->in_batch && s->offset > cut->offset)
			s->offset -= cut->len;
}

bool record_queue_withdraw(struct record_queue *q, uint64_t from, uint64_t seq)
{
	struct record_set **at = &q->sets, *s;

	while (*at && ((*at)->from != from || (*at)->seq != seq))
		at = &(*at)->next;
	s = *at;
	if (!s || s->in_batch)
		return false;
	*at = s->next;
	cut_waiting(q, s);
	free(s);
	return true;
}

/* Length of the records that the next batch takes: those that have waited
 * longest, at least of one host. */
static size_t bytes_to_take(const struct record_queue *q, size_t share)
{
	const struct record_set *s;
	size_t bytes = 0;

	if (!share || q->waiting.len <= share)
		return q->waiting.len;
	for (s = q->sets; s; s = s->next) {
		size_t end = s->offset + s->len;

		if (!s->in_batch && end > bytes && (end <= share || !s->offset))
			bytes = end;
	}
	return bytes;
}

size_t record_queue_take(struct record_queue *q, size_t share,
			 struct buf *batch)
{
	size_t bytes = bytes_to_take(q, share);
	struct record_set *s;

	buf_add(batch, q->waiting.data, bytes);
	buf_drop(&q->waiting, bytes);
	for (s = q->sets; s; s = s->next) {
		if (s->in_batch)
			continue;
		if (s->offset < bytes)
			s->in_batch = true;
		else
			s->offset -= bytes;
	}
	return bytes;
}

static void end_sets(struct record_queue *q, bool in_batch,
		     enum store_status status)
{
	struct record_set **at = &q->sets, *s;

	while (*at) {
		s = *at;
		if (s->in_batch != in_batch) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		q->done(q->ctx, s->from, s->seq, status);
		free(s);
	}
}

void record_queue_end_batch(struct record_queue *q, enum store_status status)
{
	end_sets(q, true, status);
}

void record_queue_refuse_waiting(struct record_queue *q)
{
	buf_clear(&q->waiting);
	end_sets(q, false, STORE_REFUSED);
}
