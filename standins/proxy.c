#include "adapters/clock.h"
#include "base/buf.h"
#include "standins/call_fault.h"
#include "standins/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * HTTP proxy on the loopback interface for the soak test. It injects the fault
 * named in one control file into its connections, and the one named in another
 * file into single calls. A request is forwarded once it is complete.
 */

#define TICK_MS 10
#define CONTROL_PERIOD_MS 30
#define CONNECTIONS_MAX 256
#define CHUNK 65536
#define LATE_MAX 64
/* The largest request has to fit. */
#define QUEUED_MAX (4 * 1024 * 1024)
#define TEXT_MAX 200
#define CALL_FAULTS_MAX 2
/* Sets the draws of the faults of one proxy apart. */
#define SEED_STEP 1000003

static struct setting rows[] = {
	{"port-file", "path", SETTING_TEXT, 1, 200, "",
	 "file that receives the port", true},
	{"target-file", "path", SETTING_TEXT, 1, 200, "",
	 "file that holds the port to connect to, read on each connection",
	 true},
	{"control", "path", SETTING_TEXT, 1, 200, "",
	 "file that holds pass, delay=MS, silence, no-answers or reset", true},
	{"call-control", "path", SETTING_TEXT, 0, 200, "",
	 "file that holds pass, or up to two lines with a fault of single "
	 "calls: lost, late, slow or overtaken PATH PERCENT [STATUS [MS]]; "
	 "calls behind a reset get STATUS for MS, or the next one does",
	 false},
	{"call-log", "path", SETTING_TEXT, 0, 200, "",
	 "file that receives a line for each call with a fault", false},
	{"seed", "number", SETTING_NUMBER, 0, INT32_MAX, "1",
	 "seed of the faults of calls", false},
};

/*
 * Fault that is injected: DELAY forwards data after delay_ms, SILENCE forwards
 * nothing, NO_ANSWERS forwards nothing to the client, and RESET resets all
 * connections.
 */
enum mode { PASS, DELAY, SILENCE, NO_ANSWERS, RESET };

/*
 * One direction of a connection, of which the first @ready bytes may be
 * forwarded. DELAY mode forwards the data at send_at_ms, which is delay_ms
 * after the last read. No data is forwarded before hold_until_ms.
 */
struct flow {
	struct buf bytes;
	size_t ready;
	int64_t send_at_ms;
	int64_t hold_until_ms;
};

/* @plan is that of the last call of @calls, drawn by @fault. */
struct connection {
	int client;
	int server;
	struct flow up;   /* to the server */
	struct flow down; /* to the client */
	struct call_plan plan;
	struct call_fault *fault;
	unsigned int calls;
};

/* A call that is carried out late; @server is -1 until then. */
struct late_call {
	struct buf request;
	int64_t due_ms;
	int server;
};

struct proxy {
	struct settings *set;
	int listener;
	enum mode mode;
	int64_t delay_ms;
	int64_t control_due_ms;
	struct connection connections[CONNECTIONS_MAX];
	size_t count;
	struct call_fault call_faults[CALL_FAULTS_MAX];
	struct late_call late[LATE_MAX];
	size_t late_count;
	FILE *call_log;
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
	return now_ms < f->hold_until_ms ||
	       (p->mode == DELAY && now_ms < f->send_at_ms);
}

static void log_call(const struct proxy *p, const char *path,
		     const struct connection *c)
{
	const struct call_plan *plan = &c->plan;
	static const char *const names[] = {
		"pass", "lost", "late", "refused", "held", "slow", "overtaken",
	};

	if (!p->call_log || plan->fate == CALL_PASS)
		return;
	fprintf(p->call_log,
		"%" PRId64 " %s %s status=%d cut=%d wait_ms=%" PRId64
		" reset=%d call=%u\n",
		clock_wall_ms(), path, names[plan->fate], plan->status,
		(int)plan->cut, plan->wait_ms, plan->reset, c->calls);
	fflush(p->call_log);
}

static void draw_plan(struct proxy *p, struct connection *c, const char *path,
		      int64_t now_ms)
{
	size_t i;

	c->calls++;
	for (i = 0; i < CALL_FAULTS_MAX; i++) {
		c->fault = &p->call_faults[i];
		c->plan = call_fault_plan(c->fault, path, now_ms);
		if (c->plan.fate != CALL_PASS)
			return;
	}
}

