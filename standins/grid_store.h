#ifndef STANDINS_GRID_STORE_H
#define STANDINS_GRID_STORE_H

#include "base/buf.h"
#include "base/index.h"

/**
 * struct grid_record - one record of a partition
 * @bytes: in a keyed topic the key's length (one byte), the key and the value
 * @stored_ms: monotonic time at which it was appended
 */
struct grid_record {
	struct buf bytes;
	int64_t stored_ms;
};

/**
 * struct grid_partition - one partition of a topic
 * @name: "topic/number"
 * @first: offset of the first record that has not expired
 * @epoch: fencing epoch of the last sequenced append
 * @seq: sequence number of the last sequenced append
 * @last_append_offset: offset of the first record of the last sequenced append
 *
 * A partition has one producer, so one epoch and one sequence number are
 * enough.
 */
struct grid_partition {
	char name[NAME_SIZE * 2];
	struct grid_record *records;
	size_t first;
	size_t count;
	size_t cap;
	uint64_t epoch;
	uint64_t seq;
	uint64_t last_append_offset;
	struct grid_partition *next;
};

/**
 * struct grid_member - one member of the group
 * @expires_at_ms: monotonic time at which the membership expires unless it is
 *	renewed
 */
struct grid_member {
	char name[NAME_SIZE];
	int64_t expires_at_ms;
	struct grid_member *next;
};

/**
 * struct grid_store - in-memory model of the platform's store
 * @by_name: partitions by the hash of their name
 * @members: members of the group, in the order in which they joined
 * @generation: incremented when a member joins, leaves or expires
 * @partitions_per_topic: number of partitions that the group assigns
 *
 * The store holds partitioned logs and one group. The group assigns the
 * partitions of one topic round-robin to its members, in the order in which
 * they joined.
 */
struct grid_store {
	struct index by_name;
	struct grid_partition *partitions;
	struct grid_member *members;
	uint64_t generation;
	uint32_t partitions_per_topic;
};

/**
 * enum grid_status - result of an append
 * @GRID_FENCED: the epoch is lower than that of the partition
 * @GRID_BAD_SEQ: the sequence number is not the expected one
 * @GRID_BAD_BODY: the body is not a series of whole length-prefixed records
 */
enum grid_status {
	GRID_OK,
	GRID_FENCED,
	GRID_BAD_SEQ,
	GRID_BAD_BODY,
};

void grid_store_init(struct grid_store *s, uint32_t partitions_per_topic);
void grid_store_finish(struct grid_store *s);

/**
 * grid_store_partition() - look up a partition, and create it if it is missing
 * @part: number of the partition
 *
 * Return: the partition, owned by the store.
 */
struct grid_partition *grid_store_partition(struct grid_store *s,
					    const char *topic, uint32_t part);

/**
 * grid_partition_append() - append length-prefixed records, all or none
 * @body: records, each after its length as 4 bytes in network order
 * @has_seq: whether the producer sent @epoch and @seq
 * @first: receives the offset of the first record; with GRID_BAD_SEQ the
 *	sequence number that is expected
 *
 * A repeat of the last sequenced append, unless it is empty, adds nothing and
 * returns the offset of the original.
 */
enum grid_status grid_partition_append(struct grid_partition *p,
				       struct str body, bool has_seq,
				       uint64_t epoch, uint64_t seq,
				       int64_t now_ms, uint64_t *first);

/**
 * grid_partition_expire() - let the records that are older than a time expire
 *
 * The newest record of each key is still listed.
 */
void grid_partition_expire(struct grid_partition *p, int64_t stored_before_ms);

/**
 * grid_partition_read() - append the reply to a read to @out
 * @from: offset of the first record to return, which has not expired
 *
 * The reply holds the end offset and the start offset, 8 bytes each in network
 * order, and then the length-prefixed records.
 */
void grid_partition_read(const struct grid_partition *p, uint64_t from,
			 struct buf *out);

/**
 * grid_partition_newest() - append a page of the newest record of each key to
 * @out, as JSON, in the order of the keys
 * @after: key after which the page begins; empty for the first page
 * @page: records in a page; 0 for all
 *
 * Keys whose newest record has an empty value are left out.
 */
void grid_partition_newest(const struct grid_partition *p, struct str after,
			   size_t page, struct buf *out);

/**
 * grid_store_join() - join the group, or renew a membership
 * @ttl_ms: time after which the membership expires unless it is renewed
 * @assigned: receives the assigned partitions as a bit set
 */
void grid_store_join(struct grid_store *s, const char *member, int64_t now_ms,
		     int64_t ttl_ms, uint64_t *assigned);

/**
 * grid_store_leave() - leave the group; an unknown member is ignored
 */
void grid_store_leave(struct grid_store *s, const char *member);

#endif
