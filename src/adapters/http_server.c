#include "adapters/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/clock.h"
#include "base/logger.h"

/* Time for replies to be sent before the connections are closed. */
#define LINGER_MS 300
#define LINGER_STEP_MS 3
/* Connections that may be open beyond the bound while those that were chosen to
 * be closed are not closed yet: the library accepts some in one go. */
#define CLOSING_CONNECTIONS 16
/* Retry-After of a body for which there is no room: stalled uploads can be
 * closed for it by then. */
#define NO_ROOM_RETRY_MS REQUEST_QUIET_MS
#define OVERLOAD_LOG_MS 1000

/**
 * struct http_connection - one open connection
 * @tracked: first, so that it can be converted
 * @request: request that is not completed, or NULL
 */
struct http_connection {
	struct tracked_connection tracked;
	int fd;
	struct http_request *request;
};

static void free_body(struct http_server *s, struct http_connection *c)
{
	if (c->request)
		buf_finish(&c->request->body);
	request_memory_release(&s->memory, &c->tracked);
}

/*
 * Called with the lock, which the end of the connection takes too: the
 * descriptor is not closed meanwhile. The connection's own thread closes it
 * when it finds the socket shut down.
 */
static void close_connection(struct http_server *s,
			     struct tracked_connection *t)
{
	struct http_connection *c = (struct http_connection *)t;

	free_body(s, c);
	shutdown(c->fd, SHUT_RDWR);
}

static void log_overload(struct http_server *s)
{
	int64_t now = clock_mono_ms();
	struct http_counts n;
	bool is_due;

	lock_take(&s->lock);
	is_due = !s->logged_ms || now - s->logged_ms >= OVERLOAD_LOG_MS;
	if (is_due)
		s->logged_ms = now;
	lock_give(&s->lock);
	if (!is_due)
		return;
	http_server_get_counts(s, &n);
	log_line(LOG_WARN, "requests over their limits",
		 "port=%u connections=%u connections_max=%u body_bytes=%zu "
		 "body_bytes_max=%zu connections_closed=%" PRIu64
		 " uploads_closed=%" PRIu64 " uploads_stalled=%" PRIu64
		 " uploads_refused=%" PRIu64 " too_large=%" PRIu64,
		 s->port, n.connections, s->memory.connections_max,
		 n.body_bytes, s->memory.budget, n.connections_closed,
		 n.uploads_closed, n.uploads_stalled, n.uploads_refused,
		 n.too_large);
}

static enum MHD_Result send_reply(struct http_request *r)
{
	struct http_server *s = r->server;
	struct MHD_Response *resp =
		MHD_create_response_from_buffer(r->reply.len, r->reply.data,
						MHD_RESPMEM_MUST_COPY);
	enum MHD_Result res;
	char text[16];

	lock_take(&s->lock);
	free_body(s, r->connection);
	request_memory_progress(&s->memory, &r->connection->tracked,
				CONNECTION_IDLE, clock_mono_ms());
	lock_give(&s->lock);
	MHD_add_response_header(resp, "Content-Type", "application/json");
	if (r->etag[0])
		MHD_add_response_header(resp, "ETag", r->etag);
	if (r->retry_ms) {
		snprintf(text, sizeof(text), "%u", (r->retry_ms + 999) / 1000);
		MHD_add_response_header(resp, "Retry-After", text);
	}
	if (r->close)
		MHD_add_response_header(resp, "Connection", "close");
	res = MHD_queue_response(r->conn, (unsigned int)r->status, resp);
	MHD_destroy_response(resp);
	return res;
}

static enum MHD_Result refuse(struct http_request *r, uint32_t retry_ms)
{
	r->status = MHD_HTTP_SERVICE_UNAVAILABLE;
	r->retry_ms = retry_ms;
	r->close = true;
	buf_adds(&r->reply, "{}");
	return send_reply(r);
}

static unsigned int idle_s(const struct http_server *s)
{
	return s->idle_s ? s->idle_s : (unsigned int)HTTP_IDLE_S;
}

static enum MHD_Result handle_request(struct http_request *r)
{
	struct http_server *s = r->server;
	bool is_open;

	r->handled = true;
	if (r->has_body)
		MHD_set_connection_option(r->conn,
					  MHD_CONNECTION_OPTION_TIMEOUT,
					  idle_s(s));
	if (r->no_room) {
		log_overload(s);
		return refuse(r, NO_ROOM_RETRY_MS);
	}
	lock_take(&s->lock);
	is_open = request_memory_progress(&s->memory, &r->connection->tracked,
					  CONNECTION_HANDLED, clock_mono_ms());
	lock_give(&s->lock);
	if (!is_open)
		return MHD_NO;
	/*
	 * The request is counted before @closed is read: either the thread
	 * that closes the server sees it pending, or it is refused here.
	 */
	__atomic_add_fetch(&s->pending, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&s->closed, __ATOMIC_SEQ_CST)) {
		__atomic_sub_fetch(&s->pending, 1, __ATOMIC_SEQ_CST);
		return refuse(r, 0);
	}
	MHD_suspend_connection(r->conn);
	s->handle(s->ctx, r);
	return MHD_YES;
}

