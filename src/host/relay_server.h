#ifndef HOST_RELAY_SERVER_H
#define HOST_RELAY_SERVER_H

#include "host/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct relay_server - makes calls to workers for owners on other hosts
 *
 * It has no state except for the calls in flight: the fencing token and the
 * lease in each call limit what a worker may do.
 * @sources: hosts that have sent calls or pings
 * @calls_in_flight: calls in flight to workers
 * @leaving: the host is shutting down: pings are no longer answered, so that
 *	owners use other hosts
 * @served_calls: calls answered since the start
 */
struct relay_server {
	const struct worker_ops *ops;
	void *port;
	struct relay_net net;
	struct relay_source *sources;
	uint32_t calls_in_flight;
	bool leaving;
	int64_t now_ms;
	uint64_t served_calls;
};

void relay_server_init(struct relay_server *s, const struct worker_ops *ops,
		       void *port, const struct relay_net *net);

/**
 * relay_server_finish() - free all memory; no call may be in flight
 */
void relay_server_finish(struct relay_server *s);

/**
 * relay_server_receive() - make the calls of a batch
 * @from: id of the host that sent it
 * @b: an empty batch is a ping, which the next tick answers
 */
void relay_server_receive(struct relay_server *s, uint64_t from,
			  const struct relay_batch *b);

/**
 * relay_server_tick() - send the batches of answers that are due
 *
 * Return: milliseconds until the next call is due.
 */
int64_t relay_server_tick(struct relay_server *s, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
