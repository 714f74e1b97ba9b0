#include "host/record_relay.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#include "base/logger.h"

/* The owner says within this time that it has taken records, also when it is
 * busy. Without that it is down, cut off, or not the owner any more. */
#define TAKEN_TIMEOUT_MS 400
/* It then says that they are stored, within the longest time that a partition
 * lets an append wait and that of the append before. Appending them a second
 * time meanwhile would only lengthen the queue at the partition. */
#define OUTCOME_TIMEOUT_MS 2700
/* An owner that has said nothing for so long since it was sent records, and has
 * not taken the last of them, is sent the next ones on a new connection. More
 * than one batch is lost before, as an owner that is short of processor time
 * may miss the time for one. */
#define SILENT_MS 1000

enum record_message_kind {
	RECORDS,
	RECORDS_TAKEN,
	RECORDS_OUTCOME,
	RECORDS_WITHDRAW,
};

struct batch_number {
	uint64_t seq;
};

static const struct field number_rows[] = {
	FIELD_OF(U64, batch_number, seq),
};

static const struct shape number_shape = SHAPE_OF(number_rows, batch_number);

/**
 * struct record_message - a message between a host and the owner
 * @kind: enum record_message_kind
 * @status: enum store_status of an outcome
 * @records: framed records
 * @withdrawn: struct batch_number of each batch to be withdrawn
 */
struct record_message {
	uint64_t seq;
	uint32_t kind;
	uint32_t status;
	struct str records;
	struct list withdrawn;
};

static const struct field message_rows[] = {
	FIELD_OF(U64, record_message, seq),
	FIELD_OF(U32, record_message, kind),
	FIELD_OF(U32, record_message, status),
	FIELD_OF(STR, record_message, records),
	FIELD_LIST_OF(record_message, withdrawn, &number_shape),
};

static const struct shape message_shape =
	SHAPE_OF(message_rows, record_message);

/**
 * struct forwarded_batch - records without an outcome
 * @owner: host that they were passed to
 * @is_withdrawal_due: the next tick asks the owner to drop them
 * @is_answered: @status is the outcome; the next tick reports it
 * @due_ms: boot time by which the owner has to send its next message
 */
struct forwarded_batch {
	uint64_t seq;
	uint64_t owner;
	records_done done;
	void *ctx;
	bool is_withdrawal_due;
	bool is_answered;
	enum store_status status;
	int64_t due_ms;
	struct forwarded_batch *next;
};

void record_relay_init(struct record_relay *r, const struct relay_net *net,
		       const struct record_relay_ops *ops, void *ctx,
		       uint64_t self)
{
	memset(r, 0, sizeof(*r));
	r->net = *net;
	r->ops = ops;
	r->ctx = ctx;
	r->self = self;
}

void record_relay_finish(struct record_relay *r)
{
	struct forwarded_batch *b;

	while (r->first_pending) {
		b = r->first_pending;
		r->first_pending = b->next;
		b->done(b->ctx, STORE_UNKNOWN);
		free(b);
	}
}

static void send_message(struct record_relay *r, uint64_t to,
			 const struct record_message *m)
{
	struct str text;
	struct buf b;

	buf_init(&b);
	shape_write(&message_shape, m, &b);
	text.data = b.data;
	text.len = b.len;
	r->net.send(r->net.ctx, to, text);
	buf_finish(&b);
}

void record_relay_abandon(struct record_relay *r)
{
	struct forwarded_batch *b;

	for (b = r->first_pending; b; b = b->next)
		if (!b->is_answered)
			b->due_ms = r->now_ms;
}

/* Return: NULL when the batch has timed out before. */
static struct forwarded_batch *find_batch(const struct record_relay *r,
					  uint64_t seq)
{
	struct forwarded_batch *b = r->first_pending;

	while (b && b->seq != seq)
		b = b->next;
	return b;
}

static void note_taken(struct record_relay *r, uint64_t seq)
{
	struct forwarded_batch *b = find_batch(r, seq);

	if (b)
		b->due_ms = r->now_ms + OUTCOME_TIMEOUT_MS;
}

static void note_outcome(struct record_relay *r, uint64_t seq,
			 enum store_status status)
{
	struct forwarded_batch *b = find_batch(r, seq);

	if (!b)
		return;
	b->is_answered = true;
	b->status = status;
}

static void take_records(struct record_relay *r, uint64_t from,
			 const struct record_message *m)
{
	struct record_message taken = {
		m->seq, RECORDS_TAKEN, 0, {NULL, 0}, {NULL, 0}};

	if (r->ops->accept(r->ctx, from, m->seq, m->records))
		send_message(r, from, &taken);
	else
		record_relay_answer(r, from, m->seq, STORE_REFUSED);
}

/* No answer when nothing is dropped: the outcome of the append follows. */
static void withdraw_batch(struct record_relay *r, uint64_t from, uint64_t seq)
{
	if (r->ops->withdraw(r->ctx, from, seq))
		record_relay_answer(r, from, seq, STORE_REFUSED);
}

