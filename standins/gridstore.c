#include "adapters/clock.h"
#include "adapters/http_server.h"
#include "base/lock.h"
#include "base/logger.h"
#include "ports/cluster.h"
#include "standins/grid_store.h"
#include "standins/standin.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Test stand-in for the platform's store, served over HTTP. */

#define BODY_MAX (4 * 1024 * 1024)
#define WAITERS_MAX 1024
#define TICK_US 5000

static struct setting rows[] = {
	{"listen", "address", SETTING_TEXT, 1, 64, "127.0.0.1",
	 "IP address to listen on", true},
	{"port", "port", SETTING_NUMBER, 0, 65535, "0",
	 "port; 0 lets the system choose", false},
	{"port-file", "path", SETTING_TEXT, 0, 512, "",
	 "file that receives the port", false},
	{"partitions", "partitions", SETTING_NUMBER, 1, 64, "24",
	 "partitions of a topic that a group assigns", false},
	{"append-log", "path", SETTING_TEXT, 0, 512, "",
	 "file that receives a line for each append that is stored or repeated",
	 false},
	{"page", "records", SETTING_NUMBER, 0, 500, "0",
	 "records in a page of a listing; 0 for all in one", false},
	{"keep", "ms", SETTING_NUMBER, 0, 86400000, "0",
	 "time after which records expire; 0 for never", false},
};

/**
 * struct waiter - a read that waits for a record
 * @from: offset of the first record to return
 * @deadline_ms: time of the reply if no record arrives, monotonic clock
 */
struct waiter {
	struct http_request *request;
	struct grid_partition *partition;
	uint64_t from;
	int64_t deadline_ms;
};

struct store_server {
	struct lock lock; /* LOCK_CORE */
	struct grid_store store;
	struct waiter waiters[WAITERS_MAX];
	size_t waiter_count;
	bool down;
	size_t page;     /* records of a listing; 0 for all */
	int64_t keep_ms; /* 0: records do not expire */
	FILE *append_log;
};

static volatile sig_atomic_t down_requested;

static void on_signal(int sig)
{
	down_requested = sig == SIGUSR1;
}

static uint64_t query_number(const struct http_request *r, const char *name)
{
	const char *v = http_query(r, name);

	return v ? strtoull(v, NULL, 10) : 0;
}

static struct grid_partition *request_partition(struct store_server *s,
						struct http_request *r)
{
	const char *topic = http_query(r, "topic");

	return grid_store_partition(&s->store, topic ? topic : "",
				    (uint32_t)query_number(r, "part"));
}

static void reply_buf(struct http_request *r, int status, struct buf *b)
{
	http_reply(r, status, 0, b->data ? b->data : "", b->len);
	buf_finish(b);
}

/*
 * Line: time in ms, partition, "new" or "again", epoch and number of the
 * producer or "- -", hash of the records, and their keys.
 */
static void log_append(struct store_server *s, struct http_request *r,
		       const struct grid_partition *p, size_t count_before)
{
	struct str body = {r->body.data, r->body.len};
	bool has_seq = http_query(r, "producer") != NULL;
	bool is_repeat = body.len && p->count == count_before;
	struct store_record record;
	size_t i;

	if (!s->append_log)
		return;
	fprintf(s->append_log, "%" PRId64 " %s %s %s %s %016" PRIx64,
		clock_wall_ms(), p->name, is_repeat ? "again" : "new",
		has_seq ? http_query(r, "epoch") : "-",
		has_seq ? http_query(r, "seq") : "-", bytes_hash(body));
	while (!store_record_take(&body, &record)) {
		fputc(' ', s->append_log);
		for (i = 0; i < record.key.len; i++)
			fputc(isgraph((unsigned char)record.key.data[i])
				      ? record.key.data[i]
				      : '?',
			      s->append_log);
	}
	fputc('\n', s->append_log);
	fflush(s->append_log);
}

static void do_append(struct store_server *s, struct http_request *r)
{
	struct str body = {r->body.data, r->body.len};
	struct grid_partition *p = request_partition(s, r);
	size_t count_before = p->count;
	enum grid_status status;
	uint64_t first = 0;
	struct buf b;

	buf_init(&b);
	status = grid_partition_append(p, body,
				       http_query(r, "producer") != NULL,
				       query_number(r, "epoch"),
				       query_number(r, "seq"), clock_mono_ms(),
				       &first);
	switch (status) {
	case GRID_OK:
		log_append(s, r, p, count_before);
		buf_addf(&b, "{\"offset\":%" PRIu64 ",\"endOffset\":%zu}",
			 first, p->count);
		reply_buf(r, 200, &b);
		return;
	case GRID_FENCED:
		buf_adds(&b, "{\"reason\":\"fenced\"}");
		break;
	case GRID_BAD_SEQ:
		buf_addf(&b, "{\"reason\":\"seq\",\"seq\":%" PRIu64 "}", first);
		break;
	case GRID_BAD_BODY:
		reply_buf(r, 400, &b);
		return;
	}
	reply_buf(r, 409, &b);
}

static void reply_read(struct http_request *r, const struct grid_partition *p,
		       uint64_t from)
{
	struct buf b;

	buf_init(&b);
	grid_partition_read(p, from, &b);
	reply_buf(r, 200, &b);
}

static void reply_expired(struct http_request *r,
			  const struct grid_partition *p)
{
	struct buf b;

	buf_init(&b);
	buf_addf(&b, "{\"startOffset\":%zu}", p->first);
	reply_buf(r, 410, &b);
}

