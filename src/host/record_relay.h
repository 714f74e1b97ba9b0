#ifndef HOST_RECORD_RELAY_H
#define HOST_RECORD_RELAY_H

#include "host/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef void (*records_done)(void *ctx, enum store_status status);

/**
 * struct record_relay_ops - the owner of the cell on this host
 * @accept: add framed records to the owner's next append; when its outcome is
 *	known, record_relay_answer() is called with @from and @seq. False: this
 *	host does not own the cell, and nothing was done.
 * @withdraw: drop accepted records that no append has held yet; true if they
 *	are dropped, so that they are never stored and @seq gets no other
 *	answer. False: they are in an append, or not known; nothing was done.
 */
struct record_relay_ops {
	bool (*accept)(void *ctx, uint64_t from, uint64_t seq,
		       struct str records);
	bool (*withdraw)(void *ctx, uint64_t from, uint64_t seq);
};

/**
 * struct record_relay - callers' records that hosts pass to the owner of the
 * cell, which stores them with its own append
 * @net: sends messages to other hosts
 * @ops: called with @ctx
 * @self: id of this host; records to it are passed without a message
 * @seq: number of the last batch sent; begins at a number that no earlier
 *	process of this host has used, whose answers may still arrive
 * @first_pending: batches without an outcome
 * @sent: batches passed to an owner, and @lost of them got no answer
 * @now_ms: boot time of the last tick
 * @asked: the owner that records were sent to last
 * @asked_ms: boot time of the first of them since a message from it has
 *	arrived; 0 if none was sent since
 *
 * A record may be stored twice when a batch gets no answer and its sender
 * appends it again. That is harmless: of several equal records the first one
 * counts.
 */
struct record_relay {
	struct relay_net net;
	const struct record_relay_ops *ops;
	void *ctx;
	uint64_t self;
	uint64_t seq;
	struct forwarded_batch *first_pending;
	uint64_t sent;
	uint64_t lost;
	int64_t now_ms;
	uint64_t asked;
	int64_t asked_ms;
};

void record_relay_init(struct record_relay *r, const struct relay_net *net,
		       const struct record_relay_ops *ops, void *ctx,
		       uint64_t self);

/**
 * record_relay_finish() - end all pending batches with STORE_UNKNOWN
 */
void record_relay_finish(struct record_relay *r);

/**
 * record_relay_send() - pass records to the owner
 * @owner: id of the host
 * @done: called once with the outcome: STORE_OK, STORE_REFUSED when nothing was
 *	stored, or STORE_UNKNOWN; never from within this call
 *
 * Return: number of the batch, for record_relay_withdraw().
 */
uint64_t record_relay_send(struct record_relay *r, uint64_t owner,
			   struct str records, records_done done, void *ctx);

/**
 * record_relay_withdraw() - ask the owner with the next tick to drop a batch
 * that it has not appended
 *
 * If the owner drops it, the outcome is STORE_REFUSED. Else, and when the
 * question or its answer is lost, the outcome is the same as without it.
 */
void record_relay_withdraw(struct record_relay *r, uint64_t seq);

/**
 * record_relay_abandon() - stop waiting for an owner that another host has
 * replaced
 */
void record_relay_abandon(struct record_relay *r);

/**
 * record_relay_receive() - handle a message of another host
 *
 * Return: 0, or -EBADMSG when it cannot be decoded.
 */
int record_relay_receive(struct record_relay *r, uint64_t from,
			 struct str message);

/**
 * record_relay_answer() - tell a host the outcome of its records
 */
void record_relay_answer(struct record_relay *r, uint64_t from, uint64_t seq,
			 enum store_status status);

/**
 * record_relay_tick() - send the withdrawals, one message for each owner, and
 * end the batches that are answered or got no answer in time
 */
void record_relay_tick(struct record_relay *r, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
