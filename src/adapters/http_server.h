#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <microhttpd.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define HTTP_THREADS 4
#define HTTP_IDLE_S 30
#define HTTP_CONNECTIONS_MAX 30000

/**
 * struct http_request - one complete request
 * @body: content, at most http_server.body_max bytes
 * @too_large: the content exceeded body_max and is incomplete
 * @handled: the request was passed to the handler or refused
 * @close: close the connection after the reply
 * @retry_ms: sent as Retry-After, rounded up to seconds; 0 for none
 *
 * The handler replies with http_reply(), at once or later, from any thread.
 */
struct http_server;

struct http_request {
	struct http_server *server;
	struct MHD_Connection *conn;
	const char *method;
	const char *path;
	struct buf body;
	bool too_large;
	bool handled;
	bool close;
	int status;
	uint32_t retry_ms;
	char etag[NAME_SIZE]; /* sent with the reply unless empty */
	struct buf reply;
};

/**
 * struct http_server - HTTP server with its own threads
 * @pending: requests passed to the handler that have no reply yet
 * @active: requests that are not completed, the sending of replies included
 * @closed: further requests are refused
 * @threads: size of the thread pool; 0 selects HTTP_THREADS
 * @idle_s: time after which an idle connection is closed; 0 selects
 *	HTTP_IDLE_S
 * @listen_fd: listening socket, taken over from the library when the server is
 *	closed; -1 before
 * @port: port that the server listens on
 * @body_max: limit on the content of a request, bytes
 * @handle: called with each complete request, on a thread of the server
 */
struct http_server {
	unsigned int pending;
	unsigned int active;
	bool closed;
	unsigned int threads;
	unsigned int idle_s;
	struct MHD_Daemon *daemon;
	int listen_fd;
	uint16_t port;
	size_t body_max;
	void (*handle)(void *ctx, struct http_request *r);
	void *ctx;
};

/**
 * http_server_start() - listen and serve on a pool of threads
 * @port: port to listen on; 0 lets the system choose, see http_server.port
 * @body_max: limit on the content of a request, bytes
 *
 * Return: 0, or a negative error number.
 */
int http_server_start(struct http_server *s, const char *ip, uint16_t port,
		      size_t body_max);

/**
 * http_server_close() - stop accepting connections and requests
 *
 * Requests that arrive on open connections are refused with 503.
 */
void http_server_close(struct http_server *s);

/**
 * http_server_has_pending() - test whether a request has no reply yet
 */
bool http_server_has_pending(const struct http_server *s);

/**
 * http_server_stop() - close the server, send the replies and end its threads
 *
 * The server is left running, and an error logged, if a request is pending.
 */
void http_server_stop(struct http_server *s);

/**
 * http_reply() - reply to a request, which must not be used afterwards
 * @retry_ms: sent as Retry-After, rounded up to seconds; 0 for none
 */
void http_reply(struct http_request *r, int status, uint32_t retry_ms,
		const char *body, size_t len);

/**
 * http_header() - look up a request header; NULL if it is absent
 */
const char *http_header(const struct http_request *r, const char *name);

/**
 * http_query() - look up a query argument; NULL if it is absent
 */
const char *http_query(const struct http_request *r, const char *name);

#ifdef __cplusplus
}
#endif

#endif
