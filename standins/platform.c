#include "adapters/clock.h"
#include "adapters/http_server.h"
#include "base/lock.h"
#include "ports/ports.h"
#include "standins/standin.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define STREAMS_MAX 512
#define HOSTS_MAX 2048
#define BODY_MAX (4 * 1024 * 1024)
#define BLOCKED_MAX 8
/* Time after which a delayed request is answered, milliseconds. */
#define REPLY_DELAY_MS 5000

/*
 * Fault that is injected into requests to the log. In MODE_DOWN they are
 * refused, in MODE_SILENT they have no effect and no timely reply, and in
 * MODE_LOSE an append takes effect but has no timely reply.
 */
enum fault_mode { MODE_OK, MODE_DOWN, MODE_SILENT, MODE_LOSE };

static const char *const mode_names[] = {"ok", "down", "silent", "lose"};

struct stream_entry {
	char *text;
	size_t len;
	int64_t at_ms;
};

struct log_stream {
	char name[NAME_SIZE];
	struct stream_entry *entries; /* the oldest has the offset @first */
	size_t count;
	size_t cap;
	uint64_t first;
};

/* A request that is answered with status 504 at @until_ms, not earlier. */
struct delayed_reply {
	struct http_request *request;
	int64_t until_ms;
	struct delayed_reply *next;
};

static struct setting rows[] = {
	{"listen", "address", SETTING_TEXT, 0, 15, "127.0.0.1",
	 "IP address to listen on", true},
	{"http-port", "port", SETTING_NUMBER, 0, 65535, "0",
	 "port; 0 lets the system choose", false},
	{"port-file", "path", SETTING_TEXT, 0, 200, "",
	 "file that receives the port", false},
	{"retention", "s", SETTING_NUMBER, 1, 1000000, "3600",
	 "how long entries are kept", false},
	{"host-lag", "ms", SETTING_NUMBER, 0, 600000, "0",
	 "delay before the list shows that a host leaves", false},
};

static struct {
	pthread_mutex_t lock;
	struct log_stream streams[STREAMS_MAX];
	size_t stream_count;
	struct listed_host hosts[HOSTS_MAX];
	int64_t updated_at_ms[HOSTS_MAX]; /* last update of each host */
	size_t host_count;
	uint64_t hosts_version;
	enum fault_mode mode;
	char blocked_zones[BLOCKED_MAX][NAME_SIZE]; /* cut off */
	size_t blocked_zone_count;
	int64_t retention_ms;
	int64_t host_lag_ms;
	uint64_t appends;
	uint64_t append_bytes;
	struct delayed_reply *delayed_replies;
} platform = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Return: the stream, created if missing, or null if there are too many. */
static struct log_stream *stream_get(const char *name)
{
	struct log_stream *s;
	size_t i;

	for (i = 0; i < platform.stream_count; i++)
		if (!strcmp(platform.streams[i].name, name))
			return &platform.streams[i];
	if (platform.stream_count == STREAMS_MAX)
		return NULL;
	s = &platform.streams[platform.stream_count++];
	name_set(s->name, name);
	return s;
}

static void expire_entries(struct log_stream *s)
{
	int64_t before = clock_mono_ms() - platform.retention_ms;
	size_t n = 0;

	while (n < s->count && s->entries[n].at_ms < before)
		free(s->entries[n++].text);
	if (!n)
		return;
	memmove(s->entries, s->entries + n,
		(s->count - n) * sizeof(*s->entries));
	s->count -= n;
	s->first += n;
}

static void delay_reply(struct http_request *r)
{
	struct delayed_reply *d = xcalloc(1, sizeof(*d));

	d->request = r;
	d->until_ms = clock_mono_ms() + REPLY_DELAY_MS;
	d->next = platform.delayed_replies;
	platform.delayed_replies = d;
}

static void reply_text(struct http_request *r, int status, const char *text)
{
	http_reply(r, status, 0, text, strlen(text));
}