static void postpone_call(struct proxy *p, struct str request, int64_t due_ms)
{
	struct late_call *l = &p->late[p->late_count];

	if (p->late_count == LATE_MAX)
		return;
	p->late_count++;
	buf_init(&l->request);
	buf_add(&l->request, request.data, request.len);
	l->due_ms = due_ms;
	l->server = -1;
}

/* Return: false if the connection has to be reset. */
static bool begin_call(struct proxy *p, struct connection *c,
		       struct str request, int64_t now_ms)
{
	struct call_plan *plan = &c->plan;
	char path[NAME_SIZE];
	bool is_forwarded = true;

	http_request_path(request, path);
	draw_plan(p, c, path, now_ms);
	log_call(p, path, c);
	switch (plan->fate) {
	case CALL_PASS:
	case CALL_LOST:
		break;
	case CALL_OVERTAKEN:
		c->up.hold_until_ms = now_ms + plan->wait_ms;
		break;
	case CALL_SLOW:
		c->down.hold_until_ms = now_ms + plan->wait_ms;
		break;
	case CALL_LATE:
		postpone_call(p, request, now_ms + plan->wait_ms);
		is_forwarded = false;
		break;
	case CALL_REFUSED:
		buf_addf(&c->down.bytes,
			 "HTTP/1.1 %d Fault\r\nContent-Length: 2\r\n\r\n{}",
			 plan->status);
		is_forwarded = false;
		break;
	case CALL_HELD:
		is_forwarded = false;
		break;
	}
	if (is_forwarded)
		c->up.ready += request.len;
	else
		buf_drop(&c->up.bytes, request.len);
	return plan->fate != CALL_LATE || !plan->reset;
}

/*
 * A client sends its next request only after the reply to the one before, which
 * has been forwarded by then.
 *
 * Return: false if the connection has to be reset.
 */
static bool take_request(struct proxy *p, struct connection *c, int64_t now_ms)
{
	struct str unread = {c->up.bytes.data, c->up.bytes.len};
	size_t len;

	if (c->up.ready || !unread.len)
		return true;
	len = http_message_length(unread);
	if (!len)
		return true;
	unread.len = len;
	return begin_call(p, c, unread, now_ms);
}

/* Return: length of the part of a lost answer that is sent. */
static size_t cut_answer(const struct connection *c)
{
	struct str answer = {c->down.bytes.data, c->down.bytes.len};
	size_t head = http_head_length(answer);

	if (c->plan.cut == CUT_BEFORE_HEAD)
		return 0;
	if (c->plan.cut == CUT_IN_HEAD || head == answer.len || !head)
		return (head ? head : answer.len) / 2;
	return head + (answer.len - head) / 2;
}

/* Return: false if the connection has to be closed. */
static bool read_flow(struct proxy *p, int from, struct flow *f, bool down,
		      int64_t now_ms)
{
	char data[CHUNK];
	ssize_t n;

	if (f->bytes.len >= QUEUED_MAX)
		return true;
	n = read(from, data, sizeof(data));
	if (!n || (n < 0 && errno != EAGAIN && errno != EINTR))
		return f->ready && is_withheld(p, f, down, now_ms);
	if (n > 0) {
		buf_add(&f->bytes, data, (size_t)n);
		f->send_at_ms = now_ms + p->delay_ms;
	}
	return true;
}

/* Return: false if the connection has to be closed. */
static bool write_flow(struct proxy *p, int to, struct flow *f, bool down,
		       int64_t now_ms)
{
	ssize_t n;

	if (!f->ready || is_withheld(p, f, down, now_ms))
		return true;
	n = send(to, f->bytes.data, f->ready, MSG_NOSIGNAL);
	if (n > 0) {
		buf_drop(&f->bytes, (size_t)n);
		f->ready -= (size_t)n;
	}
	return n >= 0 || errno == EAGAIN || errno == EINTR;
}

enum outcome { KEEP, CLOSE, RESET_NOW };

