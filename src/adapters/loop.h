#ifndef ADAPTERS_LOOP_H
#define ADAPTERS_LOOP_H

#include <curl/curl.h>
#include <pthread.h>

#include "base/activity.h"
#include "base/buf.h"
#include "base/index.h"
#include "base/lock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Connections to one address at a time; further requests wait for one. */
#define LOOP_HOST_CONNECTIONS 6
/* Requests of one lane in flight at a time. */
#define LOOP_LANE_MAX 2
/* Default of loop.connect_ms. */
#define LOOP_CONNECT_MS 700
/* Largest content of a reply, in bytes; a request with more of it fails. */
#define LOOP_BODY_MAX (16 * 1024 * 1024)

/**
 * struct fetch - one HTTP request
 * @url: complete URL
 * @body: content of a POST; empty for a GET
 * @post: whether the method is POST rather than GET; a POST is sent once, a GET
 *	again when a reused connection ends without a reply
 * @content_type: type of @body; read for a POST only
 * @header: an additional header line, or NULL
 * @timeout_ms: time after which the request fails unless its reply has arrived
 * @stall_ms: once a part of the reply has arrived, the request fails only when
 *	no more of it arrives for this long; 0 if @timeout_ms is for all of it
 * @activity: what the time of the callback belongs to
 * @lane: requests of one lane, such as those to one address, are in flight
 *	LOOP_LANE_MAX at a time, and the others wait for them; 0 for none
 */
struct fetch {
	const char *url;
	struct str body;
	bool post;
	const char *content_type;
	const char *header;
	long timeout_ms;
	long stall_ms;
	enum activity activity;
	uint64_t lane;
};

/**
 * struct fetch_result - the outcome of a request
 * @status: HTTP status, or 0 without a complete reply
 * @not_sent: nothing was sent, as no connection was made
 * @refused: the host refused the connection
 * @body: content of the reply; valid during the callback only
 * @sent_ms: boot time at which the request was started
 * @begun_ms: boot time at which its turn in its lane came; 0 if it did not
 */
struct fetch_result {
	long status;
	bool not_sent;
	bool refused;
	struct str body;
	int64_t sent_ms;
	int64_t begun_ms;
};

typedef void (*fetch_done)(void *ctx, const struct fetch_result *f);

/**
 * struct loop_ops - callbacks on the loop's thread
 * @tick: called before each wait for events; returns the longest time until
 *        the next call, in milliseconds
 * @post: receives a value that a thread passed to loop_post()
 */
struct loop_ops {
	int64_t (*tick)(void *ctx);
	void (*post)(void *ctx, void *value);
};

/**
 * struct loop_fd - state of one file descriptor of a connection
 * @epoll_events: events that it is registered for; 0 when it is not in the
 *                epoll set
 * @in_use: a request is in flight on the connection
 * @is_own: the loop has created it and not closed it; if it has not connected,
 *	curl closes it when it is not in use any more
 * @opener: call that it was created for
 * @peer: hash of the address, once a reply has arrived on it; 0 before
 * @used_ms: boot time of the end of the last request on it
 */
struct loop_fd {
	uint32_t epoll_events;
	bool in_use;
	bool is_own;
	const struct loop_call *opener;
	uint64_t peer;
	int64_t used_ms;
};

/**
 * struct loop - event loop of one thread: HTTP client, timers, mailbox
 * @connect_ms: time-out of a connection attempt
 * @curl_due_ms: boot time at which curl's timer expires; INT64_MAX if unset
 * @fds: state of the connections, by file descriptor
 * @idle: finished calls, kept for reuse
 * @in_flight: calls without an outcome
 * @lanes: lanes with calls in flight, by struct fetch.lane
 * @expiry_due_ms: boot time before which no call in flight expires
 * @posts: mailbox of values that loop_post() received
 * @fetches: requests started so far
 * @unanswered: requests so far that may have been carried out and got no reply
 * @activity: time of the loop's thread, by what it was spent on
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
	struct index lanes;
	int64_t expiry_due_ms;
	struct lock lock; /* LOCK_NET: guards the mailbox */
	struct loop_post_item *posts;
	struct loop_post_item **posts_tail;
	bool stopping;
	const struct loop_ops *ops;
	void *ctx;
	uint64_t fetches;
	uint64_t unanswered;
	struct activity_meter activity;
};

/**
 * loop_init() - set up a loop
 * @connections: idle connections kept open for reuse, to all addresses
 *
 * Return: 0, or a negative error number.
 */
int loop_init(struct loop *l, const struct loop_ops *ops, void *ctx,
	      long connections);
void loop_finish(struct loop *l);
void loop_run(struct loop *l);

/**
 * loop_stop() - make loop_run() return after the current iteration
 *
 * Called on the loop's thread.
 */
void loop_stop(struct loop *l);

/**
 * loop_post() - pass a value to the loop's thread, from any thread
 */
void loop_post(struct loop *l, void *value);

/**
 * loop_drain() - deliver the remaining posts, after loop_run() has returned
 */
void loop_drain(struct loop *l);

/**
 * loop_fetch() - start an HTTP request
 * @f: copied
 * @done: called once, on the loop's thread
 */
void loop_fetch(struct loop *l, const struct fetch *f, fetch_done done,
		void *ctx);

#ifdef __cplusplus
}
#endif

#endif