static void append_entry(struct http_request *r, struct log_stream *s)
{
	struct stream_entry *e;
	char text[64];

	if (!r->body.len || r->too_large ||
	    memchr(r->body.data, '\n', r->body.len)) {
		reply_text(r, 400, "{\"error\":\"one line of text\"}\n");
		return;
	}
	if (s->count == s->cap) {
		s->cap = s->cap ? s->cap * 2 : 64;
		s->entries = xrealloc(s->entries, s->cap * sizeof(*s->entries));
	}
	e = &s->entries[s->count++];
	e->text = xstrndup(r->body.data, r->body.len);
	e->len = r->body.len;
	e->at_ms = clock_mono_ms();
	platform.appends++;
	platform.append_bytes += e->len;
	if (platform.mode == MODE_LOSE) {
		delay_reply(r);
		return;
	}
	snprintf(text, sizeof(text), "{\"offset\":%" PRIu64 "}\n",
		 s->first + s->count - 1);
	reply_text(r, 200, text);
}

static void read_stream(struct http_request *r, struct log_stream *s)
{
	const char *from_text = http_query(r, "from");
	const char *max_text = http_query(r, "max");
	uint64_t from = from_text ? strtoull(from_text, NULL, 10) : 0;
	size_t max = max_text ? strtoull(max_text, NULL, 10) : 1000;
	struct buf b;
	size_t i;

	expire_entries(s);
	buf_init(&b);
	buf_addf(&b, "{\"first\":%" PRIu64 ",\"head\":%" PRIu64 "}\n", s->first,
		 s->first + s->count);
	if (from < s->first)
		from = s->first;
	for (i = (size_t)(from - s->first); i < s->count && max; i++, max--) {
		buf_addf(&b, "%" PRIu64 " ", s->first + i);
		buf_add(&b, s->entries[i].text, s->entries[i].len);
		buf_adds(&b, "\n");
	}
	http_reply(r, 200, 0, b.data, b.len);
	buf_finish(&b);
}

static bool is_blocked(const struct http_request *r)
{
	const char *agent =
		MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
					    "User-Agent");
	const char *zone = agent ? strchr(agent, '@') : NULL;
	size_t i;

	for (i = 0; zone && i < platform.blocked_zone_count; i++)
		if (!strcmp(zone + 1, platform.blocked_zones[i]))
			return true;
	return false;
}

static void serve_stream(struct http_request *r, const char *name)
{
	struct log_stream *s = stream_get(name);
	bool post = !strcmp(r->method, "POST");
	char text[96];

	if (!s) {
		reply_text(r, 507, "{\"error\":\"too many streams\"}\n");
	} else if (platform.mode == MODE_SILENT || is_blocked(r)) {
		delay_reply(r);
	} else if (platform.mode == MODE_DOWN) {
		snprintf(text, sizeof(text),
			 "{\"first\":%" PRIu64 ",\"head\":%" PRIu64 "}\n",
			 s->first, s->first + s->count);
		reply_text(r, 503, text);
	} else if (post) {
		append_entry(r, s);
	} else {
		read_stream(r, s);
	}
}

/*
 * A host is listed as leaving only after host_lag_ms, so the version changes
 * once more at that time.
 */
static uint64_t list_version(int64_t now)
{
	uint64_t version = platform.hosts_version << 20;
	size_t i;

	for (i = 0; i < platform.host_count; i++)
		version +=
			platform.hosts[i].leaving &&
			now >= platform.updated_at_ms[i] + platform.host_lag_ms;
	return version;
}

static bool is_listed(const struct listed_host *h, const char *zone)
{
	return !zone || h->role != HOST_WORKER || !strcmp(h->zone, zone);
}

static void list_hosts(struct http_request *r)
{
	const char *zone = http_query(r, "zone");
	const char *known =
		MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
					    "If-None-Match");
	int64_t now = clock_mono_ms();
	json_t *arr = json_array();
	char *text;
	size_t i;

	if (is_blocked(r)) {
		json_decref(arr);
		delay_reply(r);
		return;
	}
	snprintf(r->etag, sizeof(r->etag), "%" PRIu64, list_version(now));
	if (known && !strcmp(known, r->etag)) {
		json_decref(arr);
		reply_text(r, 304, "");
		return;
	}
	for (i = 0; i < platform.host_count; i++) {
		struct listed_host h = platform.hosts[i];

		if (!is_listed(&h, zone))
			continue;

		if (now < platform.updated_at_ms[i] + platform.host_lag_ms)
			h.leaving = 0;
		json_array_append_new(arr, shape_to_json(&host_shape, &h));
	}
	text = json_dumps(arr, JSON_COMPACT);
	reply_text(r, 200, text);
	free(text);
	json_decref(arr);
}

