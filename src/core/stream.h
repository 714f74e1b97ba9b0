#ifndef CORE_STREAM_H
#define CORE_STREAM_H

#include "core/record.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time without a reply after which the log counts as unreachable. */
#define LOG_TIMEOUT_MS 2000
/* Pending bytes above which further records wait for a later append. */
#define APPEND_BYTES_MAX (512 * 1024)

struct stream;

/**
 * struct stream_ops - callbacks of the reader of a stream
 * @load: processes the entries of a read and advances stream.next
 * @caught_up: called after each read that reached the head
 */
struct stream_ops {
	void (*load)(void *ctx, struct stream *st, const struct log_read *r);
	void (*caught_up)(void *ctx, struct stream *st);
};

/**
 * struct stream - one stream of the log: a reader and a batching writer
 * @id: identifies the stream in tokens
 * @next: offset of the next entry to process
 * @fresh_ms: time when the newest read that reached the head was sent
 * @caught_up: some read has reached the head
 * @status: status after the log's last reply or time-out
 * @status_ms: time of the last reply
 * @poll_ms: time between reads; 0 reads only on demand
 * @read_due_ms: time of the next read, 0 for none
 * @pending: encoded records that wait for the next append
 * @overflow: encoded records that @pending had no space for
 * @inflight: encoded batch that was sent last
 * @unconfirmed: @inflight has not been read back yet
 * @appending: an append waits for the log's reply
 * @resend: @inflight is not in the log and has to be sent again
 * @urgent: the next append ignores the append budget
 *
 * One batch is in flight at a time. It is confirmed when the reader reads it
 * back. A batch without a reply is sent again under the same sequence number
 * once a read shows that it is not in the log. Readers ignore a duplicate.
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
 * stream_is_idle() - test whether no record waits for append or confirmation
 */
bool stream_is_idle(const struct stream *st);

/**
 * stream_can_append() - test whether there is a batch to send now
 */
bool stream_can_append(const struct stream *st);

/**
 * stream_append() - send the next batch, or resend the unconfirmed one
 */
void stream_append(struct stream *st, int64_t now_ms);

/**
 * stream_confirm() - confirm the batch in flight if it is the one read back
 */
void stream_confirm(struct stream *st, const struct batch *b);

/**
 * stream_discard() - discard all records that are not confirmed
 *
 * Only for a writer whose records readers no longer accept.
 */
void stream_discard(struct stream *st);

/**
 * stream_schedule_read() - schedule a read for the next tick
 */
void stream_schedule_read(struct stream *st, int64_t now_ms);

/**
 * stream_tick() - send a read that is due and time out late replies
 */
void stream_tick(struct stream *st, int64_t now_ms);

/**
 * stream_on_append() - handle the log's reply to an append
 * @offset: offset of the batch; valid with LOG_OK
 *
 * A batch at the reader's next offset has no unread entry before it. It is
 * processed at once, without another read.
 */
void stream_on_append(struct stream *st, int64_t now_ms, uint32_t serial,
		      enum log_status status, uint64_t offset);
void stream_on_read(struct stream *st, int64_t now_ms, uint32_t serial,
		    const struct log_read *r);

/* A token holds the id of a stream, the operation and a serial number. */
#define TOKEN_STREAM(token) ((uint32_t)((token) >> 32))
#define TOKEN_SERIAL(token) ((uint32_t)(token)&0x7fffffffU)
#define TOKEN_IS_APPEND(token) (((token) >> 31) & 1U)

#ifdef __cplusplus
}
#endif

#endif
