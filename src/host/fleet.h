#ifndef HOST_FLEET_H
#define HOST_FLEET_H

#include "base/index.h"
#include "host/follower.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TOPIC_HOSTS "keyed.hosts"

/**
 * struct fleet_ops - told of the other hosts
 */
struct fleet_ops {
	void (*present)(void *ctx, const char *name, const char *address,
			uint32_t cpu_milli);
	void (*gone)(void *ctx, const char *name);
};

/**
 * struct fleet - the hosts of the deployment, as they announce themselves
 * @announced: our own record is in the store
 * @hosts: follower of the list, run while somebody wants it
 */
struct fleet {
	const struct store_ops *store;
	void *port;
	char name[NAME_SIZE];
	char address[NAME_SIZE];
	uint32_t cpu_milli;
	bool announcing;
	bool announced;
	bool leaving;
	int64_t due_ms;
	int64_t now_ms;
	struct follower hosts;
	const struct fleet_ops *ops;
	void *ctx;
};

void fleet_init(struct fleet *f, const struct store_ops *store, void *port,
		const struct fleet_ops *ops, void *ctx);
void fleet_finish(struct fleet *f);

/**
 * fleet_tick() - announce this host, and follow the list
 * @follow: whether the list is wanted
 */
void fleet_tick(struct fleet *f, bool follow, int64_t now_ms);

/**
 * fleet_leave() - take our record back: the process ends
 */
void fleet_leave(struct fleet *f);

#ifdef __cplusplus
}
#endif

#endif
