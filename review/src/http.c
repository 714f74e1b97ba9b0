#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 16384

struct conn {
	struct server *server;
	int fd;
	char *buf;
	size_t len;
	size_t cap;
};

static void conn_fill(struct conn *c, const char *data, size_t n)
{
	if (c->len + n + 1 > c->cap) {
		c->cap = (c->len + n + 1) * 2;
		c->buf = realloc(c->buf, c->cap);
	}
	memcpy(c->buf + c->len, data, n);
	c->len += n;
	c->buf[c->len] = '\0';
}

static bool conn_read(struct conn *c)
{
	char data[65536];
	ssize_t n = recv(c->fd, data, sizeof(data), 0);

	if (n <= 0)
		return false;
	conn_fill(c, data, (size_t)n);
	return true;
}

static const char *header(const char *head, const char *name)
{
	const char *p = head;
	size_t n = strlen(name);

	while ((p = strstr(p, "\r\n"))) {
		p += 2;
		if (!strncasecmp(p, name, n) && p[n] == ':') {
			p += n + 1;
			while (*p == ' ')
				p++;
			return p;
		}
	}
	return NULL;
}

static bool read_call(struct conn *c, struct call *out)
{
	char *end, *q, target[1400] = "";
	const char *v;
	size_t head, body = 0;

	while (!c->buf || !(end = strstr(c->buf, "\r\n\r\n")))
		if ((c->len > HEAD_MAX) || !conn_read(c))
			return false;
	head = (size_t)(end - c->buf) + 4;
	v = header(c->buf, "Content-Length");
	if (v && v < end)
		body = strtoul(v, NULL, 10);
	while (c->len < head + body)
		if (!conn_read(c))
			return false;
	memset(out, 0, sizeof(*out));
	if (sscanf(c->buf, "%7s %1399s", out->method, target) != 2)
		return false;
	q = strchr(target, '?');
	if (q) {
		*q++ = '\0';
		snprintf(out->query, sizeof(out->query), "%s", q);
	}
	snprintf(out->path, sizeof(out->path), "%.255s", target);
	v = header(c->buf, "X-Expect-Instance");
	if (v && v < c->buf + head)
		sscanf(v, "%127[^\r\n]", out->expect);
	out->len = body;
	out->body = malloc(body + 1);
	memcpy(out->body, c->buf + head, body);
	out->body[body] = '\0';
	c->len -= head + body;
	memmove(c->buf, c->buf + head + body, c->len + 1);
	return true;
}

static bool send_all(int fd, const char *data, size_t n)
{
	while (n) {
		ssize_t done = send(fd, data, n, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		data += done;
		n -= (size_t)done;
	}
	return true;
}

static bool send_answer(int fd, const struct answer *a)
{
	char head[256];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 a->status,
			 a->binary ? "application/octet-stream"
				   : "application/json",
			 a->len);
	char *whole = malloc((size_t)n + a->len);
	bool ok;

	memcpy(whole, head, (size_t)n);
	if (a->len)
		memcpy(whole + n, a->body, a->len);
	ok = send_all(fd, whole, (size_t)n + a->len);
	free(whole);
	return ok;
}

