#ifndef HOST_MEMBER_H
#define HOST_MEMBER_H

#include "ports/cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct member - membership of this process in the group that shares the
 *	cells
 *
 * Joins serve as membership heartbeats. All times are boot time.
 * @name: member name, unique to one start of the process
 * @ttl_ms: time to live that the store grants from the arrival of a join
 * @generation: last group generation received; 0 before the first reply and
 *	after a leave
 * @assigned: cells assigned to this member, as a bit set
 * @assigned_until_ms: time until which @assigned is valid, unless the store
 *	assigns all cells anew
 * @listed_ms: sending time of the last answered join whose answer lists all of
 *	@assigned, in @generation: since that began, no other member held them
 *	before
 * @retained: cells that this member gives up only with its membership, as a bit
 *	set: a cell that the group assigns to another member is handed over once
 *	this one has joined with the new generation, so it joins with the one
 *	before
 * @declined: newest generation that was not adopted for this reason
 * @due_ms: time of the next join
 * @release_due_ms: a member that has lost a cell joins no sooner than this
 * @fast_until_ms: joins use the short interval until this time
 * @join_in_flight: a join is in flight
 * @out_of_group: not in the group; no joins are sent
 */
struct member {
	const struct store_ops *store;
	void *port;
	char name[NAME_SIZE];
	int64_t ttl_ms;
	uint64_t generation;
	uint64_t assigned;
	int64_t assigned_until_ms;
	int64_t listed_ms;
	uint64_t retained;
	uint64_t declined;
	int64_t due_ms;
	int64_t release_due_ms;
	int64_t fast_until_ms;
	int64_t now_ms;
	bool join_in_flight;
	bool out_of_group;
};

void member_init(struct member *m, const struct store_ops *store, void *port,
		 const char *name, int64_t ttl_ms);

/**
 * member_tick() - send a join when one is due
 */
void member_tick(struct member *m, int64_t now_ms);

/**
 * member_leave() - leave the group and release all cells at once
 */
void member_leave(struct member *m);

/**
 * member_join() - join the group at the next tick, for the first time or after
 *	a leave
 */
void member_join(struct member *m);

#ifdef __cplusplus
}
#endif

#endif
