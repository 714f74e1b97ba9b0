#include "host/peers.h"

#include <stdlib.h>

#include "adapters/peer_net.h"
#include "core/msg.h"

struct peers {
	struct peer_net net;
	peers_message_fn on_message;
	void *ctx;
};

/* Kind of the message on the wire, by enum peers_kind. */
static const uint32_t kinds[] = {MSG_RELAY, MSG_RELAYED, MSG_RECORDS};

static void on_message(void *ctx, const struct msg *m)
{
	struct peers *p = ctx;

	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		if (m->kind == kinds[i])
			p->on_message(p->ctx, m->from, (enum peers_kind)i,
				      m->payload);
}

struct peers *peers_start(const char *name, const char *ip, uint16_t port,
			  peers_message_fn message, void *ctx, int *err)
{
	struct peers *p = xcalloc(1, sizeof(*p));
	struct peer_sink sink = {on_message, p};

	p->on_message = message;
	p->ctx = ctx;
	*err = peer_net_start(&p->net, name, ip, port, &sink);
	if (!*err)
		return p;
	free(p);
	return NULL;
}

void peers_stop(struct peers *p)
{
	peer_net_stop(&p->net);
	free(p);
}

uint16_t peers_port(const struct peers *p)
{
	return p->net.port;
}

void peers_set_address(struct peers *p, const char *name, const char *address)
{
	struct listed_host h = {0};

	h.id = name_hash(name);
	name_set(h.name, name);
	name_set(h.addr, address);
	peer_net_set_hosts(&p->net, &h, 1);
}

void peers_send(struct peers *p, uint64_t to, enum peers_kind kind,
		struct str payload)
{
	struct msg m = {0};

	m.kind = kinds[kind];
	m.payload = payload;
	peer_net_send(&p->net, to, &m);
}

void peers_disconnect(struct peers *p, uint64_t to)
{
	peer_net_disconnect(&p->net, to);
}
