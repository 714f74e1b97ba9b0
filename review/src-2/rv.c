/*
 * Helpers of the review's scripts: an HTTP client and an HTTP proxy, both on
 * loopback addresses only.
 *
 *   rv call TIMEOUT_MS METHOD IP:PORT PATH [BODY]
 *                                       X-Deadline-Ms is DEADLINE_MS of the
 *                                       environment, else TIMEOUT_MS; @FILE for
 *                                       a body from a file
 *   rv proxy PORT_FILE TARGET CONTROL_FILE SEED LOG_FILE
 *                                       TARGET: IP:PORT, or @FILE for the port of
 *                                       127.0.0.1 in a file, read each time
 *   rv collect OUT_FILE                 copies standard input to OUT_FILE
 *   rv entries COUNT                    prints records of another writer, whose
 *                                       keys end in a line feed
 *
 * The proxy reads CONTROL_FILE for each call:
 *   pass                                forward
 *   cut                                 nothing passes in either direction
 *   late PATH PERCENT MIN_MS MAX_MS     a share of the calls to PATH is carried
 *                                       out that much later, and not answered
 * With KEEP_MS in its environment, the proxy stands for a store whose records of
 * the topic keyed.jobs expire after that time: it answers reads that begin at an
 * expired record with 410. With PAGE in its environment, it answers a listing
 * (log-newest) with that many records at most, in the order of their keys.
 */
#define _GNU_SOURCE

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BUF_MAX (4 * 1024 * 1024)

struct message {
	char *data;
	size_t len;
	size_t cap;
};

/* Ends of the log that were seen, and when. */
#define ENDS_MAX 100000

struct log_end {
	long long at_ms;
	unsigned long long end;
};

struct proxy {
	const char *target;
	long keep_ms;
	long page;
	struct log_end *ends;
	size_t end_count;
	const char *control;
	FILE *log;
	unsigned int seed;
	pthread_mutex_t lock;
};

struct call {
	struct proxy *proxy;
	int client;
	struct message request;
	long wait_ms;
};

static struct proxy proxy = {.lock = PTHREAD_MUTEX_INITIALIZER};

static long long wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000L};

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	const char *colon = strrchr(text, ':');
	char ip[32] = "";

	if (colon && (size_t)(colon - text) < sizeof(ip))
		memcpy(ip, text, (size_t)(colon - text));
	if (strncmp(ip, "127.", 4) || inet_pton(AF_INET, ip, &sin.sin_addr) != 1) {
		fprintf(stderr, "not a loopback address: %s\n", text);
		exit(2);
	}
	sin.sin_port = htons((unsigned short)atoi(colon + 1));
	return sin;
}

static int dial(const struct sockaddr_in *to)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static int dial_target(void)
{
	struct sockaddr_in to;
	char text[40] = "";
	FILE *f;
	int port;

	if (*proxy.target != '@') {
		to = parse_address(proxy.target);
		return dial(&to);
	}
	f = fopen(proxy.target + 1, "r");
	if (!f)
		return -1;
	if (fscanf(f, "%d", &port) == 1)
		snprintf(text, sizeof(text), "127.0.0.1:%d", port);
	fclose(f);
	if (!*text)
		return -1;
	to = parse_address(text);
	return dial(&to);
}

static int send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

/* Return: length of the first HTTP message, 0 if it is not complete. */
static size_t message_length(const struct message *m)
{
	const char *end = memmem(m->data, m->len, "\r\n\r\n", 4), *at;
	size_t head, body = 0;

	if (!end)
		return 0;
	head = (size_t)(end - m->data) + 4;
	for (at = m->data; at < end; at++)
		if (!strncasecmp(at, "\r\nContent-Length:", 17))
			body = strtoul(at + 17, NULL, 10);
	return m->len >= head + body ? head + body : 0;
}

/* Return: 0 once a whole message has been read. */
static int read_message(int fd, struct message *m, long timeout_ms)
{
	long long until = wall_ms() + timeout_ms;

	while (!message_length(m)) {
		struct pollfd p = {fd, POLLIN, 0};
		long left = timeout_ms < 0 ? -1 : (long)(until - wall_ms());
		ssize_t n;

		if (timeout_ms >= 0 && left <= 0)
			return -ETIMEDOUT;
		if (poll(&p, 1, (int)left) <= 0)
			continue;
		if (m->cap - m->len < 65536) {
			m->cap = m->cap * 2 + 65536;
			if (m->cap > 2 * BUF_MAX)
				return -EMSGSIZE;
			m->data = realloc(m->data, m->cap);
		}
		n = recv(fd, m->data + m->len, m->cap - m->len, 0);
		if (n <= 0)
			return -ECONNRESET;
		m->len += (size_t)n;
	}
	return 0;
}

