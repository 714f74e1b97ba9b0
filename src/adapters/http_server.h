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
 * struct http_request - one request, whole
 * @body: its content, at most the server's cap
 * @close: end the connection after the answer
 * @too_large: the content passed the cap and was dropped
 *
 * The handler answers it with http_reply(), at once or later from any thread.
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
	char etag[NAME_SIZE]; /* sent with the answer when set */
	struct buf reply;
};

/**
 * struct http_server - HTTP server on threads of its own
 * @pending: requests that were handed to the handler and are not answered
 * @active: requests that are not over
 * @closed: no more requests are handed over
 */
struct http_server {
	unsigned int pending;
	unsigned int active;
	bool closed;
	unsigned int threads; /* 0 is HTTP_THREADS */
	unsigned int idle_s;  /* 0 is HTTP_IDLE_S */
	struct MHD_Daemon *daemon;
	uint16_t port;
	size_t body_max;
	void (*handle)(void *ctx, struct http_request *r);
	void *ctx;
};

/**
 * http_server_start() - serve on a pool of threads
 * @port: 0 lets the system choose; http_server.port tells
 *
 * Return: 0, or a negative error number.
 */
int http_server_start(struct http_server *s, const char *ip, uint16_t port,
		      size_t body_max);

/**
 * http_server_close() - take no more connections and hand over no more requests
 *
 * Requests that come on open connections are refused with 503.
 */
void http_server_close(struct http_server *s);

/**
 * http_server_has_pending() - whether a request waits for its answer
 */
bool http_server_has_pending(const struct http_server *s);

/**
 * http_server_stop() - end; all requests handed over should be answered
 */
void http_server_stop(struct http_server *s);

/**
 * http_reply() - answer a request; it must not be used afterwards
 * @retry_ms: sent as Retry-After when not 0, milliseconds
 */
void http_reply(struct http_request *r, int status, uint32_t retry_ms,
		const char *body, size_t len);

/**
 * http_header() - value of a header, or NULL
 */
const char *http_header(const struct http_request *r, const char *name);

/**
 * http_query() - value of a query argument, or NULL
 */
const char *http_query(const struct http_request *r, const char *name);

#ifdef __cplusplus
}
#endif

#endif
