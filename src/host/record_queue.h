#ifndef HOST_RECORD_QUEUE_H
#define HOST_RECORD_QUEUE_H

#include "base/buf.h"
#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * record_outcome - receives what became of the records of a host
 * @from: id of the host, and @seq its number of them
 */
typedef void (*record_outcome)(void *ctx, uint64_t from, uint64_t seq,
			       enum store_status status);

/**
 * struct record_queue - records of other hosts that the owner appends for them
 * @waiting: framed records for the next batch
 * @sets: records of a host each, in the current batch or in @waiting, the
 *	newest first
 * @done: called with @ctx and the outcome of each set
 */
struct record_queue {
	struct buf waiting;
	struct record_set *sets;
	record_outcome done;
	void *ctx;
};

void record_queue_init(struct record_queue *q, record_outcome done, void *ctx);
/* Without an outcome for what is left. */
void record_queue_finish(struct record_queue *q);

void record_queue_add(struct record_queue *q, uint64_t from, uint64_t seq,
		      struct str records);

/**
 * record_queue_withdraw() - take waiting records back; they get no outcome
 *
 * Return: false if they are in the current batch, so that they may be stored,
 * or not known.
 */
bool record_queue_withdraw(struct record_queue *q, uint64_t from, uint64_t seq);

/**
 * record_queue_take() - move waiting records to the end of a batch
 * @share: greatest number of bytes to take, unless the records that have waited
 *	longest are longer; 0 for no limit
 *
 * Return: number of bytes moved.
 */
size_t record_queue_take(struct record_queue *q, size_t share,
			 struct buf *batch);

/* Ends the records of the current batch with @status. */
void record_queue_end_batch(struct record_queue *q, enum store_status status);

/* Ends the records that wait for the next batch as refused: they were never
 * sent. */
void record_queue_refuse_waiting(struct record_queue *q);

#ifdef __cplusplus
}
#endif

#endif