static size_t body_max(const struct http_server *s)
{
	return __atomic_load_n(&s->body_max, __ATOMIC_RELAXED);
}

/* Called with the lock. */
static void refuse_body(struct http_request *r, bool *flag, uint64_t *count)
{
	free_body(r->server, r->connection);
	*flag = true;
	++*count;
}

/* Called with the lock. Closes stalled uploads until the body may grow. */
static bool reserve_body(struct http_request *r, size_t needed, size_t largest,
			 int64_t now)
{
	struct http_server *s = r->server;
	struct tracked_connection *victim;
	enum body_verdict v;
	size_t capacity;

	if (needed <= r->body.cap)
		return true;
	capacity = request_memory_capacity(r->body.cap, needed, r->announced,
					   largest);
	for (;;) {
		v = request_memory_grow(&s->memory, &r->connection->tracked,
					capacity, largest, now, &victim);
		if (v != BODY_WAITS_FOR_CLOSE)
			break;
		s->counts.uploads_closed++;
		close_connection(s, victim);
	}
	if (v == BODY_GROWS)
		buf_set_capacity(&r->body, capacity);
	return v == BODY_GROWS;
}

/* Called with the lock. Return: whether the connection is kept. */
static bool add_body(struct http_request *r, const char *data, size_t size,
		     int64_t now)
{
	struct http_server *s = r->server;
	size_t max = body_max(s);

	if (!request_memory_progress(&s->memory, &r->connection->tracked,
				     CONNECTION_UPLOAD, now))
		return false;
	if (r->too_large || r->no_room) {
		r->dropped += size;
		return r->dropped <= max;
	}
	if (r->body.len + size > max)
		refuse_body(r, &r->too_large, &s->counts.too_large);
	else if (!reserve_body(r, r->body.len + size + 1, max + 1, now))
		refuse_body(r, &r->no_room, &s->counts.uploads_refused);
	else
		buf_add(&r->body, data, size);
	return true;
}

static enum MHD_Result receive_body(struct http_request *r, const char *data,
				    size_t size)
{
	struct http_server *s = r->server;
	int64_t now = clock_mono_ms();
	uint64_t closed;
	bool is_kept;

	lock_take(&s->lock);
	closed = s->counts.uploads_closed;
	is_kept = add_body(r, data, size, now);
	closed = s->counts.uploads_closed - closed;
	lock_give(&s->lock);
	if (closed)
		log_overload(s);
	return is_kept ? MHD_YES : MHD_NO;
}

/* Reads how much body follows. Return: whether the request is refused already,
 * so that none of the body is received. */
static bool examine_header(struct http_request *r, int64_t now)
{
	const char *length = http_header(r, "Content-Length");
	struct http_server *s = r->server;
	size_t max = body_max(s);
	unsigned long long n;

	if (http_header(r, "Transfer-Encoding")) {
		r->has_body = true;
		return false;
	}
	n = length ? strtoull(length, NULL, 10) : 0;
	if (!n)
		return false;
	r->has_body = true;
	lock_take(&s->lock);
	if (n > max) {
		refuse_body(r, &r->too_large, &s->counts.too_large);
	} else {
		r->announced = (size_t)n + 1;
		if (!request_memory_has_room(&s->memory, r->announced, max + 1,
					     now))
			refuse_body(r, &r->no_room, &s->counts.uploads_refused);
	}
	lock_give(&s->lock);
	/* Without this header the body is on its way: the reply may be lost if
	 * the connection ends before the body is read. */
	return r->too_large || (r->no_room && http_header(r, "Expect"));
}

static enum MHD_Result begin_request(struct http_server *s,
				     struct MHD_Connection *conn,
				     const char *url, const char *method,
				     void **state)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn,
					MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct http_request *r = xcalloc(1, sizeof(*r));
	int64_t now = clock_mono_ms();
	bool is_open;

	r->server = s;
	r->conn = conn;
	r->method = method;
	r->path = url;
	r->connection = info->socket_context;
	*state = r;
	__atomic_add_fetch(&s->active, 1, __ATOMIC_SEQ_CST);
	lock_take(&s->lock);
	r->connection->request = r;
	is_open = request_memory_progress(&s->memory, &r->connection->tracked,
					  CONNECTION_UPLOAD, now);
	lock_give(&s->lock);
	if (!is_open)
		return MHD_NO;
	if (examine_header(r, now))
		return handle_request(r);
	if (r->has_body)
		MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT,
					  s->stall_s
						  ? s->stall_s
						  : (unsigned int)HTTP_STALL_S);
	return MHD_YES;
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state)
{
	struct http_server *s = ctx;
	struct http_request *r = *state;
	size_t n = *size;

	(void)version;
	if (!r)
		return begin_request(s, conn, url, method, state);
	if (n) {
		*size = 0;
		return receive_body(r, data, n);
	}
	if (r->handled)
		return send_reply(r);
	return handle_request(r);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_request *r = *state;
	struct http_server *s = ctx;
	bool is_stalled;

	(void)conn;
	if (!r)
		return;
	is_stalled =
		!r->handled && code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED;
	lock_take(&s->lock);
	free_body(s, r->connection);
	r->connection->request = NULL;
	request_memory_progress(&s->memory, &r->connection->tracked,
				CONNECTION_IDLE, clock_mono_ms());
	s->counts.uploads_stalled += is_stalled;
	lock_give(&s->lock);
	if (is_stalled)
		log_overload(s);
	__atomic_sub_fetch(&s->active, 1, __ATOMIC_SEQ_CST);
	buf_finish(&r->reply);
	free(r);
	*state = NULL;
}