/* Reads the body from FILE if @text is "@FILE". */
static struct message load_body(const char *text)
{
	struct message m = {strdup(text), strlen(text), 0};
	FILE *f = *text == '@' ? fopen(text + 1, "r") : NULL;

	if (!f)
		return m;
	m.data = realloc(m.data, BUF_MAX);
	m.len = fread(m.data, 1, BUF_MAX, f);
	fclose(f);
	return m;
}

/* Prints the status and the body; status 0 without a whole answer. */
static int do_call(int argc, char **argv)
{
	struct message body = load_body(argc > 6 ? argv[6] : "");
	const char *deadline = getenv("DEADLINE_MS");
	long timeout_ms = atol(argv[2]);
	struct sockaddr_in to = parse_address(argv[4]);
	size_t size = strlen(argv[5]) + 400, head;
	struct message m = {0};
	char *text = malloc(size);
	int fd = dial(&to), n;

	n = snprintf(text, size,
		     "%s %s HTTP/1.1\r\nHost: desk.example\r\n"
		     "Content-Type: application/json\r\nX-Deadline-Ms: %s\r\n"
		     "Connection: close\r\nContent-Length: %zu\r\n\r\n",
		     argv[3], argv[5], deadline ? deadline : argv[2], body.len);
	if (fd < 0 || send_all(fd, text, (size_t)n) ||
	    send_all(fd, body.data, body.len) || read_message(fd, &m, timeout_ms)) {
		printf("0 no answer\n");
		return 0;
	}
	head = (size_t)((char *)memmem(m.data, m.len, "\r\n\r\n", 4) - m.data) + 4;
	printf("%d %.*s\n", atoi(m.data + 9), (int)(message_length(&m) - head),
	       m.data + head);
	return 0;
}

static void read_control(char line[200])
{
	FILE *f = fopen(proxy.control, "r");

	line[0] = '\0';
	if (!f)
		return;
	if (!fgets(line, 200, f))
		line[0] = '\0';
	fclose(f);
}

static int is_cut(void)
{
	char line[200];

	read_control(line);
	return !strncmp(line, "cut", 3);
}

/* Return: by how much the call is late, or -1 if it is forwarded at once. */
static long draw_lateness(const char *path)
{
	char line[200], prefix[100];
	long min, max, ms = -1;
	unsigned int percent;

	read_control(line);
	if (sscanf(line, "late %99s %u %ld %ld", prefix, &percent, &min, &max) != 4 ||
	    strncmp(path, prefix, strlen(prefix)))
		return -1;
	pthread_mutex_lock(&proxy.lock);
	if ((unsigned int)rand_r(&proxy.seed) % 100 < percent)
		ms = min + rand_r(&proxy.seed) % (max - min + 1);
	if (ms >= 0 && proxy.log) {
		fprintf(proxy.log, "%lld late_ms=%ld %s\n", wall_ms(), ms, path);
		fflush(proxy.log);
	}
	pthread_mutex_unlock(&proxy.lock);
	return ms;
}

static void *run_late(void *arg)
{
	struct message answer = {0};
	struct call *c = arg;
	int fd;

	sleep_ms(c->wait_ms);
	fd = dial_target();
	if (fd >= 0) {
		send_all(fd, c->request.data, c->request.len);
		read_message(fd, &answer, 5000);
		close(fd);
	}
	free(answer.data);
	free(c->request.data);
	free(c);
	return NULL;
}

static void start_late(const char *data, size_t len, long wait_ms)
{
	struct call *c = calloc(1, sizeof(*c));
	pthread_t t;

	c->request.data = malloc(len);
	memcpy(c->request.data, data, len);
	c->request.len = len;
	c->wait_ms = wait_ms;
	pthread_create(&t, NULL, run_late, c);
	pthread_detach(t);
}

/* Keeps a connection that returns nothing further until its client closes it. */
static void hold(int fd)
{
	char data[4096];

	while (recv(fd, data, sizeof(data), 0) > 0)
		;
}

static int is_job_read(const char *path)
{
	return proxy.keep_ms && !strncmp(path, "/api/log-read?topic=keyed.jobs&", 31);
}

