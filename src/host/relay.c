#include "host/relay.h"

#include <inttypes.h>
#include <stdlib.h>

#include "adapters/clock.h"
#include "base/logger.h"

/* Workers below which an owner makes its calls itself: 150 of them take a
 * tenth of a core. */
#define WORKERS_MIN 150
/* Workers that a host of one core serves beside its own work: each takes less
 * than a thousandth of a core. */
#define WORKERS_PER_CORE 200
#define MILLI 1000
/* A peer is asked whether it is there so often, and taken to be while it has
 * been heard within three of these. */
#define ASK_PERIOD_MS 600
#define HEARD_WITHIN_MS 1800
/* A peer that let a call run out of time is left alone for so long. */
#define AVOID_MS 4000
/* A worker is called straight for so long after a call that got no answer. */
#define SUSPECT_MS 5000
/* A peer gives an order up after 900 ms, and its answer has to come back. */
#define ORDER_DUE_MS 1400
#define CHECK_PERIOD_MS 50
/* Questions without an answer after which a connection is given up. */
#define UNHEARD_MAX 6
#define CALLS_FIRST 16

struct relay_pending {
	uint64_t seq;
	struct relay_peer *peer;
	struct worker_addr worker;
	struct task_ref ref;
	order_done done;
	poll_done held;
	void *ctx;
	int64_t sent_ms;
	int64_t due_ms;
	struct relay_pending *next;
	struct relay_pending *prev;
};

struct relay_suspect {
	int64_t until_ms;
	struct relay_suspect *next;
};

void relay_init(struct relay *r, const struct worker_ops *direct, void *port,
		const struct relay_net *net)
{
	memset(r, 0, sizeof(*r));
	r->direct = direct;
	r->port = port;
	r->net = *net;
	index_init(&r->pending);
	index_init(&r->suspects);
}

static void unlist(struct relay *r, struct relay_pending *p)
{
	index_remove(&r->pending, p->seq);
	if (p->prev)
		p->prev->next = p->next;
	else
		r->first = p->next;
	if (p->next)
		p->next->prev = p->prev;
}

static void suspect(struct relay *r, const struct relay_pending *p)
{
	uint64_t id = name_hash(p->worker.id);
	struct relay_suspect *s = index_get(&r->suspects, id);

	if (!s) {
		s = xcalloc(1, sizeof(*s));
		s->next = r->first_suspect;
		r->first_suspect = s;
		index_put(&r->suspects, id, s);
	}
	s->until_ms = r->now_ms + SUSPECT_MS;
}

static bool is_suspect(struct relay *r, const char *worker)
{
	const struct relay_suspect *s =
		index_get(&r->suspects, name_hash(worker));

	return s && r->now_ms < s->until_ms;
}

static void end_unknown(struct relay *r, struct relay_pending *p)
{
	struct order_reply o = {ORDER_UNKNOWN, 0};
	struct poll_reply h = {0};

	h.status = ORDER_UNKNOWN;
	h.sent_ms = p->sent_ms;
	r->lost++;
	suspect(r, p);
	unlist(r, p);
	if (p->held)
		p->held(p->ctx, &p->worker, &h);
	else
		p->done(p->ctx, &p->worker, &p->ref, &o);
	free(p);
}

/* A callback may make calls, which go to the front of the list. */
static void end_calls_of(struct relay *r, const struct relay_peer *peer)
{
	struct relay_pending *p, *next;

	for (p = r->first; p; p = next) {
		next = p->next;
		if (p->peer == peer)
			end_unknown(r, p);
	}
}

static void peer_free(struct relay_peer *p)
{
	arena_finish(&p->memory);
	free(p->calls);
	free(p);
}

static struct relay_peer *peer_of(const struct relay *r, uint64_t id)
{
	struct relay_peer *p;

	for (p = r->peers; p && p->id != id; p = p->next)
		;
	return p;
}

struct relay_peer *relay_peer_set(struct relay *r, const char *name,
				  const char *address, uint32_t cpu_milli)
{
	struct relay_peer *p = peer_of(r, name_hash(name));
	struct relay_peer **at;

	if (!p) {
		p = xcalloc(1, sizeof(*p));
		p->id = name_hash(name);
		name_set(p->name, name);
		arena_init(&p->memory);
		/* Strong hosts first; among equals by id, as on all hosts. */
		for (at = &r->peers; *at && ((*at)->cpu_milli > cpu_milli ||
					     ((*at)->cpu_milli == cpu_milli &&
					      (*at)->id < p->id));
		     at = &(*at)->next)
			;
		p->next = *at;
		*at = p;
	}
	if (strcmp(p->address, address)) {
		p->heard_ms = 0;
		p->avoid_ms = 0;
	}
	p->left = false;
	p->cpu_milli = cpu_milli;
	name_set(p->address, address);
	return p;
}

