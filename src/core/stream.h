#ifndef CORE_STREAM_H
#define CORE_STREAM_H

#include "core/record.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest wait for an answer of the log, before it counts as silent. */
#define LOG_TIMEOUT_MS 2000
/* Most bytes of one append. */
#define APPEND_BYTES_MAX (512 * 1024)

struct stream;

/**
 * struct stream_ops - what the reader of a stream does with it
 * @load: take in the entries of a read; sets stream.next
 * @caught_up: a read has reached the head
 */
struct stream_ops {
	void (*load)(void *ctx, struct stream *st, const struct log_read *r);
	void (*caught_up)(void *ctx, struct stream *st);
};

/**
 * struct stream - one stream of the log: a reader and a batching writer
 * @next: offset of the next entry to take in
 * @fresh_ms: when the newest read that reached the head was sent
 * @status: last answer of the log
 * @poll_ms: time between reads; 0 reads only on demand
 * @pending: record texts that wait for the next append
 * @inflight: batch text that is not confirmed yet
 * @urgent: the next append does not wait for its turn
 *
 * One batch is in flight at a time. It is confirmed when the reader sees it;
 * a batch whose answer was lost is sent again with the same number, and
 * readers ignore the second copy.
 */
struct stream {
	char name[NAME_SIZE];
	uint32_t id;
	const struct ports *ports;
	const struct stream_ops *ops;
	void *ctx;

	uint64_t next;
	int64_t fresh_ms;
	bool caught_up;
	enum log_status status;
	int64_t status_ms;
	int64_t poll_ms;
	int64_t read_due_ms;
	int64_t read_sent_ms;
	uint32_t read_serial;
	bool reading;

	struct buf pending;
	struct buf overflow;
	struct buf inflight;
	uint64_t writer;
	uint64_t epoch;
	uint64_t seq;
	bool unconfirmed;
	bool appending;
	bool resend;
	bool urgent;
	int64_t append_sent_ms;
	int64_t pending_since_ms;
	uint32_t append_serial;
};

void stream_init(struct stream *st, const char *name, uint32_t id,
		 const struct ports *ports, const struct stream_ops *ops,
		 void *ctx);
void stream_finish(struct stream *st);

/**
 * stream_add_record() - add a record to the next append
 */
void stream_add_record(struct stream *st, int64_t now_ms,
		       const struct record *r);

/**
 * stream_is_idle() - true when nothing waits to be appended or confirmed
 */
bool stream_is_idle(const struct stream *st);

/**
 * stream_can_append() - true when an append could be sent now
 */
bool stream_can_append(const struct stream *st);

/**
 * stream_append() - send the next batch, or the unconfirmed one again
 */
void stream_append(struct stream *st, int64_t now_ms);

/**
 * stream_confirm() - a batch of ours was read back
 */
void stream_confirm(struct stream *st, const struct batch *b);

/**
 * stream_discard() - drop everything that is not confirmed
 *
 * Only for a writer whose records no reader takes any more.
 */
void stream_discard(struct stream *st);

/**
 * stream_schedule_read() - read at the next tick
 */
void stream_schedule_read(struct stream *st, int64_t now_ms);

/**
 * stream_tick() - send reads that are due, give up answers that are late
 */
void stream_tick(struct stream *st, int64_t now_ms);

/**
 * stream_on_append() - the log has answered an append
 * @offset: where the batch stands, with LOG_OK
 *
 * A batch that stands where the reader is has nothing before it that was not
 * read: it is taken as read back.
 */
void stream_on_append(struct stream *st, int64_t now_ms, uint32_t serial,
		      enum log_status status, uint64_t offset);
void stream_on_read(struct stream *st, int64_t now_ms, uint32_t serial,
		    const struct log_read *r);

/* A token names a stream, an operation and a serial number. */
#define TOKEN_STREAM(token) ((uint32_t)((token) >> 32))
#define TOKEN_SERIAL(token) ((uint32_t)(token)&0x7fffffffU)
#define TOKEN_IS_APPEND(token) (((token) >> 31) & 1U)

#ifdef __cplusplus
}
#endif

#endif
