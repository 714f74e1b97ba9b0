#include "adapters/clock.h"
#include "standins/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Test stand-in for callers outside the limits: opens connections, sends the
 * same unfinished request on each of them and keeps them open.
 */

#define POLL_MS 20
#define PIECE_BYTES 1000
#define CHUNK_BYTES 16384
#define SECOND_MS 1000

static struct setting rows[] = {
	{"port", "port", SETTING_NUMBER, 1, 65535, "1",
	 "port on 127.0.0.1 to connect to", false},
	{"path", "path", SETTING_TEXT, 1, 200, "/", "path of the requests",
	 true},
	{"host", "name", SETTING_TEXT, 1, 63, "desk.example",
	 "Host header of the requests", true},
	{"load", "name", SETTING_TEXT, 1, 16, "whole",
	 "whole, pieces: a body one byte short, sent at once or 1,000 bytes "
	 "at a time; chunks, bytes: a chunked body without its last byte, in "
	 "chunks of 16,384 bytes or of one; announced, unannounced: a part of "
	 "a body over the limit, with a length or chunked",
	 true},
	{"clients", "connections", SETTING_NUMBER, 1, 2000, "100",
	 "connections", false},
	{"body-bytes", "bytes", SETTING_NUMBER, 1, 1 << 30, "262144",
	 "length of the body, as announced where it is", false},
	{"sent-bytes", "bytes", SETTING_NUMBER, 1, 1 << 24, "2097152",
	 "bytes of the body to send, if it is longer than that", false},
	{"seconds", "seconds", SETTING_NUMBER, 1, 120, "30",
	 "time after which the program ends by itself", false},
	{"sent-file", "path", SETTING_TEXT, 0, 200, "",
	 "file that receives the port once each connection has sent its part "
	 "or was closed by the server",
	 false},
};

/**
 * struct client - one connection
 * @fd: socket; -1 once the server has closed it
 * @sent: bytes of the request sent so far
 */
struct client {
	int fd;
	size_t sent;
};

/**
 * struct crowd - all connections, which send the same request
 * @request: header and body, without what is never sent
 * @write_max: most bytes to send on one connection before the next one's turn
 */
struct crowd {
	struct client *clients;
	struct pollfd *polled;
	size_t count;
	struct buf request;
	size_t write_max;
};

static void add_body(struct buf *b, size_t len)
{
	char part[CHUNK_BYTES];

	memset(part, 'x', sizeof(part));
	for (; len; len -= len < sizeof(part) ? len : sizeof(part))
		buf_add(b, part, len < sizeof(part) ? len : sizeof(part));
}

static void add_chunks(struct buf *b, size_t len, size_t chunk)
{
	while (len) {
		size_t n = len < chunk ? len : chunk;

		buf_addf(b, "%zx\r\n", n);
		add_body(b, n);
		buf_adds(b, "\r\n");
		len -= n;
	}
}

static int build_request(struct crowd *c, const struct settings *s)
{
	const char *load = settings_text(s, "load");
	size_t body = (size_t)settings_number(s, "body-bytes");
	size_t sent = (size_t)settings_number(s, "sent-bytes");
	bool is_bytes = !strcmp(load, "bytes");
	bool is_chunked = is_bytes || !strcmp(load, "chunks") ||
			  !strcmp(load, "unannounced");

	if (!is_chunked && strcmp(load, "whole") && strcmp(load, "pieces") &&
	    strcmp(load, "announced"))
		return -EINVAL;
	if (sent >= body)
		sent = body - 1;
	buf_addf(&c->request, "POST %s HTTP/1.1\r\nHost: %s\r\n",
		 settings_text(s, "path"), settings_text(s, "host"));
	if (is_chunked) {
		buf_adds(&c->request, "Transfer-Encoding: chunked\r\n\r\n");
		add_chunks(&c->request, sent, is_bytes ? 1 : CHUNK_BYTES);
	} else {
		buf_addf(&c->request, "Content-Length: %zu\r\n\r\n", body);
		add_body(&c->request, sent);
	}
	c->write_max =
		strcmp(load, "pieces") ? c->request.len : (size_t)PIECE_BYTES;
	return 0;
}

