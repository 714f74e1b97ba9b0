#include "host/relay_server.h"

#include <stdlib.h>

#include "base/logger.h"

/* Answers wait so long for others: each batch wakes the owner once. */
#define COALESCE_MS 4
#define FULL_BATCH 64
#define IDLE_MS 1000
#define ANSWERS_FIRST 16

struct relay_source {
	uint64_t id;
	bool asked;
	int64_t first_ms;
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
		struct relay_source *x = s->sources;

		s->sources = x->next;
		arena_finish(&x->memory);
		free(x->answers);
		free(x);
	}
}

static struct relay_source *source_of(struct relay_server *s, uint64_t id)
{
	struct relay_source *x;

	for (x = s->sources; x; x = x->next)
		if (x->id == id)
			return x;
	x = xcalloc(1, sizeof(*x));
	x->id = id;
	arena_init(&x->memory);
	x->next = s->sources;
	s->sources = x;
	return x;
}

static struct relay_answer *answer_add(struct served_call *c)
{
	struct relay_source *x = c->source;
	struct relay_answer *a;

	if (x->count == x->cap) {
		x->cap = x->cap ? x->cap * 2 : ANSWERS_FIRST;
		x->answers = xrealloc(x->answers, x->cap * sizeof(*x->answers));
	}
	if (!x->count)
		x->first_ms = c->server->now_ms;
	a = &x->answers[x->count++];
	memset(a, 0, sizeof(*a));
	a->seq = c->seq;
	c->server->open--;
	c->server->served++;
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

static void on_hold(void *ctx, const struct worker_addr *w,
		    const struct poll_reply *r)
{
	struct served_call *c = ctx;
	struct relay_answer *a = answer_add(c);

	(void)w;
	relay_answer_fill(a, r, &c->source->memory);
	free(c);
}

static void make_call(struct relay_server *s, struct relay_source *from,
		      const struct relay_call *r)
{
	struct poll_request h = {r->fence, r->deadline, r->ack, r->wait_ms};
	struct served_call *c = xcalloc(1, sizeof(*c));
	struct worker_addr w;
	struct order o = {0};

	c->server = s;
	c->source = from;
	c->seq = r->seq;
	s->open++;
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
	case RELAY_PACE:
		s->ops->throttle(s->port, &w, &o, on_order, c);
		return;
	case RELAY_HOLD:
		s->ops->poll(s->port, &w, &h, on_hold, c);
		return;
	default:
		log_line(LOG_ERROR, "relayed call not known", "op=%u", r->op);
		answer_add(c)->status = ORDER_INVALID;
		free(c);
	}
}

void relay_server_take(struct relay_server *s, uint64_t from,
		       const struct relay_batch *b)
{
	const struct relay_call *rows = b->calls.items;
	struct relay_source *x = source_of(s, from);
	size_t i;

	if (!b->calls.count)
		x->asked = !s->leaving;
	for (i = 0; i < b->calls.count; i++)
		make_call(s, x, &rows[i]);
}

static void flush(struct relay_server *s, struct relay_source *x)
{
	struct relay_batch batch = {{NULL, 0}, {x->answers, x->count}};
	struct str text;
	struct buf b;

	buf_init(&b);
	shape_write(&relay_batch_shape, &batch, &b);
	text.data = b.data;
	text.len = b.len;
	s->net.send(s->net.ctx, x->id, text);
	buf_finish(&b);
	x->count = 0;
	x->asked = false;
	arena_finish(&x->memory);
	arena_init(&x->memory);
}

int64_t relay_server_tick(struct relay_server *s, int64_t now_ms)
{
	struct relay_source *x;
	int64_t wait = IDLE_MS;

	s->now_ms = now_ms;
	for (x = s->sources; x; x = x->next) {
		if (x->asked || x->count >= FULL_BATCH ||
		    (x->count && now_ms - x->first_ms >= COALESCE_MS))
			flush(s, x);
		else if (x->count && COALESCE_MS < wait)
			wait = COALESCE_MS;
	}
	return wait;
}
