#include "host/relay_server.h"

#include <inttypes.h>
#include <stdlib.h>

#include "adapters/clock.h"
#include "base/logger.h"

/* How long an answer waits for others that share its batch: each batch wakes
 * the owner once. */
#define COALESCE_MS 4
/* A batch of this many answers is sent without further delay. */
#define FLUSH_COUNT 64
#define IDLE_MS 1000
#define ANSWERS_INITIAL_CAP 16

/* A host that sends calls, and the answers to be sent back to it. */
struct relay_source {
	uint64_t id;
	bool ping_pending;
	int64_t oldest_answer_ms;
	struct arena memory;
	struct relay_answer *answers;
	size_t count;
	size_t cap;
	struct relay_source *next;
};

struct served_call {
	struct relay_server *server;
	struct relay_source *source;
	uint64_t seq;
};

void relay_server_init(struct relay_server *s, const struct worker_ops *ops,
		       void *port, const struct relay_net *net)
{
	memset(s, 0, sizeof(*s));
	s->ops = ops;
	s->port = port;
	s->net = *net;
}

void relay_server_finish(struct relay_server *s)
{
	while (s->sources) {
		struct relay_source *src = s->sources;

		s->sources = src->next;
		arena_finish(&src->memory);
		free(src->answers);
		free(src);
	}
}

static struct relay_source *get_source(struct relay_server *s, uint64_t id)
{
	struct relay_source *src;

	for (src = s->sources; src; src = src->next)
		if (src->id == id)
			return src;
	src = xcalloc(1, sizeof(*src));
	src->id = id;
	arena_init(&src->memory);
	src->next = s->sources;
	s->sources = src;
	return src;
}

static struct relay_answer *answer_add(struct served_call *c)
{
	struct relay_source *src = c->source;
	struct relay_answer *a;

	if (src->count == src->cap) {
		src->cap = src->cap ? src->cap * 2 : ANSWERS_INITIAL_CAP;
		src->answers = xrealloc(src->answers,
					src->cap * sizeof(*src->answers));
	}
	if (!src->count)
		src->oldest_answer_ms = c->server->now_ms;
	a = &src->answers[src->count++];
	memset(a, 0, sizeof(*a));
	a->seq = c->seq;
	c->server->calls_in_flight--;
	c->server->served_calls++;
	return a;
}

static void on_order(void *ctx, const struct worker_addr *w,
		     const struct task_ref *ref, const struct order_reply *r)
{
	struct relay_answer *a = answer_add(ctx);

	(void)w;
	(void)ref;
	a->status = r->status;
	a->clock = r->clock;
	free(ctx);
}

static void on_poll(void *ctx, const struct worker_addr *w,
		    const struct poll_reply *r)
{
	struct served_call *c = ctx;
	struct relay_answer *a = answer_add(c);

	(void)w;
	relay_answer_encode(a, r, &c->source->memory);
	free(c);
}

static struct served_call *call_add(struct relay_server *s,
				    struct relay_source *from, uint64_t seq)
{
	struct served_call *c = xcalloc(1, sizeof(*c));

	c->server = s;
	c->source = from;
	c->seq = seq;
	s->calls_in_flight++;
	return c;
}

/* Answers a call that is not made. */
static void refuse_call(struct served_call *c, enum order_status status)
{
	answer_add(c)->status = status;
	free(c);
}

static void make_call(struct relay_server *s, struct relay_source *from,
		      const struct relay_call *r)
{
	struct served_call *c = call_add(s, from, r->seq);
	struct poll_request q = {r->fence, r->deadline, r->ack, r->wait_ms};
	struct worker_addr w = {0};
	struct order o = {0};

	name_set(w.id, r->worker);
	name_set(w.address, r->address);
	relay_call_ref(r, &o.ref);
	o.fence = r->fence;
	o.lease_deadline_ms = r->deadline;
	o.spec = r->spec;
	o.checkpoint = r->checkpoint.len ? r->checkpoint.data : NULL;
	o.speed_percent = r->percent;
	switch (r->op) {
	case RELAY_START:
		s->ops->start(s->port, &w, &o, on_order, c);
		return;
	case RELAY_STOP:
		s->ops->stop(s->port, &w, &o, on_order, c);
		return;
	case RELAY_THROTTLE:
		s->ops->throttle(s->port, &w, &o, on_order, c);
		return;
	case RELAY_POLL:
		s->ops->poll(s->port, &w, &q, on_poll, c);
		return;
	default:
		log_line(LOG_ERROR, "unknown op in a relayed call", "op=%u",
			 r->op);
		refuse_call(c, ORDER_INVALID);
	}
}

void relay_server_receive(struct relay_server *s, uint64_t from,
			  const struct relay_batch *b)
{
	const struct relay_call *rows = b->calls.items;
	struct relay_source *src = get_source(s, from);
	int64_t late_ms =
		b->valid_until > 0 ? clock_boot_ms() - b->valid_until : 0;
	size_t i;

	if (!b->calls.count)
		src->ping_pending = !s->leaving;
	if (late_ms > 0)
		log_line(LOG_WARN, "calls of another host not made: too old",
			 "from=%016" PRIx64 " calls=%zu late_ms=%" PRId64, from,
			 b->calls.count, late_ms);
	for (i = 0; i < b->calls.count; i++)
		if (late_ms > 0)
			refuse_call(call_add(s, src, rows[i].seq),
				    ORDER_NOT_SENT);
		else
			make_call(s, src, &rows[i]);
}

static void flush_answers(struct relay_server *s, struct relay_source *src)
{
	struct relay_batch batch = {0};
	struct str text;
	struct buf b;

	batch.answers.items = src->answers;
	batch.answers.count = src->count;
	batch.clock = clock_boot_ms();
	buf_init(&b);
	shape_write(&relay_batch_shape, &batch, &b);
	text.data = b.data;
	text.len = b.len;
	s->net.send(s->net.ctx, src->id, text);
	buf_finish(&b);
	src->count = 0;
	src->ping_pending = false;
	arena_finish(&src->memory);
	arena_init(&src->memory);
}

int64_t relay_server_tick(struct relay_server *s, int64_t now_ms)
{
	struct relay_source *src;
	int64_t wait = IDLE_MS;

	s->now_ms = now_ms;
	for (src = s->sources; src; src = src->next) {
		if (src->ping_pending || src->count >= FLUSH_COUNT ||
		    (src->count &&
		     now_ms - src->oldest_answer_ms >= COALESCE_MS))
			flush_answers(s, src);
		else if (src->count && COALESCE_MS < wait)
			wait = COALESCE_MS;
	}
	return wait;
}
