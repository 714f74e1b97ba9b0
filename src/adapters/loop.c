#include "adapters/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/clock.h"
#include "adapters/http_once.h"
#include "base/logger.h"

#define EVENTS_MAX 64
/* Batches of events handled before the next call of loop_ops.tick(). */
#define ROUNDS_MAX 8
#define HEADER_MAX 128
#define FDS_MIN 256
/* Buffers of a finished call are kept up to this size. */
#define KEEP_BYTES 4096
/* Unanswered TCP keep-alive probes reveal an unreachable peer. */
#define KEEPALIVE_IDLE_S 2L
#define KEEPALIVE_PERIOD_S 1L

/* Calls that share a limit; those that wait for others, first come first. */
struct loop_lane {
	uint32_t in_flight;
	struct loop_call *waiting;
	struct loop_call **waiting_tail;
};

struct loop_call {
	struct loop *loop;
	CURL *easy;
	struct curl_slist *headers;
	struct buf url;
	struct buf body;
	struct buf reply;
	fetch_done done;
	void *ctx;
	enum activity activity;
	int64_t sent_ms;
	int64_t begun_ms;
	int64_t due_ms;
	int64_t stall_ms;
	bool in_flight;
	bool sent;
	bool post;
	int opened_fd;
	uint64_t lane;
	struct loop_call *next_waiting;
	struct loop_call *next;
	struct loop_call *prev;
};

struct loop_post_item {
	void *value;
	struct loop_post_item *next;
};

static struct loop_fd *fd_state(struct loop *l, int fd)
{
	size_t old = l->fd_count;

	if ((size_t)fd < old)
		return &l->fds[fd];
	l->fd_count = (size_t)fd * 2 + FDS_MIN;
	l->fds = xrealloc(l->fds, l->fd_count * sizeof(*l->fds));
	memset(l->fds + old, 0, (l->fd_count - old) * sizeof(*l->fds));
	return &l->fds[fd];
}

static void epoll_update(struct loop *l, int fd, struct loop_fd *f,
			 uint32_t events)
{
	struct epoll_event ev = {0};
	int op = f->epoll_events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, error;

	if (events == f->epoll_events)
		return;
	if (!events)
		op = EPOLL_CTL_DEL;
	ev.events = events;
	ev.data.fd = fd;
	error = epoll_ctl(l->epoll_fd, op, fd, &ev);
	/* A socket of curl's resolver has the number of one that curl closed
	 * while it connected. */
	if (error && op == EPOLL_CTL_MOD && errno == ENOENT)
		error = epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	if (error)
		log_line(LOG_ERROR, "epoll_ctl failed", "fd=%d op=%d errno=%d",
			 fd, op, errno);
	f->epoll_events = events;
}

/*
 * A socket that has not connected is closed by then, so another thread may have
 * its number: no system call names it. A connection stays registered, so that
 * the next request on it needs no epoll_ctl() call. What on_open() has not
 * created belongs to curl's resolver, which closes it.
 */
static void fd_release(struct loop_fd *f)
{
	f->in_use = false;
	f->used_ms = clock_boot_ms();
	if (!f->is_own)
		f->epoll_events = 0;
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *known)
{
	struct loop *l = ctx;
	struct loop_fd *f = fd_state(l, fd);

	(void)easy;
	(void)known;
	if (what == CURL_POLL_REMOVE) {
		fd_release(f);
		return 0;
	}
	f->in_use = true;
	if (what & CURL_POLL_OUT)
		epoll_update(l, fd, f,
			     EPOLLOUT | (what & CURL_POLL_IN ? EPOLLIN : 0));
	else
		epoll_update(l, fd, f, EPOLLIN);
	return 0;
}

/*
 * No connection is opened for a POST that is not sent again.
 *
 * curl closes sockets that have not connected without calling on_close(), and
 * the kernel removes them from the epoll set. The state recorded for a
 * descriptor is therefore reset when its number is used again.
 */