static void put_host(struct http_request *r)
{
	json_t *j = json_loadb(r->body.data ? r->body.data : "", r->body.len, 0,
			       NULL);
	struct arena a;
	struct listed_host h = {0};
	size_t i;

	arena_init(&a);
	if (!j || shape_from_json(&host_shape, j, &h, &a) || !h.name[0]) {
		reply_text(r, 400, "{\"error\":\"bad host\"}\n");
	} else {
		for (i = 0; i < platform.host_count; i++)
			if (!strcmp(platform.hosts[i].name, h.name))
				break;
		if (i == platform.host_count && i < HOSTS_MAX)
			platform.host_count++;
		if (i < HOSTS_MAX) {
			platform.hosts[i] = h;
			platform.hosts_version++;
			platform.updated_at_ms[i] = clock_mono_ms();
		}
		reply_text(r, 200, "{}\n");
	}
	arena_finish(&a);
	json_decref(j);
}

static void set_fault(struct http_request *r)
{
	const char *mode = http_query(r, "mode");
	const char *block = http_query(r, "block");
	size_t i;

	for (i = 0; mode && i < sizeof(mode_names) / sizeof(*mode_names); i++)
		if (!strcmp(mode_names[i], mode))
			platform.mode = (enum fault_mode)i;
	if (block && !*block)
		platform.blocked_zone_count = 0;
	else if (block && platform.blocked_zone_count < BLOCKED_MAX)
		name_set(platform.blocked_zones[platform.blocked_zone_count++],
			 block);
	reply_text(r, 200, "{}\n");
}

static void serve_stats(struct http_request *r)
{
	char text[160];

	snprintf(text, sizeof(text),
		 "{\"appends\":%" PRIu64 ",\"append_bytes\":%" PRIu64 "}\n",
		 platform.appends, platform.append_bytes);
	reply_text(r, 200, text);
}

static void on_http(void *ctx, struct http_request *r)
{
	static const char streams[] = "/v1/streams/";

	(void)ctx;
	pthread_mutex_lock(&platform.lock);
	if (!strncmp(r->path, streams, sizeof(streams) - 1))
		serve_stream(r, r->path + sizeof(streams) - 1);
	else if (!strcmp(r->path, "/v1/hosts") && !strcmp(r->method, "GET"))
		list_hosts(r);
	else if (!strcmp(r->path, "/v1/hosts"))
		put_host(r);
	else if (!strcmp(r->path, "/fault"))
		set_fault(r);
	else if (!strcmp(r->path, "/stats"))
		serve_stats(r);
	else
		reply_text(r, 404, "{}\n");
	pthread_mutex_unlock(&platform.lock);
}

static void send_delayed_replies(bool all)
{
	struct delayed_reply **p = &platform.delayed_replies;
	int64_t now = clock_mono_ms();

	pthread_mutex_lock(&platform.lock);
	while (*p) {
		struct delayed_reply *d = *p;

		if (!all && now < d->until_ms) {
			p = &d->next;
			continue;
		}
		*p = d->next;
		reply_text(d->request, 504, "{}\n");
		free(d);
	}
	pthread_mutex_unlock(&platform.lock);
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "standin-platform",
		.about = "Test only: the platform's log and host list.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	struct timespec wait = {0, 50000000};
	struct http_server http = {0};
	int code = settings_parse(&s, argc, argv);
	sigset_t stop_signals;

	if (code >= 0)
		return code;
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	platform.retention_ms = settings_number(&s, "retention") * 1000;
	platform.host_lag_ms = settings_number(&s, "host-lag");
	http.handle = on_http;
	if (http_server_start(&http, settings_text(&s, "listen"),
			      (uint16_t)settings_number(&s, "http-port"),
			      BODY_MAX))
		return EXIT_CODE_ENV;
	if (standin_write_port(settings_text(&s, "port-file"), http.port))
		return EXIT_CODE_ENV;
	while (sigtimedwait(&stop_signals, NULL, &wait) <= 0)
		send_delayed_replies(false);
	send_delayed_replies(true);
	http_server_stop(&http);
	settings_finish(&s);
	return EXIT_CODE_OK;
}
