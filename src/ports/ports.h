#ifndef PORTS_PORTS_H
#define PORTS_PORTS_H

#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum log_status - result of a call to the platform's log
 */
enum log_status {
	LOG_OK,
	LOG_REFUSED,  /* refused: the log takes no records now */
	LOG_NO_REPLY, /* no reply: the call may have taken effect */
};

/**
 * struct log_entry - one entry of a stream
 */
struct log_entry {
	uint64_t offset;
	struct str body;
};

/**
 * struct log_read - reply to a read
 * @head: offset of the next append; known with LOG_OK and LOG_REFUSED
 * @first: oldest offset still kept
 */
struct log_read {
	enum log_status status;
	uint64_t head;
	uint64_t first;
	const struct log_entry *entries;
	size_t count;
};

enum host_role { HOST_ENTRY, HOST_SCHEDD, HOST_WORKER };

/**
 * struct listed_host - one entry of the platform's host list, which may be
 * stale
 * @id: name_hash() of @name
 * @addr: IP address and port for the other processes
 * @http: IP address and port for HTTP
 * @role: enum host_role
 * @leaving: the host is about to leave and gets no new work
 */
struct listed_host {
	uint64_t id;
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	char rack[NAME_SIZE];
	char addr[NAME_SIZE];
	char http[NAME_SIZE];
	uint32_t role;
	uint32_t leaving;
};

extern const struct shape host_shape;

/**
 * struct port_ops - operations through which the core reaches other processes,
 *	the timeline and the counters
 * @append: append one batch; the reply carries @token
 * @read: read a stream from an offset; the reply carries @token
 * @send: send a message to a host; it may be lost, delayed, duplicated or
 *	reordered
 * @event: record an event for the timeline
 * @count: add to a counter, an enum counter_id
 *
 * No call blocks, and none calls back into the core.
 */
struct port_ops {
	void (*append)(void *ctx, uint64_t token, const char *stream,
		       struct str body);
	void (*read)(void *ctx, uint64_t token, const char *stream,
		     uint64_t from);
	void (*send)(void *ctx, uint64_t to, const struct msg *m);
	void (*event)(void *ctx, const char *name, uint64_t task,
		      uint32_t attempt, const char *detail);
	void (*count)(void *ctx, int counter, uint64_t n);
};

/**
 * struct ports - operations for the core, and their first argument
 */
struct ports {
	const struct port_ops *ops;
	void *ctx;
};

#ifdef __cplusplus
}
#endif

#endif
