#ifndef ADAPTERS_REQUEST_MEMORY_H
#define ADAPTERS_REQUEST_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* An upload or a connection without progress for this long is closed first when
 * room is needed. It covers several retransmissions on a lossy link. */
#define REQUEST_QUIET_MS 1000
/* Bodies up to this size may use the whole budget, larger ones all but a
 * quarter of it: ordinary jobs are served while large uploads fill theirs. */
#define REQUEST_SMALL_BYTES 16384

/**
 * enum connection_state - what a connection is used for
 * @CONNECTION_NEW: nothing yet, or an incomplete header
 * @CONNECTION_IDLE: nothing since its last request was answered
 * @CONNECTION_UPLOAD: the body of a request is being received
 * @CONNECTION_HANDLED: a request is being handled; it is never closed
 * @CONNECTION_CLOSING: chosen to be closed
 */
enum connection_state {
	CONNECTION_NEW,
	CONNECTION_IDLE,
	CONNECTION_UPLOAD,
	CONNECTION_HANDLED,
	CONNECTION_CLOSING,
};

/* The first states are those in which a connection may be closed. */
#define CONNECTION_CLOSABLE_STATES 3

/**
 * struct tracked_connection - one connection as these decisions see it
 * @held: allocated capacity of its body, bytes
 * @progress_ms: time of its last progress
 */
struct tracked_connection {
	enum connection_state state;
	size_t held;
	int64_t progress_ms;
	struct tracked_connection *prev;
	struct tracked_connection *next;
};

/**
 * struct connection_list - connections of one state, least recent progress
 *	first
 */
struct connection_list {
	struct tracked_connection *first;
	struct tracked_connection *last;
};

/**
 * struct request_memory - bounds on the bodies and connections of a server
 * @budget: bound on @held, bytes
 * @connections_max: bound on @connections
 * @held: allocated capacity of all bodies, bytes
 * @connections: open connections without those that are closing
 *
 * Does no input or output and takes no lock.
 */
struct request_memory {
	size_t budget;
	uint32_t connections_max;
	size_t held;
	uint32_t connections;
	struct connection_list lists[CONNECTION_CLOSABLE_STATES];
};

/**
 * enum body_verdict - whether a body may grow
 * @BODY_GROWS: the capacity is counted
 * @BODY_WAITS_FOR_CLOSE: another upload is to be closed first
 * @BODY_REFUSED: no room, and no upload that is stalled
 */
enum body_verdict { BODY_GROWS, BODY_WAITS_FOR_CLOSE, BODY_REFUSED };

/**
 * request_memory_init() - set the bounds; 0 for none
 */
void request_memory_init(struct request_memory *m, size_t budget,
			 uint32_t connections_max);

/**
 * request_memory_connections() - bound on connections of a process
 * @fd_limit: descriptors of the process
 * @bytes: memory that connections may take
 * @connection_bytes: memory of one connection
 */
uint32_t request_memory_connections(uint32_t fd_limit, uint64_t bytes,
				    uint32_t connection_bytes);

/**
 * request_memory_add() - count a new connection
 *
 * Return: the connection to close, which is in CONNECTION_CLOSING now: @c if no
 * other may be closed; NULL if the bound is kept.
 */
struct tracked_connection *request_memory_add(struct request_memory *m,
					      struct tracked_connection *c,
					      int64_t now_ms);

/**
 * request_memory_remove() - a connection has ended; uncounts its body too
 */
void request_memory_remove(struct request_memory *m,
			   struct tracked_connection *c);

/**
 * request_memory_progress() - a connection has made progress in a state
 *
 * Return: false if the connection is closing; its state does not change then.
 */
bool request_memory_progress(struct request_memory *m,
			     struct tracked_connection *c,
			     enum connection_state state, int64_t now_ms);

/**
 * request_memory_grow() - decide on a larger capacity for a body
 * @capacity: new capacity; counted instead of the old one if it is granted
 * @largest: capacity of the largest legal body, which is granted to a body that
 *	is alone
 * @victim: connection to close for BODY_WAITS_FOR_CLOSE, in CONNECTION_CLOSING;
 *	its body must be freed and released before the next call
 */
enum body_verdict request_memory_grow(struct request_memory *m,
				      struct tracked_connection *c,
				      size_t capacity, size_t largest,
				      int64_t now_ms,
				      struct tracked_connection **victim);

/**
 * request_memory_has_room() - test whether a body could be received, if stalled
 *	uploads are closed for it
 */
bool request_memory_has_room(const struct request_memory *m, size_t capacity,
			     size_t largest, int64_t now_ms);

/**
 * request_memory_release() - uncount the body of a connection
 */
void request_memory_release(struct request_memory *m,
			    struct tracked_connection *c);

/**
 * request_memory_capacity() - choose the next capacity of a body
 * @now: present capacity
 * @needed: least capacity
 * @announced: length of the body with its terminator; 0 if it is unknown
 * @largest: capacity of the largest legal body
 */
size_t request_memory_capacity(size_t now, size_t needed, size_t announced,
			       size_t largest);

#ifdef __cplusplus
}
#endif

#endif