static void set_reset(int fd)
{
	struct linger l = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

static bool conn_register(struct conn *c)
{
	struct server *s = c->server;
	bool ok;

	pthread_mutex_lock(&world_lock);
	ok = !s->closed &&
	     s->conn_count < sizeof(s->conns) / sizeof(s->conns[0]);
	if (ok)
		s->conns[s->conn_count++] = c->fd;
	pthread_mutex_unlock(&world_lock);
	return ok;
}

/* Return: whether the connection was still listed; else it has been reset. */
static bool conn_unregister(struct conn *c)
{
	struct server *s = c->server;
	bool found = false;
	size_t i;

	pthread_mutex_lock(&world_lock);
	for (i = 0; i < s->conn_count; i++)
		if (s->conns[i] == c->fd) {
			s->conns[i] = s->conns[--s->conn_count];
			found = true;
			break;
		}
	pthread_mutex_unlock(&world_lock);
	return found;
}

static bool is_registered(struct conn *c)
{
	struct server *s = c->server;
	bool found = false;
	size_t i;

	pthread_mutex_lock(&world_lock);
	for (i = 0; i < s->conn_count; i++)
		found |= s->conns[i] == c->fd;
	pthread_mutex_unlock(&world_lock);
	return found;
}

static void *serve(void *arg)
{
	struct conn *c = arg;
	struct call call;

	if (!conn_register(c))
		set_reset(c->fd);
	else
		while (read_call(c, &call)) {
			struct answer a = {0};

			c->server->handle(c->server->ctx, &call, &a);
			free(call.body);
			/* A connection that was reset meanwhile gives no
			 * answer. */
			if (!a.status || !is_registered(c)) {
				set_reset(c->fd);
				free(a.body);
				break;
			}
			send_answer(c->fd, &a);
			free(a.body);
		}
	if (!conn_unregister(c))
		set_reset(c->fd);
	close(c->fd);
	free(c->buf);
	free(c);
	return NULL;
}

static void *accept_all(void *arg)
{
	struct server *s = arg;
	int one = 1;

	for (;;) {
		struct conn *c;
		pthread_t t;
		int fd = accept(s->fd, NULL, NULL);

		if (fd < 0) {
			if (errno == EINTR || errno == ECONNABORTED)
				continue;
			return NULL;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->server = s;
		c->fd = fd;
		if (pthread_create(&t, NULL, serve, c)) {
			close(fd);
			free(c);
			continue;
		}
		pthread_detach(t);
	}
}

static bool server_listen(struct server *s)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	pthread_t t;
	int one = 1;

	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)s->port);
	inet_pton(AF_INET, s->ip, &sin.sin_addr);
	if (bind(s->fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(s->fd, 256) ||
	    getsockname(s->fd, (struct sockaddr *)&sin, &len))
		return false;
	s->port = ntohs(sin.sin_port);
	if (pthread_create(&t, NULL, accept_all, s))
		return false;
	pthread_detach(t);
	return true;
}

bool server_start(struct server *s, const char *ip, call_handler handle,
		  void *ctx)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->ip, sizeof(s->ip), "%s", ip);
	s->handle = handle;
	s->ctx = ctx;
	return server_listen(s);
}

/* The caller holds world_lock. */
void server_reset(struct server *s, bool stop)
{
	size_t i;

	if (stop) {
		s->closed = true;
		shutdown(s->fd, SHUT_RDWR);
		close(s->fd);
	}
	for (i = 0; i < s->conn_count; i++) {
		set_reset(s->conns[i]);
		shutdown(s->conns[i], SHUT_RD);
	}
	s->conn_count = 0;
}

bool server_reopen(struct server *s)
{
	s->closed = false;
	return server_listen(s);
}

void answer_text(struct answer *a, int status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	a->status = status;
	a->len = (size_t)vasprintf(&a->body, format, args);
	va_end(args);
}

const char *query_value(const struct call *c, const char *name, char *out,
			size_t size)
{
	const char *p = c->query;
	size_t n = strlen(name), used = 0;

	out[0] = '\0';
	while (p && *p) {
		if (!strncmp(p, name, n) && p[n] == '=') {
			p += n + 1;
			while (*p && *p != '&' && used + 1 < size) {
				unsigned int v;

				if (*p == '%' && sscanf(p + 1, "%2x", &v) == 1) {
					out[used++] = (char)v;
					p += 3;
				} else {
					out[used++] = *p++;
				}
			}
			out[used] = '\0';
			return out;
		}
		p = strchr(p, '&');
		if (p)
			p++;
	}
	return NULL;
}

int http_call(const char *address, const char *method, const char *path,
	      const char *host, const char *body, int wait_ms, char *reply,
	      size_t reply_size)
{
	struct sockaddr_in sin = {0};
	struct timeval tv = {wait_ms / 1000, wait_ms % 1000 * 1000};
	char ip[64], *colon, *text = NULL, *end;
	struct conn c = {0};
	int status = 0, n;

	snprintf(ip, sizeof(ip), "%s", address);
	colon = strchr(ip, ':');
	*colon = '\0';
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &sin.sin_addr);
	c.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(c.fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(c.fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (reply_size)
		reply[0] = '\0';
	n = asprintf(&text,
		     "%s %s HTTP/1.1\r\nHost: %s\r\n"
		     "Content-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
		     "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		     method, path, host, wait_ms, body ? strlen(body) : 0,
		     body ? body : "");
	if (!connect(c.fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    send_all(c.fd, text, (size_t)n)) {
		while (conn_read(&c))
			;
		end = c.buf ? strstr(c.buf, "\r\n\r\n") : NULL;
		if (end && sscanf(c.buf, "HTTP/1.1 %d", &status) == 1 &&
		    reply_size)
			snprintf(reply, reply_size, "%s", end + 4);
	}
	close(c.fd);
	free(c.buf);
	free(text);
	return status;
}
