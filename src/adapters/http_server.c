#include "adapters/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/logger.h"

/* Time for replies to be sent before the connections are closed. */
#define LINGER_MS 300
#define LINGER_STEP_MS 3

static enum MHD_Result send_reply(struct http_request *r)
{
	struct MHD_Response *resp =
		MHD_create_response_from_buffer(r->reply.len, r->reply.data,
						MHD_RESPMEM_MUST_COPY);
	enum MHD_Result res;
	char text[16];

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

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state)
{
	struct http_server *s = ctx;
	struct http_request *r = *state;

	(void)version;
	if (!r) {
		r = xcalloc(1, sizeof(*r));
		r->server = s;
		r->conn = conn;
		r->method = method;
		r->path = url;
		*state = r;
		__atomic_add_fetch(&s->active, 1, __ATOMIC_SEQ_CST);
		return MHD_YES;
	}
	if (*size) {
		if (r->body.len + *size > s->body_max)
			r->too_large = true;
		else
			buf_add(&r->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (r->handled)
		return send_reply(r);
	r->handled = true;
	/*
	 * The request is counted before @closed is read: either the thread
	 * that closes the server sees it pending, or it is refused here.
	 */
	__atomic_add_fetch(&s->pending, 1, __ATOMIC_SEQ_CST);
	if (__atomic_load_n(&s->closed, __ATOMIC_SEQ_CST)) {
		__atomic_sub_fetch(&s->pending, 1, __ATOMIC_SEQ_CST);
		r->status = MHD_HTTP_SERVICE_UNAVAILABLE;
		r->close = true;
		buf_adds(&r->reply, "{}");
		return send_reply(r);
	}
	MHD_suspend_connection(conn);
	s->handle(s->ctx, r);
	return MHD_YES;
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_request *r = *state;

	struct http_server *s = ctx;

	(void)conn;
	(void)code;
	if (!r)
		return;
	__atomic_sub_fetch(&s->active, 1, __ATOMIC_SEQ_CST);
	buf_finish(&r->body);
	buf_finish(&r->reply);
	free(r);
	*state = NULL;
}

int http_server_start(struct http_server *s, const char *ip, uint16_t port,
		      size_t body_max)
{
	struct sockaddr_in sin = {0};
	const union MHD_DaemonInfo *info;

	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return -EINVAL;
	s->body_max = body_max;
	s->listen_fd = -1;
	s->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL |
			MHD_ALLOW_SUSPEND_RESUME,
		port, NULL, NULL, on_access, s, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_THREAD_POOL_SIZE,
		s->threads ? s->threads : (unsigned int)HTTP_THREADS,
		MHD_OPTION_CONNECTION_TIMEOUT,
		s->idle_s ? s->idle_s : (unsigned int)HTTP_IDLE_S,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)HTTP_CONNECTIONS_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s, MHD_OPTION_END);
	if (!s->daemon)
		return -EADDRINUSE;
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);
	s->port = info ? info->port : 0;
	return 0;
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