static curl_socket_t on_open(void *ctx, curlsocktype purpose,
			     struct curl_sockaddr *a)
{
	struct loop_call *c = ctx;
	struct loop_fd *f;
	int fd;

	(void)purpose;
	if (c->post && http_was_sent(c->easy))
		return CURL_SOCKET_BAD;
	fd = socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	f = fd_state(c->loop, fd);
	memset(f, 0, sizeof(*f));
	f->is_own = true;
	f->opener = c;
	c->opened_fd = fd;
	return fd;
}

/*
 * Called with a connection at hand, before each time the request is sent. A
 * process that was paused sends no request whose time is over: its caller has
 * counted on that.
 */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static int before_post(void *ctx, char *peer_ip, char *local_ip, int peer_port,
		       int local_port)
{
	struct loop_call *c = ctx;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	if (http_was_sent(c->easy) || clock_boot_ms() >= c->due_ms)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

static int on_close(void *ctx, curl_socket_t fd)
{
	struct loop *l = ctx;
	struct loop_fd *f = fd_state(l, fd);

	epoll_update(l, fd, f, 0);
	memset(f, 0, sizeof(*f));
	return close(fd);
}

static int on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct loop *l = ctx;

	(void)multi;
	l->curl_due_ms =
		timeout_ms < 0 ? INT64_MAX : clock_boot_ms() + timeout_ms;
	return 0;
}

int loop_init(struct loop *l, const struct loop_ops *ops, void *ctx,
	      long connections)
{
	struct epoll_event ev = {0};

	memset(l, 0, sizeof(*l));
	activity_init(&l->activity);
	l->ops = ops;
	l->ctx = ctx;
	l->connect_ms = LOOP_CONNECT_MS;
	l->curl_due_ms = INT64_MAX;
	l->expiry_due_ms = INT64_MAX;
	l->posts_tail = &l->posts;
	lock_init(&l->lock);
	index_init(&l->lanes);
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (l->epoll_fd < 0 || l->event_fd < 0)
		return -errno;
	ev.events = EPOLLIN;
	ev.data.fd = l->event_fd;
	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->event_fd, &ev))
		return -errno;
	l->multi = curl_multi_init();
	if (!l->multi)
		return -ENOMEM;
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_MAXCONNECTS, connections);
	curl_multi_setopt(l->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)LOOP_HOST_CONNECTIONS);
	return 0;
}

static void call_free(struct loop_call *c)
{
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	buf_finish(&c->url);
	buf_finish(&c->body);
	buf_finish(&c->reply);
	free(c);
}

static void free_calls(struct loop *l, struct loop_call *c)
{
	struct loop_call *next;

	for (; c; c = next) {
		next = c->next;
		if (c->sent)
			curl_multi_remove_handle(l->multi, c->easy);
		if (c->in_flight && c->lane)
			free(index_remove(&l->lanes, c->lane));
		call_free(c);
	}
}

void loop_finish(struct loop *l)
{
	free_calls(l, l->idle);
	free_calls(l, l->in_flight);
	if (l->multi)
		curl_multi_cleanup(l->multi);
	index_finish(&l->lanes);
	free(l->fds);
	close(l->event_fd);
	close(l->epoll_fd);
}

/* A reply that is arriving is not cut off: the next attempt would begin it
 * anew. */
static void call_extend(struct loop_call *c)
{
	int64_t due;

	if (!c->stall_ms)
		return;
	due = clock_boot_ms() + c->stall_ms;
	if (due > c->due_ms)
		c->due_ms = due;
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct loop_call *c = ctx;

	if (c->reply.len + size * n > LOOP_BODY_MAX)
		return 0;
	buf_add(&c->reply, data, size * n);
	call_extend(c);
	return size * n;
}

static struct loop_call *call_acquire(struct loop *l)
{
	struct loop_call *c = l->idle;