/* An answer to a read begins with the end of the log, in 8 bytes. */
static void note_end(const char *path, const struct message *answer)
{
	const char *body = memmem(answer->data, answer->len, "\r\n\r\n", 4);
	unsigned long long end = 0;
	int i;

	if (!is_job_read(path) || strncmp(answer->data + 9, "200", 3) || !body ||
	    answer->len < (size_t)(body - answer->data) + 20)
		return;
	for (i = 0; i < 8; i++)
		end = end << 8 | (unsigned char)body[4 + i];
	pthread_mutex_lock(&proxy.lock);
	if (proxy.end_count < ENDS_MAX) {
		proxy.ends[proxy.end_count].at_ms = wall_ms();
		proxy.ends[proxy.end_count++].end = end;
	}
	pthread_mutex_unlock(&proxy.lock);
}

/* Answers a read whose first record has expired. Return: whether it has. */
static int refuse_expired(int client, const char *path)
{
	const char *from = strstr(path, "&from=");
	unsigned long long first = 0;
	char text[300], body[60];
	size_t i;

	if (!is_job_read(path) || !from)
		return 0;
	pthread_mutex_lock(&proxy.lock);
	for (i = 0; i < proxy.end_count; i++)
		if (wall_ms() - proxy.ends[i].at_ms > proxy.keep_ms &&
		    proxy.ends[i].end > first)
			first = proxy.ends[i].end;
	pthread_mutex_unlock(&proxy.lock);
	if (strtoull(from + 6, NULL, 10) >= first)
		return 0;
	snprintf(body, sizeof(body), "{\"startOffset\":%llu}", first);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 410 Gone\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	send_all(client, text, strlen(text));
	pthread_mutex_lock(&proxy.lock);
	if (proxy.log) {
		fprintf(proxy.log, "%lld expired from=%s first=%llu\n", wall_ms(),
			from + 6, first);
		fflush(proxy.log);
	}
	pthread_mutex_unlock(&proxy.lock);
	return 1;
}

struct item {
	const char *text;
	size_t len;
	const char *key;
	size_t key_len;
};

static int item_cmp(const void *pa, const void *pb)
{
	const struct item *a = pa, *b = pb;
	size_t n = a->key_len < b->key_len ? a->key_len : b->key_len;
	int d = memcmp(a->key, b->key, n);

	return d ? d : (a->key_len > b->key_len) - (a->key_len < b->key_len);
}

/* Splits the items of a listing of the stand-in, whose keys hold no quotes. */
static size_t split_items(const char *body, struct item *items, size_t max)
{
	static const char head[] = "{\"key\":\"";
	const char *at = body, *end;
	size_t n = 0;

	while (n < max && (at = strstr(at, head))) {
		items[n].text = at;
		items[n].key = at + strlen(head);
		end = strchr(items[n].key, '"');
		if (!end)
			break;
		items[n].key_len = (size_t)(end - items[n].key);
		at = strchr(end, '}');
		if (!at)
			break;
		items[n].len = (size_t)(++at - items[n].text);
		n++;
	}
	qsort(items, n, sizeof(*items), item_cmp);
	return n;
}

static void url_decode(char *text)
{
	char *to = text;
	unsigned int c;

	for (; *text; text++)
		if (*text == '%' && sscanf(text + 1, "%2x", &c) == 1) {
			*to++ = (char)c;
			text += 2;
		} else {
			*to++ = *text;
		}
	*to = '\0';
}

/* Replaces the whole listing in @answer by a page of it. */
static void cut_page(const char *path, struct message *answer)
{
	size_t max = 20000, n, i, used = 0, first = 0;
	const char *query = strstr(path, "&after="), *last;
	struct item *items, after = {0};
	char *body, key[200] = "", *out;

	if (!proxy.page || strncmp(path, "/api/log-newest", 15) ||
	    strncmp(answer->data + 9, "200", 3))
		return;
	answer->data = realloc(answer->data, answer->len + 1);
	answer->data[answer->len] = '\0';
	body = strstr(answer->data, "\r\n\r\n") + 4;
	last = strstr(body, "],\"hasMore\":false");
	if (!last)
		return;
	items = calloc(max, sizeof(*items));
	n = split_items(body, items, max);
	if (query) {
		snprintf(key, sizeof(key), "%s", query + 7);
		url_decode(key);
		after.key = key;
		after.key_len = strlen(key);
		while (first < n && item_cmp(&items[first], &after) <= 0)
			first++;
	}
	out = malloc(strlen(body) + 400);
	used = (size_t)sprintf(out, "{\"items\":[");
	for (i = first; i < n && i < first + (size_t)proxy.page; i++)
		used += (size_t)sprintf(out + used, "%s%.*s", i > first ? "," : "",
					(int)items[i].len, items[i].text);
	used += (size_t)sprintf(out + used, "],\"hasMore\":%s%s",
				i < n ? "true" : "false", last + 17);
	free(items);
	free(answer->data);
	answer->data = malloc(used + 200);
	answer->len = (size_t)sprintf(answer->data,
				      "HTTP/1.1 200 OK\r\nContent-Type: "
				      "application/json\r\nContent-Length: "
				      "%zu\r\n\r\n%s",
				      used, out);
	free(out);
}

