#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <microhttpd.h>

#include "adapters/request_memory.h"
#include "base/buf.h"
#include "base/lock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define HTTP_THREADS 4
#define HTTP_IDLE_S 30
#define HTTP_STALL_S 5
#define HTTP_CONNECTIONS_MAX 30000
/* Memory that the HTTP library keeps for each connection; it bounds the size of
 * a header. */
#define HTTP_CONNECTION_POOL_BYTES 32768
/* Memory of a connection: that, the structs of the library and of this file. */
#define HTTP_CONNECTION_BYTES (HTTP_CONNECTION_POOL_BYTES + 2048)

/**
 * struct http_request - one complete request
 * @body: content, at most http_server.body_max bytes
 * @announced: length of the content with its terminator; 0 if it is unknown
 * @has_body: content is announced
 * @too_large: the content exceeds body_max and was dropped
 * @no_room: the content was dropped for lack of memory; refused with 503
 * @dropped: bytes received after the content was dropped
 * @handled: the request was passed to the handler or refused
 * @close: close the connection after the reply
 * @retry_ms: sent as Retry-After, rounded up to seconds; 0 for none
 *
 * The handler replies with http_reply(), at once or later, from any thread.
 */
struct http_server;
struct http_connection;

struct http_request {
	struct http_server *server;
	struct http_connection *connection;
	struct MHD_Connection *conn;
	const char *method;
	const char *path;
	struct buf body;
	size_t announced;
	size_t dropped;
	bool has_body;
	bool too_large;
	bool no_room;
	bool handled;
	bool close;
	int status;
	uint32_t retry_ms;
	char etag[NAME_SIZE]; /* sent with the reply unless empty */
	struct buf reply;
};

/**
 * struct http_counts - open connections, and counters of what was over a limit
 * @connections: open connections
 * @body_bytes: memory of the bodies being received or handled
 * @connections_closed: connections closed for a new one, or new ones closed as
 *	all others had a request that was being handled
 * @uploads_closed: stalled uploads closed to make room for another body
 * @uploads_stalled: uploads closed after stall_s without progress
 * @uploads_refused: bodies dropped for lack of memory
 * @too_large: bodies over body_max
 */
struct http_counts {
	uint32_t connections;
	size_t body_bytes;
	uint64_t connections_closed;
	uint64_t uploads_closed;
	uint64_t uploads_stalled;
	uint64_t uploads_refused;
	uint64_t too_large;
};

/**
 * struct http_server - HTTP server with its own threads
 * @pending: requests passed to the handler that have no reply yet
 * @active: requests that are not completed, the sending of replies included
 * @closed: further requests are refused
 * @threads: size of the thread pool; 0 selects HTTP_THREADS
 * @idle_s: time after which an idle connection is closed; 0 selects
 *	HTTP_IDLE_S
 * @stall_s: time without progress after which an upload is closed; 0 selects
 *	HTTP_STALL_S
 * @connections_max: open connections beyond which the one without progress for
 *	longest is closed; 0 selects HTTP_CONNECTIONS_MAX
 * @bodies_max: bound on the memory of all bodies, bytes; 0 for none
 * @lock: guards the following fields, and the bodies and the descriptors of
 *	connections against close_connection()
 * @logged_ms: time of the last log line on limits
 * @listen_fd: listening socket, taken over from the library when the server is
 *	closed; -1 before
 * @port: port that the server listens on
 * @body_max: limit on the content of a request, bytes; atomic
 * @handle: called with each complete request, on a thread of the server
 */
struct http_server {
	unsigned int pending;
	unsigned int active;
	bool closed;
	unsigned int threads;
	unsigned int idle_s;
	unsigned int stall_s;
	uint32_t connections_max;
	size_t bodies_max;
	struct lock lock; /* LOCK_NET */
	struct request_memory memory;
	struct http_counts counts;
	int64_t logged_ms;
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
 * @max: limit on the content of a request, bytes
 *
 * Return: 0, or a negative error number.
 */
int http_server_start(struct http_server *s, const char *ip, uint16_t port,
		      size_t max);

/**
 * http_server_set_body_max() - change the limit on the content of a request
 *
 * From any thread; requests whose header is examined later are held to it.
 */
void http_server_set_body_max(struct http_server *s, size_t max);

/**
 * http_server_get_counts() - copy the counters; from any thread
 */
void http_server_get_counts(struct http_server *s, struct http_counts *out);

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
