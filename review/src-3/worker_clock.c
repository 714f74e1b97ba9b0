#include "adapters/clock.h"
#include "adapters/http_server.h"

#include <stdlib.h>

/*
 * Two additions to the stand-in of a worker, for a process that starts again
 * on its machine: CLOCK_OFF_MS sets its time of day off, as a step of the clock
 * of the machine does, and WORKER_PORT names the port to listen on. Linked to
 * it with --wrap=clock_wall_ms and --wrap=http_server_start.
 */
int64_t __real_clock_wall_ms(void);
int64_t __wrap_clock_wall_ms(void);
int __real_http_server_start(struct http_server *s, const char *ip,
			     uint16_t port, size_t max);
int __wrap_http_server_start(struct http_server *s, const char *ip,
			     uint16_t port, size_t max);

static long variable(const char *name)
{
	const char *text = getenv(name);

	return text ? strtol(text, NULL, 10) : 0;
}

int64_t __wrap_clock_wall_ms(void)
{
	return __real_clock_wall_ms() + variable("CLOCK_OFF_MS");
}

int __wrap_http_server_start(struct http_server *s, const char *ip,
			     uint16_t port, size_t max)
{
	if (!port)
		port = (uint16_t)variable("WORKER_PORT");
	return __real_http_server_start(s, ip, port, max);
}