static void drop_active(struct relay *r, const struct relay_peer *p)
{
	size_t i;

	for (i = 0; i < r->active_count; i++)
		if (r->active[i] == p) {
			/* The rest is dealt anew at the next check. */
			r->active_count = 0;
			r->slots = 0;
			r->checked_ms = 0;
		}
}

void relay_peer_leaves(struct relay *r, const char *name)
{
	struct relay_peer *p = peer_of(r, name_hash(name));

	if (!p)
		return;
	p->left = true;
	drop_active(r, p);
}

void relay_finish(struct relay *r)
{
	while (r->first)
		end_unknown(r, r->first);
	while (r->peers) {
		struct relay_peer *p = r->peers;

		r->peers = p->next;
		peer_free(p);
	}
	while (r->first_suspect) {
		struct relay_suspect *s = r->first_suspect;

		r->first_suspect = s->next;
		free(s);
	}
	index_finish(&r->pending);
	index_finish(&r->suspects);
}

static void flush(struct relay *r, struct relay_peer *p)
{
	struct relay_batch batch = {{p->calls, p->count}, {NULL, 0}};
	struct str text;
	struct buf b;

	buf_init(&b);
	shape_write(&relay_batch_shape, &batch, &b);
	text.data = b.data;
	text.len = b.len;
	r->net.send(r->net.ctx, p->id, text);
	buf_finish(&b);
	p->count = 0;
	arena_finish(&p->memory);
	arena_init(&p->memory);
	p->asked_ms = r->now_ms;
}

static bool is_there(const struct relay *r, const struct relay_peer *p)
{
	return !p->left && p->heard_ms &&
	       r->now_ms - p->heard_ms <= HEARD_WITHIN_MS &&
	       r->now_ms >= p->avoid_ms;
}

/* As many of the strongest peers as the workers need. */
static void choose_active(struct relay *r)
{
	struct relay_peer *p;

	r->active_count = 0;
	r->slots = 0;
	if (r->workers < WORKERS_MIN)
		return;
	for (p = r->peers;
	     p && r->slots < r->workers && r->active_count < RELAY_ACTIVE_MAX;
	     p = p->next) {
		if (!is_there(r, p))
			continue;
		r->slots += p->cpu_milli * WORKERS_PER_CORE / MILLI;
		p->share = r->slots;
		r->active[r->active_count++] = p;
	}
}

static void give_up(struct relay *r, struct relay_peer *p)
{
	log_line(LOG_WARN, "relay gave no answer",
		 "peer=%s heard_ms_ago=%" PRId64, p->name,
		 p->heard_ms ? r->now_ms - p->heard_ms : -1);
	p->avoid_ms = r->now_ms + AVOID_MS;
	p->heard_ms = 0;
	drop_active(r, p);
	r->net.drop(r->net.ctx, p->id);
	end_calls_of(r, p);
}

static void expire(struct relay *r)
{
	struct relay_pending *p, *late = NULL;

	do {
		for (p = r->first, late = NULL; p && !late; p = p->next)
			if (r->now_ms >= p->due_ms)
				late = p;
		if (late)
			give_up(r, late->peer);
	} while (late);
}

static bool is_to_be_asked(struct relay *r, struct relay_peer *p)
{
	if (r->workers < WORKERS_MIN || p->left || r->now_ms < p->avoid_ms ||
	    r->now_ms - p->asked_ms < ASK_PERIOD_MS)
		return false;
	if (++p->unheard <= UNHEARD_MAX)
		return true;
	/* The connection may be one that leads nowhere. */
	r->net.drop(r->net.ctx, p->id);
	p->unheard = 0;
	p->avoid_ms = r->now_ms + AVOID_MS;
	return false;
}

void relay_tick(struct relay *r, int64_t now_ms)
{
	struct relay_peer *p;

	r->now_ms = now_ms;
	if (now_ms - r->checked_ms >= CHECK_PERIOD_MS) {
		r->checked_ms = now_ms;
		expire(r);
		choose_active(r);
	}
	for (p = r->peers; p; p = p->next)
		if (p->count || is_to_be_asked(r, p))
			flush(r, p);
}

static struct relay_peer *peer_for(struct relay *r, const char *worker)
{
	uint32_t slots = r->slots > r->workers ? r->slots : r->workers, slot;
	size_t i;

	if (!r->active_count || is_suspect(r, worker))
		return NULL;
	slot = (uint32_t)(name_hash(worker) % slots);
	for (i = 0; i < r->active_count; i++)
		if (slot < r->active[i]->share)
			return r->active[i];
	return NULL;
}

static struct relay_call *call_add(struct relay *r, struct relay_peer *peer,
				   const struct worker_addr *w,
				   enum relay_op op)
{
	struct relay_call *c;

