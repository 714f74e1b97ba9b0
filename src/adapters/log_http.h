#ifndef ADAPTERS_LOG_HTTP_H
#define ADAPTERS_LOG_HTTP_H

#include <curl/curl.h>
#include <pthread.h>

#include "base/lock.h"
#include "core/stream.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/* This is below LOG_TIMEOUT_MS, so that no reply arrives after core/stream.c
 * has timed out. */
#define LOG_HTTP_TIMEOUT_MS 1900
/* Largest content of a reply, in bytes. */
#define LOG_HTTP_BODY_MAX (32 * 1024 * 1024)
#define LOG_HTTP_HOSTS_POLL_MS 1000
/* Largest number of entries in the reply to a read. */
#define LOG_HTTP_READ_ENTRIES 2000

/**
 * struct log_sink - receiver of replies, called on the log thread
 * @hosts: receives the host list, which may have changed; valid during the call
 * @hosts_unchanged: the host list is the one received last
 */
struct log_sink {
	void (*append)(void *ctx, uint64_t token, enum log_status status,
		       uint64_t offset);
	void (*read)(void *ctx, uint64_t token, const struct log_read *r);
	void (*hosts)(void *ctx, const struct listed_host *hosts, size_t count);
	void (*hosts_unchanged)(void *ctx);
	void *ctx;
};

/**
 * struct log_http - client of the platform's log and host list, over HTTP
 *
 * POST URL/v1/streams/NAME appends one line; GET URL/v1/streams/NAME?from=N
 * returns a first line {"first":F,"head":H} and a line "OFFSET TEXT" for each
 * entry; GET URL/v1/hosts?zone=ZONE returns the list, with the workers of that
 * zone only, or 304 if its ETag equals If-None-Match. Status 503 with
 * {"head":H} means that the log refuses calls for now.
 */
struct log_http {
	struct lock lock; /* LOCK_LOG */
	char url[NAME_SIZE * 4];
	char client[NAME_SIZE * 3];
	struct log_sink sink;
	CURLM *multi;
	struct log_call *queue;
	struct log_call **queue_tail;
	struct log_call *in_flight;
	struct curl_slist *headers;
	bool stopping;
	int64_t hosts_due_ms;
	char hosts_etag[NAME_SIZE];
	size_t active;
	pthread_t thread;
};

/**
 * log_http_start() - start the log thread
 * @url: base URL of the platform
 * @client: name of this process, NAME@ZONE, sent as User-Agent
 * @sink: copied
 *
 * Return: 0, or a negative error number.
 */
int log_http_start(struct log_http *l, const char *url, const char *client,
		   const struct log_sink *sink);
void log_http_stop(struct log_http *l);
void log_http_append(struct log_http *l, uint64_t token, const char *stream,
		     struct str body);
void log_http_read(struct log_http *l, uint64_t token, const char *stream,
		   uint64_t from);

/**
 * stream_url() - format the URL of a stream, with its name escaped
 */
void stream_url(const char *base, const char *stream, char *out, size_t size);

/**
 * log_read_parse() - parse the body of a reply to a read
 * @body: kept unchanged by the caller while @r is in use, which points into it
 * @a: holds the array of entries
 *
 * Return: 0, or -EBADMSG.
 */
int log_read_parse(struct buf *body, struct log_read *r, struct arena *a);

#ifdef __cplusplus
}
#endif

#endif
