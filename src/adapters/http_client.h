#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include "base/buf.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * http_fetch() - make one blocking HTTP request
 * @body: content, or NULL for none
 * @out: receives the content of the reply
 *
 * Return: the HTTP status, or -EIO without a complete reply.
 */
long http_fetch(const char *method, const char *url, const char *body,
		int64_t timeout_ms, struct buf *out);

/**
 * fetch_hosts() - read the platform's host list
 * @platform: base URL of the platform
 * @hosts: receives an array that the caller frees, or NULL after an error
 *
 * Return: 0, or -EIO if the status is not 200.
 */
int fetch_hosts(const char *platform, struct listed_host **hosts,
		size_t *count);

#ifdef __cplusplus
}
#endif

#endif
