#include "host/relay.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

#include "adapters/clock.h"
#include "base/logger.h"

/* With fewer workers than this, the owner calls them directly: the calls to 150
 * workers take a tenth of a core. */
#define RELAY_WORKERS_MIN 150
/* Workers that a host serves per core, beside its own work: the calls to one
 * worker take less than a thousandth of a core. */
#define WORKERS_PER_CORE 200
#define MILLI 1000
/* Numbers of calls begin at the start time of the process, in ms, times 2 to
 * this power: a former process of the host has not used them. */
#define SEQ_TIME_SHIFT 20
/* A peer is pinged when nothing was sent to it for this long. It counts as
 * reachable while the last contact is at most three of these periods ago. */
#define PING_PERIOD_MS 600
#define CONTACT_TIMEOUT_MS 1800
/* A peer that let a call time out, or answers no pings, is not used for this
 * long. */
#define AVOID_MS 4000
/* A worker is called directly for this long after a relayed call to it that got
 * no answer. */
#define SUSPECT_MS 5000
/* Time-out of a relayed order. The peer itself waits 900 ms for the worker; the
 * rest is for the transfer of the call and the answer. */
#define ORDER_TIMEOUT_MS 1400
#define CHECK_PERIOD_MS 50
/* An answer waits for up to two rounds of the event loop. When a round takes
 * longer than this, that may be most of ORDER_TIMEOUT_MS. */
#define LONG_ROUND_MS 600
/* Period after which older answers do not tell a peer's clock any more. */
#define AHEAD_PERIOD_MS 60000
/* The connection is closed after more unanswered pings than this. */
#define UNANSWERED_PINGS_MAX 6
#define CALLS_INITIAL_CAP 16

/* A relayed call in flight; either @on_order_done or @on_poll_done is set. */
struct relay_pending {
	uint64_t seq;
	struct relay_peer *peer;
	struct worker_addr worker;
	struct task_ref ref;
	order_done on_order_done;
	poll_done on_poll_done;
	void *ctx;
	int64_t sent_ms;
	int64_t due_ms;
	struct relay_pending *next;
	struct relay_pending *prev;
};

/* A worker to which a relayed call got no answer, so it is called directly. */
struct relay_suspect {
	int64_t direct_until_ms;
	struct relay_suspect *next;
};

void relay_init(struct relay *r, const struct worker_ops *direct, void *port,
		const struct relay_net *net)
{
	memset(r, 0, sizeof(*r));
	r->direct = direct;
	r->port = port;
	r->net = *net;
	r->seq = (uint64_t)clock_wall_ms() << SEQ_TIME_SHIFT;
	index_init(&r->pending);
	index_init(&r->suspects);
}

static void pending_remove(struct relay *r, struct relay_pending *p)
{
	index_remove(&r->pending, p->seq);
	if (p->prev)
		p->prev->next = p->next;
	else
		r->first_pending = p->next;
	if (p->next)
		p->next->prev = p->prev;
}

static void suspect_worker(struct relay *r, const struct relay_pending *p)
{
	uint64_t id = name_hash(p->worker.id);
	struct relay_suspect *s = index_get(&r->suspects, id);

	if (!s) {
		s = xcalloc(1, sizeof(*s));
		s->next = r->first_suspect;
		r->first_suspect = s;
		index_put(&r->suspects, id, s);
	}
	s->direct_until_ms = r->now_ms + SUSPECT_MS;
}

static bool is_suspect_worker(struct relay *r, const char *worker)
{
	const struct relay_suspect *s =
		index_get(&r->suspects, name_hash(worker));

	return s && r->now_ms < s->direct_until_ms;
}

static void pending_fail(struct relay *r, struct relay_pending *p)
{
	struct order_reply o = {ORDER_UNKNOWN, 0};
	struct poll_reply reply = {0};

	reply.status = ORDER_UNKNOWN;
	reply.sent_ms = p->sent_ms;
	r->lost_calls++;
	suspect_worker(r, p);
	pending_remove(r, p);
	if (p->on_poll_done)
		p->on_poll_done(p->ctx, &p->worker, &reply);
	else
		p->on_order_done(p->ctx, &p->worker, &p->ref, &o);
	free(p);
}

/* Callbacks may make new calls. These are added at the front of the list, where
 * the loop does not reach them. */
static void fail_pending_of(struct relay *r, const struct relay_peer *peer)
{
	struct relay_pending *p, *next;

	for (p = r->first_pending; p; p = next) {
		next = p->next;
		if (p->peer == peer)
			pending_fail(r, p);
	}
}

static void peer_free(struct relay_peer *p)
{
	arena_finish(&p->memory);
	free(p->calls);
	free(p);
}

static struct relay_peer *find_peer(const struct relay *r, uint64_t id)
{
	struct relay_peer *p;

