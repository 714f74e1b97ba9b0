#ifndef HOST_MEMBER_H
#define HOST_MEMBER_H

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct member - this process in the group that shares the cells
 * @name: unique to this life of the process
 * @ttl_ms: time to live that the store grants from the arrival of a join
 * @generation: last one received
 * @assigned: cells held, as a bit set
 * @assigned_until_ms: boot time until which @assigned is certain
 * @fast_until_ms: joins come quickly up to this time
 * @out_of_group: not in the group, and not to join it
 */
struct member {
	const struct store_ops *store;
	void *port;
	char name[NAME_SIZE];
	int64_t ttl_ms;
	uint64_t generation;
	uint64_t assigned;
	int64_t assigned_until_ms;
	int64_t due_ms;
	int64_t fast_until_ms;
	int64_t now_ms;
	bool joining;
	bool out_of_group;
};

void member_init(struct member *m, const struct store_ops *store, void *port,
		 const char *name, int64_t ttl_ms);
void member_tick(struct member *m, int64_t now_ms);

/**
 * member_leave() - give the cells back at once
 */
void member_leave(struct member *m);

/**
 * member_join() - join again after a leave, or for the first time
 */
void member_join(struct member *m);

#ifdef __cplusplus
}
#endif

#endif
