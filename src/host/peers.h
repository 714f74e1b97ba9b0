#ifndef HOST_PEERS_H
#define HOST_PEERS_H

#include <stdint.h>

#include "base/str.h"

#ifdef __cplusplus
extern "C" {
#endif

enum peers_kind {
	PEERS_CALLS,   /* to a host that makes calls for the sender */
	PEERS_ANSWERS, /* and back */
};

/**
 * peers_message_fn - a message came in, on the network thread
 */
typedef void (*peers_message_fn)(void *ctx, uint64_t from, enum peers_kind kind,
				 struct str payload);

struct peers;

/**
 * peers_start() - messages between the entry hosts
 * @port: 0 lets the system choose
 * @err: receives a negative error number when there is no result
 */
struct peers *peers_start(const char *name, const char *ip, uint16_t port,
			  peers_message_fn message, void *ctx, int *err);
void peers_stop(struct peers *p);
uint16_t peers_port(const struct peers *p);

/**
 * peers_set_address() - the address of a host; its id is name_hash() of its
 * name
 */
void peers_set_address(struct peers *p, const char *name, const char *address);
void peers_send(struct peers *p, uint64_t to, enum peers_kind kind,
		struct str payload);

/**
 * peers_drop() - close the connection to a host
 */
void peers_drop(struct peers *p, uint64_t to);

#ifdef __cplusplus
}
#endif

#endif