static void begin_connection(struct http_server *s, struct MHD_Connection *conn,
			     void **socket_ctx)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn,
					MHD_CONNECTION_INFO_CONNECTION_FD);
	struct http_connection *c = xcalloc(1, sizeof(*c));
	struct tracked_connection *victim;

	c->fd = info->connect_fd;
	*socket_ctx = c;
	lock_take(&s->lock);
	victim = request_memory_add(&s->memory, &c->tracked, clock_mono_ms());
	if (victim) {
		s->counts.connections_closed++;
		close_connection(s, victim);
	}
	lock_give(&s->lock);
	if (victim)
		log_overload(s);
}

static void on_connection(void *ctx, struct MHD_Connection *conn,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_server *s = ctx;
	struct http_connection *c = *socket_ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		begin_connection(s, conn, socket_ctx);
		return;
	}
	if (!c)
		return;
	lock_take(&s->lock);
	request_memory_remove(&s->memory, &c->tracked);
	lock_give(&s->lock);
	free(c);
	*socket_ctx = NULL;
}

int http_server_start(struct http_server *s, const char *ip, uint16_t port,
		      size_t max)
{
	uint32_t connections = s->connections_max
				       ? s->connections_max
				       : (uint32_t)HTTP_CONNECTIONS_MAX;
	struct sockaddr_in sin = {0};
	const union MHD_DaemonInfo *info;

	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return -EINVAL;
	http_server_set_body_max(s, max);
	lock_init(&s->lock);
	request_memory_init(&s->memory, s->bodies_max, connections);
	s->listen_fd = -1;
	s->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL |
			MHD_ALLOW_SUSPEND_RESUME,
		port, NULL, NULL, on_access, s, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_THREAD_POOL_SIZE,
		s->threads ? s->threads : (unsigned int)HTTP_THREADS,
		MHD_OPTION_CONNECTION_TIMEOUT, idle_s(s),
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)(connections + CLOSING_CONNECTIONS),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTP_CONNECTION_POOL_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, s, MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
		MHD_OPTION_END);
	if (!s->daemon)
		return -EADDRINUSE;
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);
	s->port = info ? info->port : 0;
	return 0;
}

void http_server_set_body_max(struct http_server *s, size_t max)
{
	__atomic_store_n(&s->body_max, max, __ATOMIC_RELAXED);
}

void http_server_get_counts(struct http_server *s, struct http_counts *out)
{
	lock_take(&s->lock);
	*out = s->counts;
	out->connections = s->memory.connections;
	out->body_bytes = s->memory.held;
	lock_give(&s->lock);
}

/*
 * The descriptor stays open until the threads of the library have ended: they
 * may still name it to epoll_ctl(), and its number must not be given to another
 * file meanwhile. shutdown() makes the kernel refuse new connections.
 */
void http_server_close(struct http_server *s)
{
	if (__atomic_exchange_n(&s->closed, true, __ATOMIC_SEQ_CST))
		return;
	s->listen_fd = MHD_quiesce_daemon(s->daemon);
	if (s->listen_fd >= 0 && shutdown(s->listen_fd, SHUT_RDWR))
		log_line(LOG_WARN,
			 "cannot shut down the listening socket; connections "
			 "stay in its queue",
			 "port=%u error=%d", s->port, errno);
}

bool http_server_has_pending(const struct http_server *s)
{
	return __atomic_load_n(&s->pending, __ATOMIC_SEQ_CST);
}

void http_server_stop(struct http_server *s)
{
	int waited;

	http_server_close(s);
	for (waited = 0; waited < LINGER_MS &&
			 __atomic_load_n(&s->active, __ATOMIC_SEQ_CST);
	     waited += LINGER_STEP_MS)
		usleep(LINGER_STEP_MS * 1000);
	if (http_server_has_pending(s)) {
		/* MHD_stop_daemon() aborts on a suspended connection. */
		log_line(LOG_ERROR,
			 "HTTP server not stopped: requests are pending",
			 "port=%u unanswered=%u", s->port, s->pending);
		return;
	}
	MHD_stop_daemon(s->daemon);
	s->daemon = NULL;
	if (s->listen_fd >= 0)
		close(s->listen_fd);
}

void http_reply(struct http_request *r, int status, uint32_t retry_ms,
		const char *body, size_t len)
{
	r->status = status;
	r->retry_ms = retry_ms;
	buf_add(&r->reply, body, len);
	__atomic_sub_fetch(&r->server->pending, 1, __ATOMIC_SEQ_CST);
	MHD_resume_connection(r->conn);
}

const char *http_header(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

const char *http_query(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}
