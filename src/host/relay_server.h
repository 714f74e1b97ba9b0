#ifndef HOST_RELAY_SERVER_H
#define HOST_RELAY_SERVER_H

#include "host/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct relay_server - makes calls to workers for the owner on another host
 *
 * It keeps nothing beyond the calls that are open: what a worker may do is
 * bounded by the fence and the lease in each call.
 * @sources: hosts that calls came from
 * @open: calls that a worker has not answered
 * @leaving: says no more that it is there, so that owners turn elsewhere
 */
struct relay_server {
	const struct worker_ops *ops;
	void *port;
	struct relay_net net;
	struct relay_source *sources;
	uint32_t open;
	bool leaving;
	int64_t now_ms;
	uint64_t served;
};

void relay_server_init(struct relay_server *s, const struct worker_ops *ops,
		       void *port, const struct relay_net *net);

/**
 * relay_server_finish() - end; no call may be open
 */
void relay_server_finish(struct relay_server *s);

/**
 * relay_server_receive() - a batch of calls
 */
void relay_server_receive(struct relay_server *s, uint64_t from,
			  const struct relay_batch *b);

/**
 * relay_server_tick() - send the answers that wait
 *
 * Return: milliseconds until it wants to be called again.
 */
int64_t relay_server_tick(struct relay_server *s, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
