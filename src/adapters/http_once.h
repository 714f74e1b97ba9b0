#ifndef ADAPTERS_HTTP_ONCE_H
#define ADAPTERS_HTTP_ONCE_H

#include <curl/curl.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * http_once_set() - choose whether curl may send a request a second time
 * @easy: handle whose next transfers this is for
 * @once: send no request again of which a part has been sent
 *
 * When a reused connection ends without a reply, curl sends the request again
 * on another one, whatever the method, and reports the reply to the second
 * request only. The first one may have been carried out, so that a refusal of
 * the second says nothing about the call. With @once the transfer fails
 * instead, as any other one without a reply.
 *
 * Uses CURLOPT_PREREQFUNCTION.
 */
void http_once_set(CURL *easy, bool once);

/**
 * http_was_sent() - whether a part of the transfer's request has been sent
 *
 * Return: false if the server cannot have received any of it.
 */
bool http_was_sent(CURL *easy);

#ifdef __cplusplus
}
#endif

#endif