	if (peer->count == peer->cap) {
		peer->cap = peer->cap ? peer->cap * 2 : CALLS_FIRST;
		peer->calls =
			xrealloc(peer->calls, peer->cap * sizeof(*peer->calls));
	}
	c = &peer->calls[peer->count++];
	memset(c, 0, sizeof(*c));
	c->seq = ++r->seq;
	c->op = op;
	name_set(c->worker, w->id);
	name_set(c->address, w->address);
	r->relayed++;
	return c;
}

static struct relay_pending *pending_add(struct relay *r,
					 struct relay_peer *peer,
					 const struct worker_addr *w, void *ctx)
{
	struct relay_pending *p = xcalloc(1, sizeof(*p));

	p->seq = r->seq;
	p->peer = peer;
	p->worker = *w;
	p->ctx = ctx;
	p->sent_ms = clock_boot_ms();
	p->due_ms = p->sent_ms + ORDER_DUE_MS;
	p->next = r->first;
	if (r->first)
		r->first->prev = p;
	r->first = p;
	index_put(&r->pending, p->seq, p);
	return p;
}

/* Return: false when the call is to go straight to the worker. */
static bool send_order(struct relay *r, const struct worker_addr *w,
		       const struct order *o, enum relay_op op, order_done done,
		       void *ctx)
{
	struct relay_peer *peer = peer_for(r, w->id);
	struct relay_pending *p;
	struct relay_call *c;

	if (!peer) {
		r->straight++;
		return false;
	}
	c = call_add(r, peer, w, op);
	c->job = o->ref.job;
	c->occurrence = o->ref.occurrence;
	c->step = o->ref.step;
	c->index = o->ref.index;
	c->run = o->ref.run;
	c->fence = o->fence;
	c->deadline = o->lease_deadline_ms;
	c->percent = o->speed_percent;
	c->spec = arena_str(&peer->memory, o->spec.data ? o->spec.data : "",
			    o->spec.len);
	if (o->checkpoint)
		c->checkpoint = arena_str(&peer->memory, o->checkpoint,
					  strlen(o->checkpoint));
	p = pending_add(r, peer, w, ctx);
	p->ref = o->ref;
	p->done = done;
	return true;
}

static void relay_start(void *port, const struct worker_addr *w,
			const struct order *o, order_done done, void *ctx)
{
	struct relay *r = port;

	if (!send_order(r, w, o, RELAY_START, done, ctx))
		r->direct->start(r->port, w, o, done, ctx);
}

static void relay_stop(void *port, const struct worker_addr *w,
		       const struct order *o, order_done done, void *ctx)
{
	struct relay *r = port;

	if (!send_order(r, w, o, RELAY_STOP, done, ctx))
		r->direct->stop(r->port, w, o, done, ctx);
}

static void relay_pace(void *port, const struct worker_addr *w,
		       const struct order *o, order_done done, void *ctx)
{
	struct relay *r = port;

	if (!send_order(r, w, o, RELAY_PACE, done, ctx))
		r->direct->throttle(r->port, w, o, done, ctx);
}

static void relay_hold(void *port, const struct worker_addr *w,
		       const struct poll_request *h, poll_done done, void *ctx)
{
	struct relay *r = port;
	struct relay_peer *peer = peer_for(r, w->id);
	struct relay_pending *p;
	struct relay_call *c;

	if (!peer) {
		r->straight++;
		r->direct->poll(r->port, w, h, done, ctx);
		return;
	}
	c = call_add(r, peer, w, RELAY_HOLD);
	c->fence = h->fence;
	c->deadline = h->lease_deadline_ms;
	c->ack = h->ack;
	c->wait_ms = h->wait_ms;
	p = pending_add(r, peer, w, ctx);
	p->held = done;
	p->due_ms += h->wait_ms;
}

const struct worker_ops relay_worker_ops = {
	relay_start,
	relay_stop,
	relay_pace,
	relay_hold,
};

static void take_answer(struct relay *r, const struct relay_answer *a)
{
	struct relay_pending *p = index_get(&r->pending, a->seq);
	struct order_reply o = {(enum order_status)a->status, a->clock};

	if (!p) /* given up before */
		return;
	if (o.status == ORDER_UNKNOWN || o.status == ORDER_NOT_SENT)
		suspect(r, p);
	unlist(r, p);
	if (p->held) {
		struct poll_reply h = {0};
		struct arena memory;

		arena_init(&memory);
		relay_answer_hold(a, &h, &memory);
		h.sent_ms = p->sent_ms;
		p->held(p->ctx, &p->worker, &h);
		arena_finish(&memory);
	} else {
		p->done(p->ctx, &p->worker, &p->ref, &o);
	}
	free(p);
}

void relay_take(struct relay *r, uint64_t from, const struct relay_batch *b)
{
	const struct relay_answer *rows = b->answers.items;
	struct relay_peer *p = peer_of(r, from);
	size_t i;

	if (p) {
		p->heard_ms = clock_boot_ms();
		p->unheard = 0;
	}
	for (i = 0; i < b->answers.count; i++)
		take_answer(r, &rows[i]);
}
