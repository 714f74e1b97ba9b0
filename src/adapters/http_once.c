#include "adapters/http_once.h"

/*
 * Called with a connection at hand, before each time the request is sent. The
 * type is curl's.
 */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static int before_request(void *ctx, char *peer_ip, char *local_ip,
			  int peer_port, int local_port)
{
	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	return http_was_sent(ctx) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void http_once_set(CURL *easy, bool once)
{
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION,
			 once ? before_request : NULL);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, easy);
}

bool http_was_sent(CURL *easy)
{
	long bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}
