#ifndef HOST_FLEET_H
#define HOST_FLEET_H

#include "base/index.h"
#include "host/follower.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TOPIC_HOSTS "keyed.hosts"

/**
 * struct fleet_ops - callbacks for changes in the list of the other hosts
 * @host_announced: a host has announced itself; also called again for a known
 *	host, with its address and its CPU in thousandths of a core
 * @host_removed: a host has withdrawn its record
 */
struct fleet_ops {
	void (*host_announced)(void *ctx, const char *name, const char *address,
			       uint32_t cpu_milli);
	void (*host_removed)(void *ctx, const char *name);
};

/**
 * struct fleet - announces this host in the store and follows the host list
 * @name: name of this host, the key of its record
 * @address: address that other hosts connect to; empty until this host listens
 * @cpu_milli: CPU of this host, in thousandths of a core
 * @announce_in_flight: the append of this host's record is in flight
 * @announced: this host's record is in the store
 * @leaving: the withdrawal of this host's record has been sent
 * @older: the announced hosts of builds that do not raise fences, by
 *	name_hash()
 * @unlike_ms: boot time at which that was not known, or there was one, last
 * @due_ms: earliest boot time of the next announcement
 * @host_follower: follower of the host list; stopped while the list is not
 *	needed
 */
struct fleet {
	const struct store_ops *store;
	void *port;
	char name[NAME_SIZE];
	char address[NAME_SIZE];
	uint32_t cpu_milli;
	bool announce_in_flight;
	bool announced;
	bool leaving;
	struct index older;
	int64_t unlike_ms;
	int64_t due_ms;
	int64_t now_ms;
	struct follower host_follower;
	const struct fleet_ops *ops;
	void *ctx;
};

void fleet_init(struct fleet *f, const struct store_ops *store, void *port,
		const struct fleet_ops *ops, void *ctx);
void fleet_finish(struct fleet *f);

/**
 * fleet_tick() - announce this host, and follow the host list if needed
 * @follow: whether the host list is needed
 */
void fleet_tick(struct fleet *f, bool follow, int64_t now_ms);

/**
 * fleet_raises_fences() - whether each announced host is of a build that raises
 * fences, see cell_raise_fences(), and has been for some time
 */
bool fleet_raises_fences(const struct fleet *f);

/**
 * fleet_leave() - withdraw this host's record before the process ends
 */
void fleet_leave(struct fleet *f);

#ifdef __cplusplus
}
#endif

#endif
