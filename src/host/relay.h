#ifndef HOST_RELAY_H
#define HOST_RELAY_H

#include "base/index.h"
#include "host/relay_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct relay_net - how batches travel between hosts
 * @send: to the host of that id; a batch may be lost without a word
 * @drop: close the connection to it, which may have gone silent
 */
struct relay_net {
	void (*send)(void *ctx, uint64_t to, struct str batch);
	void (*drop)(void *ctx, uint64_t to);
	void *ctx;
};

/**
 * struct relay_peer - another host that can make calls for this one
 * @cpu_milli: its processor, thousandths of a core
 * @heard_ms: when it said something last; 0 for never
 * @unheard: questions that it has not answered
 * @left: it has said that it goes
 * @avoid_ms: not used before that time
 * @share: workers that it serves up to the next peer's, in the row of active
 *	peers
 */
struct relay_peer {
	char name[NAME_SIZE];
	char address[NAME_SIZE];
	uint64_t id;
	uint32_t cpu_milli;
	int64_t heard_ms;
	int64_t asked_ms;
	uint32_t unheard;
	bool left;
	int64_t avoid_ms;
	uint32_t share;
	struct arena memory;
	struct relay_call *calls;
	size_t count;
	size_t cap;
	struct relay_peer *next;
};

#define RELAY_ACTIVE_MAX 64

/**
 * struct relay - an owner's calls to workers, spread over other hosts
 *
 * It is a struct worker_ops over another: each call goes to a peer, or straight
 * to the worker while the deployment is small, no peer is there, or the last
 * call for that worker that went through a peer got no answer. A call whose
 * peer falls silent ends as one without an answer.
 * @workers: that the calls are for; 0 turns it off
 */
struct relay {
	const struct worker_ops *direct;
	void *port;
	struct relay_net net;
	uint32_t workers;
	struct relay_peer *peers;
	struct relay_peer *active[RELAY_ACTIVE_MAX];
	size_t active_count;
	uint32_t slots;
	struct index pending;  /* seq to struct relay_pending */
	struct index suspects; /* worker to struct relay_suspect */
	struct relay_pending *first;
	struct relay_suspect *first_suspect;
	uint64_t seq;
	int64_t now_ms;
	int64_t checked_ms;
	uint64_t relayed;
	uint64_t straight;
	uint64_t lost;
};

void relay_init(struct relay *r, const struct worker_ops *direct, void *port,
		const struct relay_net *net);

/**
 * relay_finish() - calls that are open end without an answer
 */
void relay_finish(struct relay *r);

/**
 * relay_peer_set() - learn of a host, or of its new address
 */
struct relay_peer *relay_peer_set(struct relay *r, const char *name,
				  const char *address, uint32_t cpu_milli);

/**
 * relay_peer_drain() - a host goes; its open calls are still waited for
 */
void relay_peer_drain(struct relay *r, const char *name);

/**
 * relay_tick() - send what waits, give up what is out of time
 */
void relay_tick(struct relay *r, int64_t now_ms);

/**
 * relay_receive() - a batch of answers
 */
void relay_receive(struct relay *r, uint64_t from, const struct relay_batch *b);

/* The port of these is a struct relay. */
extern const struct worker_ops relay_worker_ops;

#ifdef __cplusplus
}
#endif

#endif
