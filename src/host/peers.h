#ifndef HOST_PEERS_H
#define HOST_PEERS_H

#include <stdint.h>

#include "base/str.h"

#ifdef __cplusplus
extern "C" {
#endif

enum peers_kind {
	PEERS_CALLS,   /* worker calls that the receiver makes for the sender */
	PEERS_ANSWERS, /* answers to such calls */
	PEERS_RECORDS, /* callers' records for the owner, or their outcome */
};

/**
 * peers_message_fn - receives one message, on the network thread
 * @from: id of the sending host
 * @payload: valid during the call
 */
typedef void (*peers_message_fn)(void *ctx, uint64_t from, enum peers_kind kind,
				 struct str payload);

struct peers;

/**
 * peers_start() - start the network thread, which exchanges messages with other
 *	entry hosts
 * @name: name of this host
 * @ip: address to listen on
 * @port: port to listen on; 0 lets the system choose
 * @message: called with each message, with @ctx
 * @err: set to 0 or to a negative error number
 *
 * Return: the connections, to be ended with peers_stop(); NULL on error.
 */
struct peers *peers_start(const char *name, const char *ip, uint16_t port,
			  peers_message_fn message, void *ctx, int *err);
void peers_stop(struct peers *p);

/**
 * peers_port() - get the port on which this host listens
 */
uint16_t peers_port(const struct peers *p);

/**
 * peers_set_address() - set the address of a host
 *
 * The id of a host is name_hash() of its name.
 */
void peers_set_address(struct peers *p, const char *name, const char *address);

/**
 * peers_send() - send a message to a host; it may be lost without an error
 */
void peers_send(struct peers *p, uint64_t to, enum peers_kind kind,
		struct str payload);

/**
 * peers_disconnect() - close the connection to a host
 */
void peers_disconnect(struct peers *p, uint64_t to);

#ifdef __cplusplus
}
#endif

#endif
