#ifndef HOST_FOLLOWER_H
#define HOST_FOLLOWER_H

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct follower_ops - receives the records of a keyed partition
 * @begin: called before a listing of the newest record of each key is applied
 * @apply: called for each record, in the order of offsets
 * @end: called after a complete listing; keys that were not in it do not exist
 * @newest_only: only the newest record of a key counts: one that a later record
 *	of the same reply replaces is not applied, and a follower that is behind
 *	lists the partition instead of reading all that it has missed
 * @is_refreshed: each key that exists is written again periodically: a listing
 *	that the store does not let go on is applied without @end, and what it
 *	lacks is read
 */
struct follower_ops {
	void (*begin)(void *ctx);
	void (*apply)(void *ctx, const struct store_record *r);
	void (*end)(void *ctx);
	bool newest_only;
	bool is_refreshed;
};

/**
 * struct follower - reads one partition of a keyed topic as it grows
 *
 * It lists the newest record of each key, then reads on from there. It lists
 * the partition again when the records to be read next have been trimmed.
 * @port: first argument of the functions of @store
 * @wait_ms: long poll: how long the store may delay a reply without records
 * @read_gap_ms: pause between a reply that reached the end of the partition
 *	and the next read
 * @next: offset of the next record to be read
 * @caught_up_ms: all records that were in the store at this boot time are
 *	known; 0 before the first listing
 * @held: no call is started; one that is in flight goes on
 * @loaded: a listing has been applied, and reads go on from its end
 * @stopped: nothing is read, and replies are ignored
 * @extra_read_in_flight: a read by follower_read_now() has no reply yet
 * @extra_pause_ms: least pause before the next such read, while the store
 *	refuses them; it is not sent before @extra_due_ms
 * @confirming: the next read does not wait for records: it is to tell whether
 *	those of the last reply are the newest
 * @failures: failed reads and listings since the last successful one
 * @unconnected: the last call failed as no connection was made
 * @failed_ms: boot time of the first of these failures
 * @answered_ms: boot time of the last successful reply
 * @reply_bytes: length of the last successful reply
 * @reply_end: end of the partition, as that reply tells it
 * @reply_took_ms: time from the call to that reply
 * @due_ms: earliest boot time of the next read or listing
 * @is_listing: pages of a listing have been read, and more follow
 * @list_after: key after which the next page begins; owned by @listed_memory
 * @list_pages: pages of the listing that have been read
 * @list_checkpoint: last key of an earlier page; where a page ends with it
 *	again, the listing goes round in a cycle
 * @list_end_offset: end of the partition at the first page of the listing
 * @list_sent_ms: when that page was requested, boot time
 * @list_began_ms: time of the tick that requested it
 * @listed_memory: holds the keys and values of @listed
 * @listed: records of the pages read so far
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
	bool held;
	bool loaded;
	bool stopped;
	bool list_in_flight;
	bool read_in_flight;
	bool extra_read_in_flight;
	int64_t extra_pause_ms;
	int64_t extra_due_ms;
	bool confirming;
	uint32_t failures;
	bool unconnected;
	int64_t failed_ms;
	int64_t answered_ms;
	size_t reply_bytes;
	uint64_t reply_end;
	int64_t reply_took_ms;
	int64_t due_ms;
	int64_t now_ms;
	bool is_listing;
	struct str list_after;
	uint32_t list_pages;
	struct str list_checkpoint;
	uint64_t list_end_offset;
	int64_t list_sent_ms;
	int64_t list_began_ms;
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
 * follower_start() - list the partition from the start and follow it
 */
void follower_start(struct follower *f, int64_t now_ms);

/**
 * follower_stop() - stop reading; replies to calls in flight are ignored
 */
void follower_stop(struct follower *f);
void follower_tick(struct follower *f, int64_t now_ms);

/**
 * follower_read_now() - read new records without waiting for a long poll that
 *	is in flight
 *
 * Does nothing within a pause that follows reads which the store has refused.
 */
void follower_read_now(struct follower *f);

/**
 * follower_is_fresh() - test whether all records older than @age_ms are known
 */
bool follower_is_fresh(const struct follower *f, int64_t now_ms,
		       int64_t age_ms);

#ifdef __cplusplus
}
#endif

#endif