	if (c) {
		l->idle = c->next;
		return c;
	}
	c = xcalloc(1, sizeof(*c));
	c->loop = l;
	c->easy = curl_easy_init();
	if (!c->easy)
		abort();
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	curl_easy_setopt(c->easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_PERIOD_S);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS, l->connect_ms);
	curl_easy_setopt(c->easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(c->easy, CURLOPT_OPENSOCKETDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(c->easy, CURLOPT_CLOSESOCKETDATA, l);
	return c;
}

static void call_link(struct loop *l, struct loop_call *c)
{
	c->in_flight = true;
	c->prev = NULL;
	c->next = l->in_flight;
	if (l->in_flight)
		l->in_flight->prev = c;
	l->in_flight = c;
	if (c->due_ms < l->expiry_due_ms)
		l->expiry_due_ms = c->due_ms;
}

static void call_unlink(struct loop *l, struct loop_call *c)
{
	c->in_flight = false;
	if (c->prev)
		c->prev->next = c->next;
	else
		l->in_flight = c->next;
	if (c->next)
		c->next->prev = c->prev;
}

static void call_send(struct loop *l, struct loop_call *c)
{
	c->sent = true;
	c->opened_fd = -1;
	c->begun_ms = clock_boot_ms();
	curl_multi_add_handle(l->multi, c->easy);
}

static void lane_enter(struct loop *l, struct loop_call *c)
{
	struct loop_lane *lane = index_get(&l->lanes, c->lane);

	if (!lane) {
		lane = xcalloc(1, sizeof(*lane));
		lane->waiting_tail = &lane->waiting;
		index_put(&l->lanes, c->lane, lane);
	}
	if (lane->in_flight < LOOP_LANE_MAX) {
		lane->in_flight++;
		call_send(l, c);
		return;
	}
	c->next_waiting = NULL;
	*lane->waiting_tail = c;
	lane->waiting_tail = &c->next_waiting;
}

static void lane_remove_waiting(struct loop_lane *lane, struct loop_call *c)
{
	struct loop_call **at = &lane->waiting;

	while (*at != c)
		at = &(*at)->next_waiting;
	*at = c->next_waiting;
	if (!*at)
		lane->waiting_tail = at;
}

/* Takes a call that has ended out of its lane; the next one takes its turn. */
static void lane_leave(struct loop *l, struct loop_call *c)
{
	struct loop_lane *lane = index_get(&l->lanes, c->lane);
	struct loop_call *next;

	if (!c->sent) {
		lane_remove_waiting(lane, c);
		return;
	}
	next = lane->waiting;
	if (next) {
		lane_remove_waiting(lane, next);
		call_send(l, next);
	} else if (!--lane->in_flight) {
		index_remove(&l->lanes, c->lane);
		free(lane);
	}
}

void loop_fetch(struct loop *l, const struct fetch *f, fetch_done done,
		void *ctx)
{
	struct loop_call *c = call_acquire(l);
	char type[HEADER_MAX];

	c->done = done;
	c->ctx = ctx;
	c->activity = f->activity;
	c->sent_ms = clock_boot_ms();
	c->due_ms = c->sent_ms + f->timeout_ms;
	c->stall_ms = f->stall_ms;
	call_link(l, c);
	buf_clear(&c->url);
	buf_clear(&c->body);
	buf_clear(&c->reply);
	buf_adds(&c->url, f->url);
	buf_add(&c->body, f->body.data, f->body.len);
	curl_slist_free_all(c->headers);
	c->headers = NULL;
	if (f->post) {
		snprintf(type, sizeof(type), "Content-Type: %s",
			 f->content_type);
		c->headers = curl_slist_append(c->headers, type);
		c->headers = curl_slist_append(c->headers, "Expect:");
		curl_easy_setopt(c->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS,
				 c->body.data ? c->body.data : "");
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE,
				 (long)c->body.len);
	} else {
		curl_easy_setopt(c->easy, CURLOPT_HTTPGET, 1L);
	}
	if (f->header)
		c->headers = curl_slist_append(c->headers, f->header);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_URL, c->url.data);
	curl_easy_setopt(c->easy, CURLOPT_PREREQFUNCTION,
			 f->post ? before_post : NULL);
	curl_easy_setopt(c->easy, CURLOPT_PREREQDATA, c);
	c->post = f->post;
	l->fetches++;
	c->lane = f->lane;
	c->sent = false;
	if (c->lane)
		lane_enter(l, c);
	else
		call_send(l, c);
}

