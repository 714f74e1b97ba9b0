#ifndef ADAPTERS_PEER_NET_H
#define ADAPTERS_PEER_NET_H

#include <pthread.h>

#include "base/index.h"
#include "base/lock.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest message accepted, in bytes. */
#define PEER_FRAME_MAX (8 * 1024 * 1024)
/* Bytes that may wait to be sent to one host. */
#define PEER_QUEUE_MAX (16 * 1024 * 1024)
/* Shortest time between two attempts to connect to a host. */
#define PEER_CONNECT_RETRY_MS 500
/* A connection whose sent data stays unacknowledged for this long is closed. */
#define PEER_USER_TIMEOUT_MS 3000

/**
 * struct peer_sink - receiver of messages, called on the network thread
 */
struct peer_sink {
	void (*message)(void *ctx, const struct msg *m);
	void *ctx;
};

/**
 * struct peer_net - framed messages over TCP
 *
 * A frame is a length of four bytes in big-endian order, and one message. The
 * first frame in each direction of a connection is a hello with the sender's
 * name and the protocol version. Messages to a host that is unreachable are
 * dropped.
 */
struct peer_net {
	struct lock lock; /* LOCK_NET */
	uint64_t host_id;
	char name[NAME_SIZE];
	struct peer_sink sink;
	int listen_fd;
	int epoll_fd;
	int wake_fd;
	uint16_t port;
	bool stopping;
	pthread_t thread;
	struct peer_conn **conns; /* by file descriptor */
	size_t conn_cap;
	struct index by_host;
	struct index addrs; /* host id to struct peer_addr */
	struct peer_addr **addr_list;
	size_t addr_count;
};

/**
 * peer_net_start() - listen and start the network thread
 * @name: name of this host; its hash is the host id
 * @ip: address to listen on
 * @port: port to listen on; 0 lets the system choose, see peer_net.port
 *
 * Return: 0, or a negative error number.
 */
int peer_net_start(struct peer_net *n, const char *name, const char *ip,
		   uint16_t port, const struct peer_sink *sink);
void peer_net_stop(struct peer_net *n);

/**
 * peer_net_set_hosts() - add hosts, or update their addresses
 */
void peer_net_set_hosts(struct peer_net *n, const struct listed_host *hosts,
			size_t count);

/**
 * peer_net_send() - send a message without blocking, from any thread
 *
 * The message is dropped if the host has no connection and none can be opened
 * now, or if PEER_QUEUE_MAX bytes are waiting to be sent to it.
 */
void peer_net_send(struct peer_net *n, uint64_t to, const struct msg *m);

/**
 * peer_net_disconnect() - close the connection to a host, also a half-open one
 */
void peer_net_disconnect(struct peer_net *n, uint64_t host);

#ifdef __cplusplus
}
#endif

#endif