static void do_read(struct store_server *s, struct http_request *r)
{
	struct grid_partition *p = request_partition(s, r);
	uint64_t from = query_number(r, "from");
	int64_t wait = (int64_t)query_number(r, "waitMs");

	if (s->keep_ms)
		grid_partition_expire(p, clock_mono_ms() - s->keep_ms);
	if (from < p->first) {
		reply_expired(r, p);
		return;
	}
	if (from < p->count || !wait || s->waiter_count == WAITERS_MAX) {
		reply_read(r, p, from);
		return;
	}
	s->waiters[s->waiter_count].request = r;
	s->waiters[s->waiter_count].partition = p;
	s->waiters[s->waiter_count].from = from;
	s->waiters[s->waiter_count++].deadline_ms = clock_mono_ms() + wait;
}

static void check_waiters(struct store_server *s)
{
	int64_t now = clock_mono_ms();
	size_t i;

	for (i = 0; i < s->waiter_count; i++) {
		struct waiter *w = &s->waiters[i];

		if (w->from >= w->partition->count && now < w->deadline_ms)
			continue;
		reply_read(w->request, w->partition, w->from);
		*w = s->waiters[--s->waiter_count];
		i--;
	}
}

static void do_newest(struct store_server *s, struct http_request *r)
{
	struct buf b;

	buf_init(&b);
	grid_partition_newest(request_partition(s, r),
			      str_of(http_query(r, "after")), s->page, &b);
	reply_buf(r, 200, &b);
}

static void do_join(struct store_server *s, struct http_request *r)
{
	json_t *j = json_loadb(r->body.data, r->body.len, 0, NULL);
	const char *member = json_string_value(json_object_get(j, "member"));
	const char *topic = json_string_value(
		json_array_get(json_object_get(j, "topics"), 0));
	json_int_t ttl = json_integer_value(json_object_get(j, "ttlMs"));
	const char *comma = "";
	uint64_t assigned = 0;
	uint32_t i;
	struct buf b;

	buf_init(&b);
	if (!member || !topic || ttl <= 0) {
		reply_buf(r, 400, &b);
		json_decref(j);
		return;
	}
	grid_store_join(&s->store, member, clock_mono_ms(), ttl, &assigned);
	buf_addf(&b, "{\"generation\":%" PRIu64 ",\"parts\":[",
		 s->store.generation);
	for (i = 0; i < s->store.partitions_per_topic; i++) {
		if (!(assigned >> i & 1))
			continue;
		buf_addf(&b, "%s[\"%s\",%u,0]", comma, topic, i);
		comma = ",";
	}
	buf_adds(&b, "]}");
	reply_buf(r, 200, &b);
	json_decref(j);
}

static void do_leave(struct store_server *s, struct http_request *r)
{
	json_t *j = json_loadb(r->body.data, r->body.len, 0, NULL);
	const char *member = json_string_value(json_object_get(j, "member"));

	if (member)
		grid_store_leave(&s->store, member);
	http_reply(r, member ? 200 : 400, 0, "{}", 2);
	json_decref(j);
}

static const struct {
	const char *method;
	const char *path;
	void (*handle)(struct store_server *s, struct http_request *r);
} endpoints[] = {
	{"POST", "/api/log-append", do_append},
	{"GET", "/api/log-read", do_read},
	{"GET", "/api/log-newest", do_newest},
	{"POST", "/api/log-join", do_join},
	{"POST", "/api/log-leave", do_leave},
};

static void on_request(void *ctx, struct http_request *r)
{
	struct store_server *s = ctx;
	size_t i;

	if (down_requested) {
		http_reply(r, 503, 0, "{}", 2);
		return;
	}
	lock_take(&s->lock);
	for (i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++)
		if (!strcmp(r->method, endpoints[i].method) &&
		    !strcmp(r->path, endpoints[i].path)) {
			endpoints[i].handle(s, r);
			break;
		}
	check_waiters(s);
	lock_give(&s->lock);
	if (i == sizeof(endpoints) / sizeof(endpoints[0]))
		http_reply(r, 404, 0, "{}", 2);
}

int main(int argc, char **argv)
{
	struct settings set = {
		.program = "standin-gridstore",
		.about = "Test only: the platform's store. SIGUSR1 makes it "
			 "refuse all requests until SIGUSR2.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = standin_init(&set, argc, argv);
	struct http_server http = {0};
	struct store_server *s;

	if (code >= 0)
		return code;
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	s = xcalloc(1, sizeof(*s));
	lock_init(&s->lock);
	grid_store_init(&s->store,
			(uint32_t)settings_number(&set, "partitions"));
	s->page = (size_t)settings_number(&set, "page");
	s->keep_ms = settings_number(&set, "keep");
	if (settings_text(&set, "append-log")[0])
		s->append_log = fopen(settings_text(&set, "append-log"), "a");
	http.handle = on_request;
	http.ctx = s;
	code = EXIT_CODE_OK;
	if (http_server_start(&http, settings_text(&set, "listen"),
			      (uint16_t)settings_number(&set, "port"),
			      BODY_MAX) ||
	    standin_write_port(settings_text(&set, "port-file"), http.port)) {
		log_line(LOG_ERROR, "cannot listen or write the port file",
			 "port=%s", settings_text(&set, "port"));
		code = EXIT_CODE_ENV;
	}
	while (code == EXIT_CODE_OK && !standin_is_stopping()) {
		usleep(TICK_US);
		lock_take(&s->lock);
		check_waiters(s);
		lock_give(&s->lock);
	}
	_exit(code); /* pending requests are dropped, as on a power loss */
}