static int client_connect(struct client *c, uint16_t port)
{
	struct sockaddr_in to = {0};
	int on = 1;

	to.sin_family = AF_INET;
	to.sin_port = htons(port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (c->fd < 0)
		return -errno;
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(c->fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS)
		return -errno;
	return 0;
}

static void client_close(struct client *c)
{
	close(c->fd);
	c->fd = -1;
}

static void client_read(struct client *c)
{
	char part[4096];
	ssize_t n;

	do
		n = recv(c->fd, part, sizeof(part), 0);
	while (n > 0);
	if (!n || (errno != EAGAIN && errno != EINTR))
		client_close(c);
}

static void client_write(struct client *c, const struct crowd *crowd)
{
	size_t left = crowd->request.len - c->sent;
	ssize_t n = send(c->fd, crowd->request.data + c->sent,
			 left < crowd->write_max ? left : crowd->write_max,
			 MSG_NOSIGNAL);

	if (n > 0)
		c->sent += (size_t)n;
	else if (errno != EAGAIN && errno != EINTR)
		client_close(c);
}

/* Return: whether a connection has more to send. */
static bool crowd_turn(struct crowd *c)
{
	bool busy = false;
	size_t i;

	for (i = 0; i < c->count; i++) {
		c->polled[i].fd = c->clients[i].fd;
		c->polled[i].events = POLLIN;
		if (c->clients[i].sent < c->request.len)
			c->polled[i].events |= POLLOUT;
	}
	if (poll(c->polled, c->count, POLL_MS) < 0)
		return true;
	for (i = 0; i < c->count; i++) {
		struct client *one = &c->clients[i];

		if (one->fd >= 0 &&
		    (c->polled[i].revents & (POLLIN | POLLERR | POLLHUP)))
			client_read(one);
		if (one->fd >= 0 && (c->polled[i].revents & POLLOUT))
			client_write(one, c);
		busy |= one->fd >= 0 && one->sent < c->request.len;
	}
	return busy;
}

static size_t count_open(const struct crowd *c)
{
	size_t i, n = 0;

	for (i = 0; i < c->count; i++)
		n += c->clients[i].fd >= 0;
	return n;
}

static int crowd_run(struct crowd *c, const struct settings *s)
{
	int64_t end = clock_mono_ms() +
		      settings_number(s, "seconds") * (int64_t)SECOND_MS;
	uint16_t port = (uint16_t)settings_number(s, "port");
	bool told = false;
	size_t i;

	for (i = 0; i < c->count; i++) {
		if (client_connect(&c->clients[i], port)) {
			fprintf(stderr, "%s: cannot connect: errno %d\n",
				s->program, errno);
			return EXIT_CODE_ENV;
		}
	}
	while (!standin_is_stopping() && clock_mono_ms() < end) {
		if (crowd_turn(c) || told)
			continue;
		told = true;
		if (standin_write_port(settings_text(s, "sent-file"), port))
			return EXIT_CODE_FAILED;
	}
	printf("load=%s clients=%zu open=%zu\n", settings_text(s, "load"),
	       c->count, count_open(c));
	return EXIT_CODE_OK;
}

int main(int argc, char **argv)
{
	struct settings set = {
		.program = "standin-crowd",
		.about = "Test only: callers that begin requests on many "
			 "connections and do not finish them.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = standin_init(&set, argc, argv);
	struct crowd c = {0};

	if (code >= 0)
		return code;
	buf_init(&c.request);
	c.count = (size_t)settings_number(&set, "clients");
	c.clients = xcalloc(c.count, sizeof(*c.clients));
	c.polled = xcalloc(c.count, sizeof(*c.polled));
	if (build_request(&c, &set)) {
		fprintf(stderr, "%s: setting load: unknown load '%s'\n",
			set.program, settings_text(&set, "load"));
		code = EXIT_CODE_USAGE;
	} else {
		code = crowd_run(&c, &set);
	}
	buf_finish(&c.request);
	free(c.clients);
	free(c.polled);
	settings_finish(&set);
	return code;
}
