#ifndef HOST_RELAY_H
#define HOST_RELAY_H

#include "base/index.h"
#include "host/relay_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct relay_net - connections to other hosts
 * @send: send a batch to the host with that id; the batch may be lost without
 *	an error
 * @disconnect: close the connection to that host, which may be half-open
 */
struct relay_net {
	void (*send)(void *ctx, uint64_t to, struct str batch);
	void (*disconnect)(void *ctx, uint64_t to);
	void *ctx;
};

/**
 * struct relay_peer - another host that can make calls for this one
 *
 * All times are boot time.
 * @id: name_hash() of @name
 * @cpu_milli: its CPU, in thousandths of a core
 * @last_contact_ms: time of the last batch from it; 0 before the first one,
 *	after a new address and after a call that timed out
 * @last_sent_ms: time of the last batch to it
 * @unanswered_pings: pings sent since the last contact
 * @is_clock_known: @clock_ahead_ms holds by how much its boot time is ahead of
 *	this host's at least, by the answers since one or two periods ago;
 *	@next_ahead_ms by those since @ahead_since_ms
 * @is_draining: the peer leaves the deployment and gets no new calls
 * @avoid_until_ms: the peer gets no calls and no pings before this time
 * @is_active: it gets calls
 * @was_active: it got calls until the check that is being made
 * @seat: decides of an active peer which workers it calls; passed on to the one
 *	that replaces it
 * @memory: holds the texts of @calls
 * @calls: calls of the next batch, @count of them
 */
struct relay_peer {
	char name[NAME_SIZE];
	char address[NAME_SIZE];
	uint64_t id;
	uint32_t cpu_milli;
	int64_t last_contact_ms;
	int64_t last_sent_ms;
	uint32_t unanswered_pings;
	bool is_clock_known;
	int64_t clock_ahead_ms;
	int64_t next_ahead_ms;
	int64_t ahead_since_ms;
	bool is_draining;
	int64_t avoid_until_ms;
	bool is_active;
	bool was_active;
	uint64_t seat;
	struct arena memory;
	struct relay_call *calls;
	size_t count;
	size_t cap;
	struct relay_peer *next;
};

#define RELAY_ACTIVE_MAX 64

/**
 * struct relay - spreads an owner's calls to workers over other hosts
 *
 * Implements struct worker_ops on top of another one. Each call goes to a peer,
 * or directly to the worker while the deployment is small, no peer is usable,
 * or a relayed call to that worker got no answer a short time ago. A call whose
 * peer does not answer in time ends with ORDER_UNKNOWN.
 * @direct: calls workers directly, with @port
 * @worker_count: number of workers to be called; 0 turns relaying off
 * @peers: all peers, the strongest first
 * @active: peers that get calls
 * @slots: number of workers that the active peers can serve
 * @seq: sequence number of the last relayed call
 * @now_ms: boot time of the last tick
 * @read_ms: what had arrived by this boot time has been received: that of the
 *	last tick, or of the one before if that was long ago
 * @checked_ms: boot time of the last check of time-outs and active peers
 * @lost_calls: relayed calls that ended because the peer did not answer
 */
struct relay {
	const struct worker_ops *direct;
	void *port;
	struct relay_net net;
	uint32_t worker_count;
	struct relay_peer *peers;
	struct relay_peer *active[RELAY_ACTIVE_MAX];
	size_t active_count;
	uint32_t slots;
	struct index pending;  /* seq to struct relay_pending */
	struct index suspects; /* worker to struct relay_suspect */
	struct relay_pending *first_pending;
	struct relay_suspect *first_suspect;
	uint64_t seq;
	int64_t now_ms;
	int64_t read_ms;
	int64_t checked_ms;
	uint64_t relayed_calls;
	uint64_t direct_calls;
	uint64_t lost_calls;
};

void relay_init(struct relay *r, const struct worker_ops *direct, void *port,
		const struct relay_net *net);

/**
 * relay_finish() - end all pending calls with ORDER_UNKNOWN and free the peers
 */
void relay_finish(struct relay *r);

/**
 * relay_peer_set() - add a peer, or update its address and CPU
 * @cpu_milli: its CPU, in thousandths of a core
 *
 * Return: the peer, owned by @r.
 */
struct relay_peer *relay_peer_set(struct relay *r, const char *name,
				  const char *address, uint32_t cpu_milli);

/**
 * relay_peer_drain() - send no more calls to a peer that leaves
 *
 * Its pending calls may still be answered.
 */
void relay_peer_drain(struct relay *r, const char *name);

/**
 * relay_tick() - send batches and pings, fail calls that have timed out
 */
void relay_tick(struct relay *r, int64_t now_ms);

/**
 * relay_receive() - process a batch of answers
 * @from: id of the peer
 */
void relay_receive(struct relay *r, uint64_t from, const struct relay_batch *b);

/* The port argument of these functions is a struct relay. */
extern const struct worker_ops relay_worker_ops;

#ifdef __cplusplus
}
#endif

#endif