	for (p = r->peers; p && p->id != id; p = p->next)
		;
	return p;
}

struct relay_peer *relay_peer_set(struct relay *r, const char *name,
				  const char *address, uint32_t cpu_milli)
{
	struct relay_peer *p = find_peer(r, name_hash(name));
	struct relay_peer **at;

	if (!p) {
		p = xcalloc(1, sizeof(*p));
		p->id = name_hash(name);
		name_set(p->name, name);
		arena_init(&p->memory);
		/* Sorted by falling CPU, then by id, which is the same order
		 * on all hosts. */
		for (at = &r->peers; *at && ((*at)->cpu_milli > cpu_milli ||
					     ((*at)->cpu_milli == cpu_milli &&
					      (*at)->id < p->id));
		     at = &(*at)->next)
			;
		p->next = *at;
		*at = p;
	}
	if (strcmp(p->address, address)) {
		p->is_clock_known = false;
		p->last_contact_ms = 0;
		p->avoid_until_ms = 0;
	}
	p->is_draining = false;
	p->cpu_milli = cpu_milli;
	name_set(p->address, address);
	return p;
}

static uint32_t peer_slots(const struct relay_peer *p)
{
	return p->cpu_milli * WORKERS_PER_CORE / MILLI;
}

/* This host may be short of processor time itself: a peer is silent, or late,
 * only if that shows in what has been received. */
static bool is_usable(const struct relay *r, const struct relay_peer *p)
{
	return !p->is_draining && p->last_contact_ms &&
	       r->read_ms - p->last_contact_ms <= CONTACT_TIMEOUT_MS &&
	       r->now_ms >= p->avoid_until_ms;
}

/* Activates usable peers from @from up to @end that were active before, or were
 * not, until the active ones can serve all workers. */
static void activate_peers(struct relay *r, struct relay_peer *from,
			   const struct relay_peer *end, bool was_active)
{
	struct relay_peer *p;

	for (p = from; p != end && r->slots < r->worker_count &&
		       r->active_count < RELAY_ACTIVE_MAX;
	     p = p->next) {
		if (p->was_active != was_active || !is_usable(r, p))
			continue;
		p->is_active = true;
		r->slots += peer_slots(p);
		r->active[r->active_count++] = p;
	}
}

static bool is_seat_taken(const struct relay *r, const struct relay_peer *by)
{
	const struct relay_peer *p;

	for (p = r->peers; p; p = p->next)
		if (p != by && p->is_active && p->seat == by->seat)
			return true;
	return false;
}

/* Gives a new active peer the seat of an equally strong one that is active no
 * longer, and with it all of its workers; else a seat of its own. */
static void take_seat(struct relay *r, struct relay_peer *p)
{
	struct relay_peer *gone;

	for (gone = r->peers; gone; gone = gone->next)
		if (gone->was_active && !gone->is_active &&
		    gone->cpu_milli == p->cpu_milli)
			break;
	if (gone) {
		gone->was_active = false;
		p->seat = gone->seat;
		return;
	}
	for (p->seat = p->id; is_seat_taken(r, p); p->seat++)
		;
}

/*
 * Selects the strongest usable peers, until they can serve all workers. Of
 * equally strong ones, those that are active stay so: they have connections to
 * their workers.
 */
static void select_active(struct relay *r)
{
	struct relay_peer *p, *end;
	size_t i;

	for (p = r->peers; p; p = p->next) {
		p->was_active = p->is_active;
		p->is_active = false;
	}
	r->active_count = 0;
	r->slots = 0;
	if (r->worker_count < RELAY_WORKERS_MIN)
		return;
	for (p = r->peers; p; p = end) {
		for (end = p; end && end->cpu_milli == p->cpu_milli;
		     end = end->next)
			;
		activate_peers(r, p, end, true);
		activate_peers(r, p, end, false);
	}
	for (i = 0; i < r->active_count; i++)
		if (!r->active[i]->was_active)
			take_seat(r, r->active[i]);
}

void relay_peer_drain(struct relay *r, const char *name)
{
	struct relay_peer *p = find_peer(r, name_hash(name));

	if (!p)
		return;
	p->is_draining = true;
	if (p->is_active)
		select_active(r);
}

