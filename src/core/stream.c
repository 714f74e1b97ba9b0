#include "core/stream.h"

#include "base/counter.h"

#define SERIAL_MASK 0x7fffffffU

void stream_init(struct stream *st, const char *name, uint32_t id,
		 const struct ports *ports, const struct stream_ops *ops,
		 void *ctx)
{
	memset(st, 0, sizeof(*st));
	name_set(st->name, name);
	st->id = id;
	st->ports = ports;
	st->ops = ops;
	st->ctx = ctx;
	st->fresh_ms = INT64_MIN / 2;
	buf_init(&st->pending);
	buf_init(&st->overflow);
	buf_init(&st->inflight);
}

void stream_finish(struct stream *st)
{
	buf_finish(&st->pending);
	buf_finish(&st->overflow);
	buf_finish(&st->inflight);
}

void stream_add_record(struct stream *st, int64_t now_ms,
		       const struct record *r)
{
	bool full = st->overflow.len || st->pending.len > APPEND_BYTES_MAX;
	struct buf *b = full ? &st->overflow : &st->pending;

	if (!st->pending.len)
		st->pending_since_ms = now_ms;
	if (b->len)
		buf_adds(b, ",");
	record_write(r, b);
}

bool stream_is_idle(const struct stream *st)
{
	return !st->pending.len && !st->unconfirmed;
}

bool stream_can_append(const struct stream *st)
{
	if (st->appending)
		return false;
	return st->unconfirmed ? st->resend : st->pending.len > 0;
}

void stream_append(struct stream *st, int64_t now_ms)
{
	struct str body;
	uint64_t token;

	if (!st->unconfirmed) {
		struct str records = {st->pending.data, st->pending.len};
		struct batch b = {st->writer, ++st->seq, st->epoch, {0}};
		struct buf overflow = st->overflow;

		buf_clear(&st->inflight);
		batch_write(&b, records, &st->inflight);
		buf_clear(&st->pending);
		st->overflow = st->pending;
		st->pending = overflow;
		st->unconfirmed = true;
	}
	st->urgent = false;
	st->appending = true;
	st->resend = false;
	st->append_sent_ms = now_ms;
	st->append_serial = (st->append_serial + 1) & SERIAL_MASK;
	token = (uint64_t)st->id << 32 | 1ULL << 31 | st->append_serial;
	body.data = st->inflight.data;
	body.len = st->inflight.len;
	st->ports->ops->count(st->ports->ctx, COUNTER_APPENDS, 1);
	st->ports->ops->count(st->ports->ctx, COUNTER_APPEND_BYTES, body.len);
	st->ports->ops->append(st->ports->ctx, token, st->name, body);
}

void stream_confirm(struct stream *st, const struct batch *b)
{
	if (!st->unconfirmed || b->writer != st->writer || b->seq != st->seq ||
	    b->epoch != st->epoch)
		return;
	st->unconfirmed = false;
	st->resend = false;
	st->appending = false;
}

void stream_discard(struct stream *st)
{
	buf_clear(&st->pending);
	buf_clear(&st->overflow);
	buf_clear(&st->inflight);
	st->unconfirmed = false;
	st->appending = false;
	st->resend = false;
	st->append_serial = (st->append_serial + 1) & SERIAL_MASK;
}

void stream_schedule_read(struct stream *st, int64_t now_ms)
{
	if (!st->read_due_ms || st->read_due_ms > now_ms)
		st->read_due_ms = now_ms;
}

static void send_read(struct stream *st, int64_t now_ms)
{
	uint64_t token;

	st->reading = true;
	st->read_sent_ms = now_ms;
	st->read_due_ms = st->poll_ms ? now_ms + st->poll_ms : 0;
	st->read_serial = (st->read_serial + 1) & SERIAL_MASK;
	token = (uint64_t)st->id << 32 | st->read_serial;
	st->ports->ops->count(st->ports->ctx, COUNTER_READS, 1);
	st->ports->ops->read(st->ports->ctx, token, st->name, st->next);
}

void stream_tick(struct stream *st, int64_t now_ms)
{
	if (st->reading && now_ms - st->read_sent_ms >= LOG_TIMEOUT_MS) {
		st->reading = false;
		st->status = LOG_NO_REPLY;
		stream_schedule_read(st, now_ms);
	}
	if (st->appending && now_ms - st->append_sent_ms >= LOG_TIMEOUT_MS) {
		st->appending = false;
		st->status = LOG_NO_REPLY;
		stream_schedule_read(st, now_ms);
	}
	if (!st->reading && st->read_due_ms && now_ms >= st->read_due_ms)
		send_read(st, now_ms);
}

static void load_own_batch(struct stream *st, uint64_t offset)
{
	struct buf text = st->inflight;
	struct log_entry e = {offset, {text.data, text.len}};
	struct log_read r = {LOG_OK, offset + 1, 0, &e, 1};

	/* The callback may discard the stream, and @inflight with it. */
	buf_init(&st->inflight);
	st->ops->load(st->ctx, st, &r);
	buf_finish(&text);
}

void stream_on_append(struct stream *st, int64_t now_ms, uint32_t serial,
		      enum log_status status, uint64_t offset)
{
	if (serial != st->append_serial || !st->appending)
		return;
	st->status = status;
	st->status_ms = now_ms;
	st->appending = false;
	if (status == LOG_OK && st->unconfirmed && st->caught_up &&
	    offset == st->next) {
		load_own_batch(st, offset);
		return;
	}
	stream_schedule_read(st, now_ms);
}

void stream_on_read(struct stream *st, int64_t now_ms, uint32_t serial,
		    const struct log_read *r)
{
	if (serial != st->read_serial || !st->reading)
		return;
	st->reading = false;
	st->status = r->status;
	st->status_ms = now_ms;
	if (r->status == LOG_OK)
		st->ops->load(st->ctx, st, r);
	if (!st->next && !st->poll_ms)
		return; /* the callback stopped following the stream */
	if (r->status == LOG_NO_REPLY) {
		st->read_due_ms = now_ms + LOG_TIMEOUT_MS / 4;
		return;
	}
	if (st->next < r->head) {
		if (r->status == LOG_OK && r->count)
			stream_schedule_read(st, now_ms);
		return;
	}
	st->fresh_ms = st->read_sent_ms;
	if (r->status != LOG_OK) {
		st->read_due_ms = now_ms + LOG_TIMEOUT_MS / 4;
		return;
	}
	st->caught_up = true;
	if (st->unconfirmed && !st->appending) {
		/* A read sent after the append did not find the batch. */
		if (st->read_sent_ms >= st->append_sent_ms)
			st->resend = true;
		else
			stream_schedule_read(st, now_ms);
	}
	st->ops->caught_up(st->ctx, st);
}
