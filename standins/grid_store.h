#ifndef STANDINS_GRID_STORE_H
#define STANDINS_GRID_STORE_H

#include "base/buf.h"
#include "base/index.h"

/**
 * struct grid_record - one record of a partition
 */
struct grid_record {
	struct buf bytes; /* key length, key, value in a keyed topic */
};

/**
 * struct grid_partition - one partition of a topic
 * @epoch, @seq: of the producer; one producer a partition
 * @last_append_offset: offset that the last numbered append was given
 */
struct grid_partition {
	char name[NAME_SIZE * 2];
	struct grid_record *records;
	size_t count;
	size_t cap;
	uint64_t epoch;
	uint64_t seq;
	uint64_t last_append_offset;
	struct grid_partition *next;
};

struct grid_member {
	char name[NAME_SIZE];
	int64_t until_ms;
	struct grid_member *next;
};

/**
 * struct grid_store - the platform's store: logs, newest records, one group
 *
 * A group deals the partitions of one topic evenly to its members in the order
 * in which they joined.
 */
struct grid_store {
	struct index by_name;
	struct grid_partition *parts;
	struct grid_member *members;
	uint64_t generation;
	uint32_t partitions_per_topic;
};

enum grid_status {
	GRID_OK,
	GRID_FENCED,
	GRID_BAD_SEQ, /* @first holds the number that is expected */
	GRID_BAD_BODY,
};

void grid_store_init(struct grid_store *s, uint32_t partitions_per_topic);
void grid_store_finish(struct grid_store *s);
struct grid_partition *grid_store_part(struct grid_store *s, const char *topic,
				       uint32_t part);

/**
 * grid_append() - add framed records, all or nothing
 * @numbered: @epoch and @seq hold
 * @first: receives the offset of the first record
 */
enum grid_status grid_append(struct grid_partition *p, struct str body,
			     bool numbered, uint64_t epoch, uint64_t seq,
			     uint64_t *first);

/**
 * grid_read() - add the answer to a read to @out
 */
void grid_read(const struct grid_partition *p, uint64_t from, struct buf *out);

/**
 * grid_newest() - add the newest record of each key as JSON
 */
void grid_newest(const struct grid_partition *p, struct buf *out);

/**
 * grid_join() - join or stay, and say what is held
 * @held: receives a bit set of partitions
 */
void grid_join(struct grid_store *s, const char *member, int64_t now_ms,
	       int64_t ttl_ms, uint64_t *held);
void grid_leave(struct grid_store *s, const char *member);

#endif
