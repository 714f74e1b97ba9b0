#ifndef ADAPTERS_LOOP_H
#define ADAPTERS_LOOP_H

#include <curl/curl.h>
#include <pthread.h>

#include "base/buf.h"
#include "base/lock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Connections kept open towards one address. */
#define LOOP_HOST_CONNECTIONS 6
#define LOOP_CONNECT_MS 700
#define LOOP_BODY_MAX (16 * 1024 * 1024)

/**
 * struct fetch - one HTTP request
 * @url: whole address
 * @body: content of a POST; a GET has none
 * @post: POST rather than GET
 * @header: one more header line, or NULL
 * @timeout_ms: bound on the whole exchange, as far as its answer has not come
 */
struct fetch {
	const char *url;
	struct str body;
	bool post;
	const char *content_type;
	const char *header;
	long timeout_ms;
};

/**
 * struct fetch_result - the answer
 * @status: HTTP status, or 0 when no whole answer came
 * @not_sent: no connection was made, so nothing was sent
 * @sent_ms: boot time of the call
 */
struct fetch_result {
	long status;
	bool not_sent;
	struct str body;
	int64_t sent_ms;
};

typedef void (*fetch_done)(void *ctx, const struct fetch_result *f);

/**
 * struct loop_ops - what runs in the loop
 * @tick: called after each round of events; returns ms until the next call
 * @post: a value that another thread handed in by loop_post()
 */
struct loop_ops {
	int64_t (*tick)(void *ctx);
	void (*post)(void *ctx, void *value);
};

/**
 * struct loop_fd - a connection that the loop watches
 * @epoll_events: epoll events, 0 when it is not in the set
 * @in_use: a request is on it
 */
struct loop_fd {
	uint32_t epoll_events;
	bool in_use;
};

/**
 * struct loop - event loop of one thread: HTTP client, timers, mailbox
 */
struct loop {
	int epoll_fd;
	int event_fd;
	CURLM *multi;
	long connect_ms;
	int64_t curl_due_ms;
	struct loop_fd *fds;
	size_t fd_count;
	struct loop_call *idle;
	struct loop_call *in_flight;
	int64_t expiry_due_ms;
	struct lock lock; /* LOCK_NET: guards the mailbox */
	struct loop_post_item *posts;
	struct loop_post_item **posts_tail;
	bool stopping;
	const struct loop_ops *ops;
	void *ctx;
	uint64_t fetches;
};

/**
 * loop_init() - set up
 * @connections: kept open for reuse, in all
 *
 * Return: 0, or a negative error number.
 */
int loop_init(struct loop *l, const struct loop_ops *ops, void *ctx,
	      long connections);
void loop_finish(struct loop *l);
void loop_run(struct loop *l);

/**
 * loop_stop() - make loop_run() return after this round
 */
void loop_stop(struct loop *l);

/**
 * loop_post() - hand a value to the loop from any thread
 */
void loop_post(struct loop *l, void *value);

/**
 * loop_drain() - take what was posted, after loop_run() has returned
 */
void loop_drain(struct loop *l);

/**
 * loop_fetch() - start an HTTP request; @done is called once, from the loop
 */
void loop_fetch(struct loop *l, const struct fetch *f, fetch_done done,
		void *ctx);

#ifdef __cplusplus
}
#endif

#endif
