#ifndef CORE_RECORD_H
#define CORE_RECORD_H

#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

enum record_kind {
	RECORD_NONE,
	RECORD_CLAIM,   /* shard: @owner claims it; @epoch is in force */
	RECORD_RELEASE, /* shard: @owner releases it */
	RECORD_ACCEPT,  /* job: accepted; it will be answered */
	RECORD_START,   /* job: @attempt is about to start on @worker */
	RECORD_OVER,    /* job: @attempt ended without a final answer */
	RECORD_FINISH,  /* job: final answer */
	RECORD_MARK,    /* shard: epoch and owner again; the claim may expire */
	RECORD_BILL,    /* shard: usage of one service owner so far */
	RECORD_JOB,     /* job: whole state; older records may expire */
	RECORD_KIND_MAX,
};

/**
 * struct record - one change to a shard or a job, as stored in the log
 * @name: host of the owner; in RECORD_BILL, the service owner
 * @open: in RECORD_JOB, bit 0: the attempt may be running; bit 1: an attempt
 *        that is over may have run
 * @digest: hash of the payload; in RECORD_BILL, the number of attempts
 *
 * Times are in milliseconds since 1970.
 */
struct record {
	uint32_t kind;
	uint64_t shard;
	uint64_t epoch;
	uint64_t owner;
	char name[NAME_SIZE];
	uint64_t job;
	uint32_t attempt;
	uint64_t worker;
	uint64_t rack;
	uint64_t boot;
	uint32_t state;
	uint32_t reason;
	uint32_t verdict;
	uint32_t failures;
	uint32_t open;
	uint32_t done;
	uint64_t progress;
	uint64_t cpu_ms;
	int64_t at_ms;
	int64_t deadline_ms;
	int64_t done_at_ms;
	uint64_t digest;
	char service[NAME_SIZE];
	char key[NAME_SIZE];
	struct str payload;
	struct str result;
};

extern const struct shape record_shape;

/**
 * struct batch - the records of one append
 * @writer: incarnation of the writer
 * @seq: sequence number of the batch, from 1, within writer and epoch
 * @epoch: epoch of the shard under which the batch was written
 */
struct batch {
	uint64_t writer;
	uint64_t seq;
	uint64_t epoch;
	struct list records; /* struct record */
};

/**
 * record_write() - append one record, encoded as JSON
 */
void record_write(const struct record *r, struct buf *out);

/**
 * batch_write() - append a batch, encoded as JSON
 * @records: output of record_write() for every record, separated by commas
 */
void batch_write(const struct batch *b, struct str records, struct buf *out);

/**
 * batch_read() - parse a batch
 * @a: holds the records
 *
 * Return: 0, or -EBADMSG.
 */
int batch_read(struct str text, struct batch *b, struct arena *a);

const char *record_kind_name(uint32_t kind);

#ifdef __cplusplus
}
#endif

#endif