void relay_finish(struct relay *r)
{
	while (r->first_pending)
		pending_fail(r, r->first_pending);
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

static void drop_waiting_calls(struct relay_peer *p)
{
	p->count = 0;
	arena_finish(&p->memory);
	arena_init(&p->memory);
}

/*
 * A peer that is paused reads the calls of that time once it goes on. By then
 * they have ended here, and so may the process of the worker that has confirmed
 * the stop of a run: the next one knows neither of it nor of the deadline.
 *
 * An answer takes some time, so its clock is ahead by more than it tells: no
 * call is valid for longer than it is waited for.
 */
static int64_t calls_valid_until(const struct relay_peer *p)
{
	if (!p->is_clock_known)
		return 0;
	return clock_boot_ms() + p->clock_ahead_ms + ORDER_TIMEOUT_MS;
}

static void note_clock(struct relay_peer *p, int64_t clock, int64_t now_ms)
{
	int64_t ahead = clock - now_ms;

	if (clock <= 0 || clock > RELAY_CLOCK_MAX_MS)
		return;
	if (!p->is_clock_known) {
		p->is_clock_known = true;
		p->clock_ahead_ms = ahead;
		p->next_ahead_ms = ahead;
		p->ahead_since_ms = now_ms;
	}
	if (now_ms - p->ahead_since_ms >= AHEAD_PERIOD_MS) {
		p->clock_ahead_ms = p->next_ahead_ms;
		p->next_ahead_ms = ahead;
		p->ahead_since_ms = now_ms;
	}
	if (ahead > p->clock_ahead_ms)
		p->clock_ahead_ms = ahead;
	if (ahead > p->next_ahead_ms)
		p->next_ahead_ms = ahead;
}

static void flush_calls(struct relay *r, struct relay_peer *p)
{
	struct relay_batch batch = {0};
	struct str text;
	struct buf b;

	batch.calls.items = p->calls;
	batch.calls.count = p->count;
	batch.valid_until = p->count ? calls_valid_until(p) : 0;
	buf_init(&b);
	shape_write(&relay_batch_shape, &batch, &b);
	text.data = b.data;
	text.len = b.len;
	r->net.send(r->net.ctx, p->id, text);
	buf_finish(&b);
	drop_waiting_calls(p);
	p->last_sent_ms = r->now_ms;
}

/* All its calls end here, so those that wait for the next batch are not sent.
 */
static void fail_peer(struct relay *r, struct relay_peer *p)
{
	log_line(LOG_WARN, "relayed call timed out; peer is avoided",
		 "peer=%s heard_ms_ago=%" PRId64, p->name,
		 p->last_contact_ms ? r->now_ms - p->last_contact_ms : -1);
	p->avoid_until_ms = r->now_ms + AVOID_MS;
	p->last_contact_ms = 0;
	if (p->is_active)
		select_active(r);
	r->net.disconnect(r->net.ctx, p->id);
	drop_waiting_calls(p);
	fail_pending_of(r, p);
}

static void expire_pending(struct relay *r)
{
	struct relay_pending *p, *late = NULL;

	do {
		for (p = r->first_pending, late = NULL; p && !late; p = p->next)
			if (r->read_ms >= p->due_ms)
				late = p;
		if (late)
			fail_peer(r, late->peer);
	} while (late);
}

/* Counts the ping when it returns true; closes the connection and avoids the
 * peer when too many pings have had no answer. */
static bool should_ping(struct relay *r, struct relay_peer *p)
{
	if (r->worker_count < RELAY_WORKERS_MIN || p->is_draining ||
	    r->now_ms < p->avoid_until_ms ||
	    r->now_ms - p->last_sent_ms < PING_PERIOD_MS)
		return false;
	if (++p->unanswered_pings <= UNANSWERED_PINGS_MAX)
		return true;
	/* The connection may be half-open; the next ping opens a new one. */
	r->net.disconnect(r->net.ctx, p->id);
	p->unanswered_pings = 0;
	p->avoid_until_ms = r->now_ms + AVOID_MS;
	return false;
}

void relay_tick(struct relay *r, int64_t now_ms)
{
	struct relay_peer *p;

	r->read_ms = now_ms;
	if (r->now_ms && now_ms - r->now_ms > LONG_ROUND_MS)
		r->read_ms = r->now_ms;
	r->now_ms = now_ms;
	if (now_ms - r->checked_ms >= CHECK_PERIOD_MS) {
		r->checked_ms = now_ms;
		expire_pending(r);
		select_active(r);
	}
	for (p = r->peers; p; p = p->next)
		if (p->count || should_ping(r, p))
			flush_calls(r, p);
}

/* Score of one of several seats for a worker: the host on the seat with the
 * highest score calls it. Each gets a share in proportion to its slots. */
static double score(uint64_t worker, uint64_t seat, uint32_t slots)
{
	uint64_t x = worker ^ seat;
	double uniform;

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9u;
	x = (x ^ x >> 27) * 0x94d049bb133111ebu;
	x ^= x >> 31;
	uniform = ((double)(x >> 11) + 0.5) / (double)(1ULL << 53);
	return slots / -log(uniform);
}

/*
 * Highest random weight: when a seat comes or goes, only its own workers change
 * hosts, and the next owner of the cell selects mostly the same peers.
 *
 * Return: the peer; NULL when the owner calls the worker itself.
 */
static struct relay_peer *select_peer(struct relay *r, const char *worker)
{
	uint64_t id = name_hash(worker);
	struct relay_peer *best = NULL;
	double most = 0;
	size_t i;

	if (!r->active_count || is_suspect_worker(r, worker))
		return NULL;
	if (r->worker_count > r->slots)
		most = score(id, 0, r->worker_count - r->slots);
	for (i = 0; i < r->active_count; i++) {
		double s =
			score(id, r->active[i]->seat, peer_slots(r->active[i]));

		if (s <= most)
			continue;
		most = s;
		best = r->active[i];
	}
	return best;
}

static struct relay_call *call_add(struct relay *r, struct relay_peer *peer,
				   const struct worker_addr *w,
				   enum relay_op op)
{
	struct relay_call *c;

	if (peer->count == peer->cap) {
		peer->cap = peer->cap ? peer->cap * 2 : CALLS_INITIAL_CAP;
		peer->calls =
			xrealloc(peer->calls, peer->cap * sizeof(*peer->calls));
	}
	c = &peer->calls[peer->count++];
	memset(c, 0, sizeof(*c));
	c->seq = ++r->seq;
	c->op = op;
	name_set(c->worker, w->id);
	name_set(c->address, w->address);
	r->relayed_calls++;
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
	p->due_ms = p->sent_ms + ORDER_TIMEOUT_MS;
	p->next = r->first_pending;
	if (r->first_pending)
		r->first_pending->prev = p;
	r->first_pending = p;
	index_put(&r->pending, p->seq, p);
	return p;
}

/* Returns false when the caller has to send the order directly to the worker.
 */
static bool send_order(struct relay *r, const struct worker_addr *w,
		       const struct order *o, enum relay_op op, order_done done,
		       void *ctx)
{
	struct relay_peer *peer = select_peer(r, w->id);
	struct relay_pending *p;
	struct relay_call *c;

	if (!peer) {
		r->direct_calls++;
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
	p->on_order_done = done;
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

static void relay_throttle(void *port, const struct worker_addr *w,
			   const struct order *o, order_done done, void *ctx)
{
	struct relay *r = port;

	if (!send_order(r, w, o, RELAY_THROTTLE, done, ctx))
		r->direct->throttle(r->port, w, o, done, ctx);
}

static void relay_poll(void *port, const struct worker_addr *w,
		       const struct poll_request *q, poll_done done, void *ctx)
{
	struct relay *r = port;
	struct relay_peer *peer = select_peer(r, w->id);
	struct relay_pending *p;
	struct relay_call *c;

	if (!peer) {
		r->direct_calls++;
		r->direct->poll(r->port, w, q, done, ctx);
		return;
	}
	c = call_add(r, peer, w, RELAY_POLL);
	c->fence = q->fence;
	c->deadline = q->lease_deadline_ms;
	c->ack = q->ack;
	c->wait_ms = q->wait_ms;
	p = pending_add(r, peer, w, ctx);
	p->on_poll_done = done;
	p->due_ms += q->wait_ms;
}

const struct worker_ops relay_worker_ops = {
	relay_start,
	relay_stop,
	relay_throttle,
	relay_poll,
};

static void receive_answer(struct relay *r, uint64_t from,
			   const struct relay_answer *a)
{
	struct relay_pending *p = index_get(&r->pending, a->seq);
	struct order_reply o = {(enum order_status)a->status, a->clock};

	/* The call has timed out, or another host was asked. */
	if (!p || p->peer->id != from)
		return;
	if (relay_answer_check(a)) {
		log_line(LOG_ERROR, "unknown value in a relayed answer",
			 "worker=%s status=%u ended=%zu", p->worker.id,
			 a->status, a->ended.count);
		return; /* the call times out, as after a lost answer */
	}
	if (o.status == ORDER_UNKNOWN || o.status == ORDER_NOT_SENT)
		suspect_worker(r, p);
	pending_remove(r, p);
	if (p->on_poll_done) {
		struct poll_reply reply = {0};
		struct arena memory;

		arena_init(&memory);
		relay_answer_decode(a, &reply, &memory);
		reply.sent_ms = p->sent_ms;
		p->on_poll_done(p->ctx, &p->worker, &reply);
		arena_finish(&memory);
	} else {
		p->on_order_done(p->ctx, &p->worker, &p->ref, &o);
	}
	free(p);
}

void relay_receive(struct relay *r, uint64_t from, const struct relay_batch *b)
{
	const struct relay_answer *rows = b->answers.items;
	struct relay_peer *p = find_peer(r, from);
	size_t i;

	if (p) {
		note_clock(p, b->clock, clock_boot_ms());
		p->last_contact_ms = clock_boot_ms();
		p->unanswered_pings = 0;
	}
	for (i = 0; i < b->answers.count; i++)
		receive_answer(r, from, &rows[i]);
}