static void withdraw_batches(struct record_relay *r, uint64_t from,
			     const struct list *withdrawn)
{
	const struct batch_number *rows = withdrawn->items;
	size_t i;

	for (i = 0; i < withdrawn->count; i++)
		withdraw_batch(r, from, rows[i].seq);
}

static void note_asked(struct record_relay *r, uint64_t owner)
{
	if (r->asked == owner && r->asked_ms)
		return;
	r->asked = owner;
	r->asked_ms = r->now_ms;
}

/* The connection to an owner that says nothing may have gone silent without an
 * error: the next records are sent on a new one. */
static void note_lost(struct record_relay *r, uint64_t owner)
{
	r->lost++;
	if (owner != r->asked || !r->asked_ms ||
	    r->now_ms - r->asked_ms < SILENT_MS)
		return;
	log_line(LOG_WARN, "owner silent: connection ended",
		 "owner=%016" PRIx64 " silent_ms=%lld", owner,
		 (long long)(r->now_ms - r->asked_ms));
	r->net.disconnect(r->net.ctx, owner);
	r->asked_ms = 0;
}

uint64_t record_relay_send(struct record_relay *r, uint64_t owner,
			   struct str records, records_done done, void *ctx)
{
	struct record_message m = {
		++r->seq, RECORDS, STORE_OK, records, {NULL, 0}};
	struct forwarded_batch *b = xcalloc(1, sizeof(*b));

	b->seq = r->seq;
	b->owner = owner;
	b->done = done;
	b->ctx = ctx;
	b->due_ms = r->now_ms +
		    (owner == r->self ? OUTCOME_TIMEOUT_MS : TAKEN_TIMEOUT_MS);
	b->next = r->first_pending;
	r->first_pending = b;
	r->sent++;
	if (owner != r->self) {
		note_asked(r, owner);
		send_message(r, owner, &m);
	} else if (!r->ops->accept(r->ctx, owner, r->seq, records)) {
		note_outcome(r, r->seq, STORE_REFUSED);
	}
	return b->seq;
}

void record_relay_withdraw(struct record_relay *r, uint64_t seq)
{
	struct forwarded_batch *b = find_batch(r, seq);

	if (b && !b->is_answered)
		b->is_withdrawal_due = true;
}

/* Sends all withdrawals that are due at the owner of batch @first. */
static void send_withdrawals(struct record_relay *r,
			     struct forwarded_batch *first)
{
	struct record_message m = {
		0, RECORDS_WITHDRAW, 0, {NULL, 0}, {NULL, 0}};
	struct batch_number *rows = NULL;
	struct forwarded_batch *b;
	size_t n = 0;

	for (b = first; b; b = b->next) {
		if (!b->is_withdrawal_due || b->owner != first->owner)
			continue;
		b->is_withdrawal_due = false;
		rows = xrealloc(rows, (n + 1) * sizeof(*rows));
		rows[n++].seq = b->seq;
	}
	m.withdrawn.items = rows;
	m.withdrawn.count = n;
	if (first->owner == r->self)
		withdraw_batches(r, r->self, &m.withdrawn);
	else
		send_message(r, first->owner, &m);
	free(rows);
}

void record_relay_answer(struct record_relay *r, uint64_t from, uint64_t seq,
			 enum store_status status)
{
	struct record_message m = {
		seq, RECORDS_OUTCOME, status, {NULL, 0}, {NULL, 0}};

	if (from == r->self)
		note_outcome(r, seq, status);
	else
		send_message(r, from, &m);
}

int record_relay_receive(struct record_relay *r, uint64_t from,
			 struct str message)
{
	struct record_message m = {0};
	struct arena a;
	int err;

	if (from == r->asked)
		r->asked_ms = 0;
	arena_init(&a);
	err = shape_read(&message_shape, message, &m, &a);
	if (err || m.status > STORE_TRIMMED || m.kind > RECORDS_WITHDRAW ||
	    (m.kind == RECORDS && !store_records_valid(m.records)))
		err = -EBADMSG;
	else if (m.kind == RECORDS)
		take_records(r, from, &m);
	else if (m.kind == RECORDS_TAKEN)
		note_taken(r, m.seq);
	else if (m.kind == RECORDS_WITHDRAW)
		withdraw_batches(r, from, &m.withdrawn);
	else
		note_outcome(r, m.seq, (enum store_status)m.status);
	arena_finish(&a);
	return err;
}

void record_relay_tick(struct record_relay *r, int64_t now_ms)
{
	struct forwarded_batch **at = &r->first_pending, *b;

	r->now_ms = now_ms;
	for (b = r->first_pending; b; b = b->next)
		if (b->is_withdrawal_due)
			send_withdrawals(r, b);
	while (*at) {
		b = *at;
		if (!b->is_answered && now_ms < b->due_ms) {
			at = &b->next;
			continue;
		}
		*at = b->next;
		if (!b->is_answered)
			note_lost(r, b->owner);
		b->done(b->ctx, b->is_answered ? b->status : STORE_UNKNOWN);
		free(b);
		/* @done may have sent another batch, at the front. */
		at = &r->first_pending;
	}
}
