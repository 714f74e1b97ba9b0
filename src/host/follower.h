#ifndef HOST_FOLLOWER_H
#define HOST_FOLLOWER_H

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct follower_ops - receives the records of a keyed partition
 * @begin: a listing of the newest record of each key follows
 * @apply: one record, in the order of offsets
 * @end: the listing is whole: keys that were not in it do not exist
 */
struct follower_ops {
	void (*begin)(void *ctx);
	void (*apply)(void *ctx, const struct store_record *r);
	void (*end)(void *ctx);
};

/**
 * struct follower - keeps up with one partition of a keyed topic
 * @wait_ms: how long the store may hold back an answer that has no records
 * @read_gap_ms: pause between an answer and the next read
 * @next: offset of the next record
 * @caught_up_ms: all records that were in the store at this boot time are
 * known; 0 before the first listing
 * @loaded: a listing has been taken in
 */
struct follower {
	const struct store_ops *store;
	void *port;
	const struct follower_ops *ops;
	void *ctx;
	char topic[NAME_SIZE];
	uint32_t part;
	uint32_t wait_ms;
	int64_t read_gap_ms;
	uint64_t next;
	int64_t caught_up_ms;
	bool loaded;
	bool stopped;
	bool list_in_flight;
	bool read_in_flight;
	bool probe_in_flight;
	uint32_t failures;
	int64_t due_ms;
	int64_t now_ms;
	uint64_t list_end_offset;
	int64_t list_sent_ms;
	struct arena listed_memory;
	struct store_record *listed;
	size_t listed_count;
	size_t listed_cap;
};

void follower_init(struct follower *f, const struct store_ops *store,
		   void *port, const char *topic, uint32_t part,
		   const struct follower_ops *ops, void *ctx);
void follower_finish(struct follower *f);

/**
 * follower_start() - list the partition anew and follow it
 */
void follower_start(struct follower *f, int64_t now_ms);

/**
 * follower_stop() - take in nothing more; calls that are out end silently
 */
void follower_stop(struct follower *f);
void follower_tick(struct follower *f, int64_t now_ms);

/**
 * follower_probe() - ask now for what is new, beside a read that waits
 */
void follower_probe(struct follower *f);

/**
 * follower_is_fresh() - whether the last answer is at most so old
 */
bool follower_is_fresh(const struct follower *f, int64_t now_ms,
		       int64_t age_ms);

#ifdef __cplusplus
}
#endif

#endif