/* Scheme and authority of the URL of a call. */
static uint64_t call_peer(const struct loop_call *c)
{
	const char *at = strstr(c->url.data, "://");
	size_t len;

	len = at ? (size_t)(at - c->url.data) + 3 : 0;
	len += strcspn(c->url.data + len, "/");
	return bytes_hash((struct str){c->url.data, len});
}

/* The connection that was opened for a call has carried a reply. */
static void note_peer(struct loop *l, const struct loop_call *c)
{
	struct loop_fd *f;

	if (c->opened_fd < 0)
		return;
	f = fd_state(l, c->opened_fd);
	if (f->is_own && f->opener == c)
		f->peer = call_peer(c);
}

/*
 * A call got no reply. The connections to that address that have carried no
 * reply since it began may have gone silent in the same way, such as by a link
 * that drops their packets without a reset; curl opens a new one instead of one
 * that has ended. Only sockets that have connected are named: the loop learns
 * when curl closes these.
 */
static void distrust_idle(struct loop *l, const struct loop_call *c)
{
	uint64_t peer = call_peer(c);
	uint32_t ended = 0;
	size_t fd;

	for (fd = 0; fd < l->fd_count; fd++) {
		struct loop_fd *f = &l->fds[fd];

		if (f->peer != peer || f->in_use || !f->is_own ||
		    f->used_ms > c->begun_ms)
			continue;
		shutdown((int)fd, SHUT_RDWR);
		f->peer = 0;
		ended++;
	}
	if (ended)
		log_line(LOG_WARN, "no reply: idle connections ended",
			 "url=%s connections=%u", c->url.data, ended);
}

static void call_finish(struct loop *l, struct loop_call *c, CURLcode result)
{
	struct fetch_result f = {0};
	enum activity before;
	long error = 0;

	call_unlink(l, c);
	if (result == CURLE_OK)
		note_peer(l, c);
	else if (result == CURLE_OPERATION_TIMEDOUT && c->sent &&
		 http_was_sent(c->easy))
		distrust_idle(l, c);
	if (c->sent)
		curl_multi_remove_handle(l->multi, c->easy);
	f.sent_ms = c->sent_ms;
	f.begun_ms = c->sent ? c->begun_ms : 0;
	if (result == CURLE_OK) {
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &f.status);
		f.body.data = c->reply.data;
		f.body.len = c->reply.len;
	} else if (!c->sent) {
		f.not_sent = true;
	} else {
		f.not_sent = !http_was_sent(c->easy);
		l->unanswered += !f.not_sent;
		curl_easy_getinfo(c->easy, CURLINFO_OS_ERRNO, &error);
		f.refused = f.not_sent && result == CURLE_COULDNT_CONNECT &&
			    error == ECONNREFUSED;
	}
	if (c->lane)
		lane_leave(l, c);
	c->sent = false;
	before = activity_enter(&l->activity, c->activity);
	c->done(c->ctx, &f);
	activity_enter(&l->activity, before);
	buf_clear(&c->body);
	buf_shrink(&c->body, KEEP_BYTES);
	buf_clear(&c->reply);
	buf_shrink(&c->reply, KEEP_BYTES);
	c->next = l->idle;
	l->idle = c;
}

static void finish_calls(struct loop *l)
{
	int left;

	for (;;) {
		CURLMsg *m = curl_multi_info_read(l->multi, &left);

		if (!m)
			return;
		if (m->msg == CURLMSG_DONE) {
			struct loop_call *c;

			curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE,
					  (char **)&c);
			call_finish(l, c, m->data.result);
		}
	}
}

