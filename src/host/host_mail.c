#include "host/host.h"

#include <stdlib.h>

/**
 * struct posted_item - a request or a peer's message posted to the loop
 * @request: an HTTP request, or NULL for a message of another host
 * @from: id of the host that sent the message
 */
struct posted_item {
	struct http_request *request;
	uint64_t from;
	enum peers_kind kind;
	struct buf batch;
};

void host_post_request(void *ctx, struct http_request *r)
{
	struct posted_item *m = xcalloc(1, sizeof(*m));

	m->request = r;
	loop_post(&((struct host *)ctx)->loop, m);
}

void host_post_message(void *ctx, uint64_t from, enum peers_kind kind,
		       struct str payload)
{
	struct posted_item *m = xcalloc(1, sizeof(*m));

	m->from = from;
	m->kind = kind;
	buf_add(&m->batch, payload.data, payload.len);
	loop_post(&((struct host *)ctx)->loop, m);
}

static void dispatch_request(struct host *h, struct http_request *r)
{
	enum activity before;
	struct buf b;

	if (r->server == &h->callers) {
		before = activity_enter(&h->loop.activity, ACTIVITY_CALLERS);
		host_handle_call(h, r);
		activity_enter(&h->loop.activity, before);
		return;
	}
	if (!strcmp(r->path, EXPLAIN_PATH)) {
		host_explain(h, r);
		return;
	}
	buf_init(&b);
	host_write_metrics(h, &b);
	http_reply(r, 200, 0, b.data, b.len);
	buf_finish(&b);
}

void host_on_post(void *ctx, void *value)
{
	struct posted_item *m = value;

	if (m->request)
		dispatch_request(ctx, m->request);
	else
		host_peers_receive(ctx, m->from, m->kind,
				   (struct str){m->batch.data, m->batch.len});
	buf_finish(&m->batch);
	free(m);
}