static void drop_request(struct message *request, size_t len)
{
	memmove(request->data, request->data + len, request->len - len);
	request->len -= len;
}

static int forward(int client, int *server, struct message *request, size_t len,
		   const char *path)
{
	struct message answer = {0};
	int err = -1;

	if (*server < 0)
		*server = dial_target();
	if (*server >= 0 && !send_all(*server, request->data, len) &&
	    !read_message(*server, &answer, -1)) {
		note_end(path, &answer);
		cut_page(path, &answer);
		if (is_cut())
			hold(client);
		else
			err = send_all(client, answer.data, answer.len);
	}
	free(answer.data);
	drop_request(request, len);
	return err;
}

static void *serve(void *arg)
{
	int client = (int)(long)arg, server = -1;
	struct message request = {0};

	while (!read_message(client, &request, -1)) {
		size_t len = message_length(&request);
		char path[200] = "";
		long wait_ms;

		sscanf(request.data, "%*s %199s", path);
		if (is_cut()) {
			hold(client);
			break;
		}
		wait_ms = draw_lateness(path);
		if (wait_ms >= 0) {
			start_late(request.data, len, wait_ms);
			hold(client);
			break;
		}
		if (refuse_expired(client, path))
			drop_request(&request, len);
		else if (forward(client, &server, &request, len, path))
			break;
	}
	if (server >= 0)
		close(server);
	close(client);
	free(request.data);
	return NULL;
}

static int do_proxy(char **argv)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	socklen_t len = sizeof(sin);
	FILE *f;

	proxy.target = argv[3];
	proxy.control = argv[4];
	proxy.seed = (unsigned int)atoi(argv[5]);
	proxy.log = fopen(argv[6], "a");
	proxy.keep_ms = getenv("KEEP_MS") ? atol(getenv("KEEP_MS")) : 0;
	proxy.page = getenv("PAGE") ? atol(getenv("PAGE")) : 0;
	proxy.ends = calloc(ENDS_MAX, sizeof(*proxy.ends));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(fd, 256) || getsockname(fd, (struct sockaddr *)&sin, &len))
		return 2;
	f = fopen(argv[2], "w");
	if (!f)
		return 2;
	fprintf(f, "%d\n", ntohs(sin.sin_port));
	fclose(f);
	for (;;) {
		int client = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
		pthread_t t;

		if (client < 0)
			continue;
		setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_create(&t, NULL, serve, (void *)(long)client);
		pthread_detach(t);
	}
}

static int do_collect(const char *path)
{
	FILE *out = fopen(path, "a");
	char data[4096];
	ssize_t n;

	if (!out)
		return 2;
	while ((n = read(0, data, sizeof(data))) > 0) {
		fwrite(data, 1, (size_t)n, out);
		fflush(out);
	}
	return 0;
}

static int do_entries(unsigned int count)
{
	static const char value[] = "{\"state\":\"up\"}";
	unsigned char head[5] = {0};
	char key[20];
	unsigned int i;

	for (i = 0; i < count; i++) {
		snprintf(key, sizeof(key), "probe-%04u\n", i);
		head[3] = (unsigned char)(1 + strlen(key) + strlen(value));
		head[4] = (unsigned char)strlen(key);
		fwrite(head, 1, sizeof(head), stdout);
		fputs(key, stdout);
		fputs(value, stdout);
	}
	return 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc >= 6 && !strcmp(argv[1], "call"))
		return do_call(argc, argv);
	if (argc == 7 && !strcmp(argv[1], "proxy"))
		return do_proxy(argv);
	if (argc == 3 && !strcmp(argv[1], "collect"))
		return do_collect(argv[2]);
	if (argc == 3 && !strcmp(argv[1], "entries"))
		return do_entries((unsigned int)atoi(argv[2]));
	fprintf(stderr, "usage: rv call|proxy|collect|entries ...\n");
	return 2;
}
