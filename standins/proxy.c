#include "adapters/clock.h"
#include "base/buf.h"
#include "standins/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * TCP proxy on the loopback interface that injects the fault named in a control
 * file into its connections, for the soak test.
 */

#define TICK_MS 10
#define CONTROL_PERIOD_MS 30
#define CONNECTIONS_MAX 256
#define CHUNK 65536
#define QUEUED_MAX (1024 * 1024)
#define TEXT_MAX 80

static struct setting rows[] = {
	{"port-file", "path", SETTING_TEXT, 1, 200, "",
	 "file that receives the port", true},
	{"target-file", "path", SETTING_TEXT, 1, 200, "",
	 "file that holds the port to connect to, read on each connection",
	 true},
	{"control", "path", SETTING_TEXT, 1, 200, "",
	 "file that holds pass, delay=MS, silence, no-answers or reset", true},
};

/*
 * Fault that is injected: DELAY forwards data after delay_ms, SILENCE forwards
 * nothing, NO_ANSWERS forwards nothing to the client, and RESET resets all
 * connections.
 */
enum mode { PASS, DELAY, SILENCE, NO_ANSWERS, RESET };

/*
 * One direction of a connection. DELAY mode forwards the data at send_at_ms,
 * which is delay_ms after the last read.
 */
struct flow {
	struct buf bytes;
	int64_t send_at_ms;
};

struct connection {
	int client;
	int server;
	struct flow up;   /* to the server */
	struct flow down; /* to the client */
};

struct proxy {
	struct settings *set;
	int listener;
	enum mode mode;
	int64_t delay_ms;
	int64_t control_due_ms;
	struct connection connections[CONNECTIONS_MAX];
	size_t count;
};

static int read_text(const char *path, char out[TEXT_MAX])
{
	FILE *f = fopen(path, "r");
	size_t n;

	if (!f)
		return -errno;
	n = fread(out, 1, TEXT_MAX - 1, f);
	fclose(f);
	while (n && (out[n - 1] == '\n' || out[n - 1] == ' '))
		n--;
	out[n] = '\0';
	return n ? 0 : -ENODATA;
}

static int listen_loopback(void)
{
	struct sockaddr_in sin = {0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(fd, SOMAXCONN))
		return -errno;
	return fd;
}

static int write_port(const struct proxy *p)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	if (getsockname(p->listener, (struct sockaddr *)&sin, &len))
		return -errno;
	return standin_write_port(settings_text(p->set, "port-file"),
				  ntohs(sin.sin_port));
}

/* connect() is blocking: on the loopback interface it returns at once. */
static int connect_target(const struct proxy *p)
{
	struct sockaddr_in sin = {0};
	char text[TEXT_MAX];
	int fd, one = 1;

	if (read_text(settings_text(p->set, "target-file"), text))
		return -ENOENT;
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)strtoul(text, NULL, 10));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(fd);
		return -ECONNREFUSED;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void accept_all(struct proxy *p)
{
	int one = 1;

	while (p->count < CONNECTIONS_MAX) {
		struct connection *c = &p->connections[p->count];
		int fd = accept4(p->listener, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		memset(c, 0, sizeof(*c));
		c->client = fd;
		c->server = connect_target(p);
		if (c->server < 0) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		buf_init(&c->up.bytes);
		buf_init(&c->down.bytes);
		p->count++;
	}
}

static void close_connection(struct proxy *p, size_t i, bool reset)
{
	struct linger linger = {1, 0};
	struct connection *c = &p->connections[i];

	if (reset) {
		setsockopt(c->client, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		setsockopt(c->server, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	}
	close(c->client);
	close(c->server);
	buf_finish(&c->up.bytes);
	buf_finish(&c->down.bytes);
	*c = p->connections[--p->count];
}

static bool is_withheld(const struct proxy *p, const struct flow *f, bool down,
			int64_t now_ms)
{
	if (p->mode == SILENCE || (p->mode == NO_ANSWERS && down))
		return true;
	return p->mode == DELAY && now_ms < f->send_at_ms;
}

/* Return: false if the connection has to be closed. */
static bool forward_flow(struct proxy *p, int from, int to, struct flow *f,
			 bool down, int64_t now_ms)
{
	char data[CHUNK];
	ssize_t n = 0;

	if (f->bytes.len < QUEUED_MAX) {
		n = read(from, data, sizeof(data));
		if (!n || (n < 0 && errno != EAGAIN && errno != EINTR))
			return f->bytes.len && is_withheld(p, f, down, now_ms);
	}
	if (n > 0) {
		buf_add(&f->bytes, data, (size_t)n);
		f->send_at_ms = now_ms + p->delay_ms;
	}
	if (!f->bytes.len || is_withheld(p, f, down, now_ms))
		return true;
	n = send(to, f->bytes.data, f->bytes.len, MSG_NOSIGNAL);
	if (n > 0)
		buf_drop(&f->bytes, (size_t)n);
	return n >= 0 || errno == EAGAIN || errno == EINTR;
}

static void read_control(struct proxy *p, int64_t now_ms)
{
	char text[TEXT_MAX];

	if (now_ms < p->control_due_ms)
		return;
	p->control_due_ms = now_ms + CONTROL_PERIOD_MS;
	if (read_text(settings_text(p->set, "control"), text))
		return;
	p->mode = PASS;
	p->delay_ms = 0;
	if (sscanf(text, "delay=%lld", (long long *)&p->delay_ms) == 1)
		p->mode = DELAY;
	else if (!strcmp(text, "silence"))
		p->mode = SILENCE;
	else if (!strcmp(text, "no-answers"))
		p->mode = NO_ANSWERS;
	else if (!strcmp(text, "reset"))
		p->mode = RESET;
}

static void run(struct proxy *p)
{
	struct pollfd fds[2 * CONNECTIONS_MAX + 1];

	while (!standin_is_stopping()) {
		int64_t now;
		size_t i;

		fds[0] = (struct pollfd){p->listener, POLLIN, 0};
		for (i = 0; i < p->count; i++) {
			fds[1 + 2 * i] =
				(struct pollfd){p->connections[i].client,
						POLLIN, 0};
			fds[2 + 2 * i] =
				(struct pollfd){p->connections[i].server,
						POLLIN, 0};
		}
		if (p->mode == PASS)
			poll(fds, 1 + 2 * p->count, TICK_MS);
		else /* poll() would return at once for unread data */
			usleep(TICK_MS * 1000);
		now = clock_mono_ms();
		read_control(p, now);
		accept_all(p);
		while (p->mode == RESET && p->count)
			close_connection(p, 0, true);
		for (i = p->count; i-- > 0;) {
			struct connection *c = &p->connections[i];

			if (!forward_flow(p, c->client, c->server, &c->up,
					  false, now) ||
			    !forward_flow(p, c->server, c->client, &c->down,
					  true, now))
				close_connection(p, i, false);
		}
	}
}

int main(int argc, char **argv)
{
	struct settings set = {
		.program = "standin-proxy",
		.about = "Test only: a loopback proxy that injects faults.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = standin_init(&set, argc, argv);
	struct proxy *p;

	if (code >= 0)
		return code;
	p = xcalloc(1, sizeof(*p));
	p->set = &set;
	p->listener = listen_loopback();
	code = EXIT_CODE_ENV;
	if (p->listener >= 0 && !write_port(p)) {
		run(p);
		code = EXIT_CODE_OK;
	}
	while (p->count)
		close_connection(p, 0, false);
	free(p);
	settings_finish(&set);
	return code;
}