static enum outcome forward_connection(struct proxy *p, struct connection *c,
				       int64_t now_ms)
{
	bool is_lost;

	if (!read_flow(p, c->client, &c->up, false, now_ms))
		return CLOSE;
	if (!take_request(p, c, now_ms))
		return RESET_NOW;
	if (!write_flow(p, c->server, &c->up, false, now_ms) ||
	    !read_flow(p, c->server, &c->down, true, now_ms))
		return CLOSE;
	is_lost = c->plan.fate == CALL_LOST && c->down.bytes.len;
	c->down.ready = is_lost ? cut_answer(c) : c->down.bytes.len;
	if (!write_flow(p, c->client, &c->down, true, now_ms))
		return CLOSE;
	return is_lost ? RESET_NOW : KEEP;
}

/* Return: whether the call has been carried out, or cannot be. */
static bool run_late_call(struct proxy *p, struct late_call *l, int64_t now_ms)
{
	char data[CHUNK];
	ssize_t n;

	if (now_ms < l->due_ms)
		return false;
	if (l->server < 0) {
		l->server = connect_target(p);
		if (l->server < 0)
			return true;
	}
	if (l->request.len) {
		n = send(l->server, l->request.data, l->request.len,
			 MSG_NOSIGNAL);
		if (n > 0)
			buf_drop(&l->request, (size_t)n);
		return n < 0 && errno != EAGAIN && errno != EINTR;
	}
	n = read(l->server, data, sizeof(data));
	return n >= 0 || (errno != EAGAIN && errno != EINTR);
}

static void run_late_calls(struct proxy *p, int64_t now_ms)
{
	size_t i;

	for (i = p->late_count; i-- > 0;) {
		struct late_call *l = &p->late[i];

		if (!run_late_call(p, l, now_ms))
			continue;
		if (l->server >= 0)
			close(l->server);
		buf_finish(&l->request);
		*l = p->late[--p->late_count];
	}
}

static void read_call_faults(struct proxy *p)
{
	char text[TEXT_MAX], *line = text;
	size_t i;

	if (read_text(settings_text(p->set, "call-control"), text))
		return;
	for (i = 0; i < CALL_FAULTS_MAX; i++) {
		const char *one = strsep(&line, "\n");

		call_fault_parse(&p->call_faults[i], one ? one : "");
	}
}

static void read_control(struct proxy *p, int64_t now_ms)
{
	char text[TEXT_MAX];

	if (now_ms < p->control_due_ms)
		return;
	p->control_due_ms = now_ms + CONTROL_PERIOD_MS;
	read_call_faults(p);
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
		bool is_withholding = p->mode != PASS;
		int64_t now = clock_mono_ms();
		size_t i;

		fds[0] = (struct pollfd){p->listener, POLLIN, 0};
		for (i = 0; i < p->count; i++) {
			fds[1 + 2 * i] =
				(struct pollfd){p->connections[i].client,
						POLLIN, 0};
			fds[2 + 2 * i] =
				(struct pollfd){p->connections[i].server,
						POLLIN, 0};
			is_withholding |=
				now < p->connections[i].up.hold_until_ms ||
				now < p->connections[i].down.hold_until_ms;
		}
		if (!is_withholding)
			poll(fds, 1 + 2 * p->count, TICK_MS);
		else /* poll() would return at once for unread data */
			usleep(TICK_MS * 1000);
		now = clock_mono_ms();
		read_control(p, now);
		accept_all(p);
		while (p->mode == RESET && p->count)
			close_connection(p, 0, true);
		for (i = p->count; i-- > 0;) {
			enum outcome o =
				forward_connection(p, &p->connections[i], now);

			if (o == RESET_NOW)
				call_fault_reset(p->connections[i].fault, now);
			if (o != KEEP)
				close_connection(p, i, o == RESET_NOW);
		}
		run_late_calls(p, now);
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
	size_t i;

	if (code >= 0)
		return code;
	p = xcalloc(1, sizeof(*p));
	p->set = &set;
	for (i = 0; i < CALL_FAULTS_MAX; i++)
		p->call_faults[i].rng.state =
			(uint64_t)settings_number(&set, "seed") + i * SEED_STEP;
	if (settings_text(&set, "call-log")[0])
		p->call_log = fopen(settings_text(&set, "call-log"), "a");
	p->listener = listen_loopback();
	code = EXIT_CODE_ENV;
	if (p->listener >= 0 && !write_port(p)) {
		run(p);
		code = EXIT_CODE_OK;
	}
	while (p->count)
		close_connection(p, 0, false);
	if (p->call_log)
		fclose(p->call_log);
	free(p);
	settings_finish(&set);
	return code;
}