/*
 * Time-outs are checked here, after the sockets have been read, and not by
 * curl, which fails a call although its reply is ready to be read. That happens
 * on a host short of CPU time, which reads replies late.
 */
static void expire_calls(struct loop *l, int64_t now_ms)
{
	struct loop_call *c;

	if (now_ms < l->expiry_due_ms)
		return;
	l->expiry_due_ms = INT64_MAX;
	for (c = l->in_flight; c;) {
		struct loop_call *next = c->next;

		/* New calls are added in front, so @next stays valid. */
		if (now_ms >= c->due_ms)
			call_finish(l, c, CURLE_OPERATION_TIMEDOUT);
		else if (c->due_ms < l->expiry_due_ms)
			l->expiry_due_ms = c->due_ms;
		c = next;
	}
}

void loop_post(struct loop *l, void *value)
{
	struct loop_post_item *p = xcalloc(1, sizeof(*p));
	uint64_t one = 1;

	p->value = value;
	lock_take(&l->lock);
	*l->posts_tail = p;
	l->posts_tail = &p->next;
	lock_give(&l->lock);
	if (write(l->event_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		log_line(LOG_ERROR, "cannot wake the event loop", "errno=%d",
			 errno);
}

static void deliver_posts(struct loop *l)
{
	struct loop_post_item *p, *next;
	uint64_t n;

	if (read(l->event_fd, &n, sizeof(n)) < 0)
		return;
	lock_take(&l->lock);
	p = l->posts;
	l->posts = NULL;
	l->posts_tail = &l->posts;
	lock_give(&l->lock);
	for (; p; p = next) {
		next = p->next;
		l->ops->post(l->ctx, p->value);
		free(p);
	}
}

static void handle_event(struct loop *l, const struct epoll_event *ev)
{
	struct loop_fd *f;
	int running, bits = 0;

	if (ev->data.fd == l->event_fd) {
		deliver_posts(l);
		return;
	}
	if (ev->events & EPOLLIN)
		bits |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		bits |= CURL_CSELECT_OUT;
	if (ev->events & (EPOLLERR | EPOLLHUP))
		bits |= CURL_CSELECT_ERR;
	f = fd_state(l, ev->data.fd);
	if (f->in_use)
		curl_multi_socket_action(l->multi, ev->data.fd, bits, &running);
	else /* the peer closed an idle connection */
		epoll_update(l, ev->data.fd, f, 0);
}

static int wait_timeout_ms(const struct loop *l, int64_t due_ms)
{
	int64_t now = clock_boot_ms();

	if (l->curl_due_ms < due_ms)
		due_ms = l->curl_due_ms;
	return due_ms > now ? (int)(due_ms - now) : 0;
}

/* Returns whether more events may be pending. */
static bool process_events(struct loop *l, int timeout_ms)
{
	struct epoll_event events[EVENTS_MAX];
	int running, i, n;

	activity_enter(&l->activity, ACTIVITY_WAIT);
	n = epoll_wait(l->epoll_fd, events, EVENTS_MAX, timeout_ms);
	activity_enter(&l->activity, ACTIVITY_IO);

	for (i = 0; i < n; i++)
		handle_event(l, &events[i]);
	if (l->curl_due_ms <= clock_boot_ms()) {
		l->curl_due_ms = INT64_MAX;
		curl_multi_socket_action(l->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	finish_calls(l);
	return n == EVENTS_MAX;
}

void loop_run(struct loop *l)
{
	int64_t due;
	int rounds;

	while (!l->stopping) {
		due = clock_boot_ms() + l->ops->tick(l->ctx);
		if (l->expiry_due_ms < due)
			due = l->expiry_due_ms;
		rounds = 0;
		if (process_events(l, wait_timeout_ms(l, due)))
			while (++rounds < ROUNDS_MAX && process_events(l, 0))
				;
		expire_calls(l, clock_boot_ms());
	}
}

void loop_drain(struct loop *l)
{
	deliver_posts(l);
}

void loop_stop(struct loop *l)
{
	l->stopping = true;
}
