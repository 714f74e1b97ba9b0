#include "adapters/clock.h"
#include "adapters/http_server.h"
#include "adapters/loop.h"
#include "base/lock.h"
#include "base/logger.h"
#include "platform/json.h"
#include "platform/platform.h"
#include "standins/grid_worker.h"
#include "standins/standin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/*
 * Test stand-in for a worker: serves the platform's worker interface over HTTP
 * and appends membership heartbeats to the store.
 */

#define BODY_MAX (1024 * 1024)
#define TICK_MS 10
#define HEARTBEAT_MS 1000
#define WAITERS_MAX 64
#define TOPIC "keyed.servers"

static struct setting rows[] = {
	{"id", "name", SETTING_TEXT, 1, 63, "", "id of this instance", true},
	{"zone", "name", SETTING_TEXT, 1, 63, "zone-1", "zone", true},
	{"rack", "name", SETTING_TEXT, 1, 63, "r1-1", "rack", true},
	{"service", "name", SETTING_TEXT, 1, 63, "desk", "pool", true},
	{"listen", "address", SETTING_TEXT, 1, 15, "127.0.0.1",
	 "IP address to listen on", true},
	{"store", "address", SETTING_TEXT, 1, 63, "",
	 "IP address and port of the store", true},
	{"cpu", "thousandths", SETTING_NUMBER, 1, 10000000, "16000",
	 "processors", false},
	{"memory", "MB", SETTING_NUMBER, 1, 16000000, "60000", "memory", false},
	{"announce", "address", SETTING_TEXT, 0, 63, "",
	 "address to announce instead of the listening one", false},
	{"port-file", "path", SETTING_TEXT, 0, 200, "",
	 "file that receives the port", false},
	{"run-log", "path", SETTING_TEXT, 0, 200, "",
	 "file that receives a line for each event of a run", false},
};

/**
 * struct waiter - a long poll that waits for the end of a run
 * @end_count: that of the worker when the poll arrived
 * @deadline_ms: time of the reply if no run ends, monotonic clock
 */
struct waiter {
	struct http_request *request;
	uint64_t end_count;
	int64_t deadline_ms;
};

struct worker_server {
	struct lock lock; /* LOCK_CORE */
	struct grid_worker worker;
	struct waiter waiters[WAITERS_MAX];
	size_t waiter_count;
	struct settings *set;
	struct loop loop;
	struct platform platform;
	uint16_t port;
	uint64_t born;
	uint64_t heartbeat_seq;
	int64_t heartbeat_due_ms;
	FILE *run_log;
};

static int64_t began_ms;

/* The clock of a worker starts anew with its process. */
static int64_t worker_clock_ms(void)
{
	return clock_mono_ms() - began_ms;
}

/* A process that stood still ends its runs, as it goes on, for a lease that ran
 * out while nothing could run. */
static int64_t lease_overrun_ms(const struct worker_server *s,
				const struct grid_run *r)
{
	int64_t late = worker_clock_ms() - s->worker.lease_until_ms;
	bool is_expiry = !r || (r->end_seq && r->outcome == RUN_EXPIRED);

	return is_expiry && late > 0 ? late : 0;
}

static void log_run_event(void *ctx, const struct grid_run *r,
			  const char *event)
{
	static const char *const end_names[] = {"done",   "failed", "stopped",
						"lapsed", "broken", "alone"};
	struct worker_server *s = ctx;
	char name[TASK_NAME_SIZE];
	int64_t at_ms = clock_wall_ms() - lease_overrun_ms(s, r);

	if (!s->run_log)
		return;
	if (!strcmp(event, "lease")) {
		fprintf(s->run_log, "%" PRId64 " %s - 0 lease %" PRId64 "\n",
			clock_wall_ms(), settings_text(s->set, "id"),
			clock_wall_ms() + s->worker.lease_until_ms -
				worker_clock_ms());
		fflush(s->run_log);
		return;
	}
	if (!r) {
		fprintf(s->run_log, "%" PRId64 " %s - 0 %s -\n", at_ms,
			settings_text(s->set, "id"), event);
		fflush(s->run_log);
		return;
	}
	task_name(&r->ref, name);
	fprintf(s->run_log, "%" PRId64 " %s %s %u %s %s\n", at_ms,
		settings_text(s->set, "id"), name, r->ref.run, event,
		r->end_seq ? end_names[r->outcome] : "-");
	fflush(s->run_log);
}

/* Ends the runs that a former process under the same id has logged. */
static void log_birth(const struct worker_server *s)
{
	if (!s->run_log)
		return;
	fprintf(s->run_log, "%" PRId64 " %s - 0 born -\n", clock_wall_ms(),
		settings_text(s->set, "id"));
	fflush(s->run_log);
}

static void reply_order(struct http_request *r, enum order_status status)
{
	static const char *const reasons[] = {
		[ORDER_FENCED] = "fence",
		[ORDER_STALE_RUN] = "old",
		[ORDER_EXPIRED] = "late",
		[ORDER_NO_ROOM] = "room",
	};
	struct buf b;

	buf_init(&b);
	buf_addf(&b, "{\"clockMs\":%" PRId64, worker_clock_ms());
	if (status)
		buf_addf(&b, ",\"reason\":\"%s\"", reasons[status]);
	buf_adds(&b, "}");
	http_reply(r, status ? 409 : 200, 0, b.data, b.len);
	buf_finish(&b);
}

static int order_parse(const json_t *j, struct order *o)
{
	const json_t *spec = json_object_get(j, "spec");
	const char *task = json_string_value(json_object_get(j, "task"));

	memset(o, 0, sizeof(*o));
	if (!task || task_name_parse(task, &o->ref) ||
	    json_get_u32(j, "runId", &o->ref.run) ||
	    json_get_u64(j, "fence", &o->fence) ||
	    json_get_i64(j, "deadlineMs", &o->lease_deadline_ms))
		return -1;
	if (json_is_string(spec)) {
		o->spec.data = json_string_value(spec);
		o->spec.len = json_string_length(spec);
	}
	return 0;
}

static void do_start(struct worker_server *s, struct http_request *r,
		     const json_t *j)
{
	struct order o;

	if (order_parse(j, &o))
		http_reply(r, 400, 0, "{}", 2);
	else
		reply_order(r, grid_worker_start(&s->worker, worker_clock_ms(),
						 &o));
}

static void do_stop(struct worker_server *s, struct http_request *r,
		    const json_t *j)
{
	struct order o;

	if (order_parse(j, &o))
		http_reply(r, 400, 0, "{}", 2);
	else
		reply_order(r, grid_worker_stop(&s->worker, worker_clock_ms(),
						&o));
}

/* The model does not throttle: the order is accepted and has no effect. */
static void do_throttle(struct worker_server *s, struct http_request *r,
			const json_t *j)
{
	(void)s;
	(void)j;
	reply_order(r, ORDER_OK);
}

static void add_running(const struct grid_run *r, struct buf *b)
{
	char name[TASK_NAME_SIZE];
	bool is_unbounded = r->ends_ms - r->started_ms > 1000000;
	int64_t percent = (worker_clock_ms() - r->started_ms) * 100 /
			  (r->ends_ms - r->started_ms + 1);

	task_name(&r->ref, name);
	buf_addf(b, "%s[\"%s\",%u,\"\",%" PRId64 ",1000]",
		 b->data[b->len - 1] == '[' ? "" : ",", name, r->ref.run,
		 is_unbounded ? 100 : percent);
}

static void add_ended(const struct grid_run *r, struct buf *b)
{
	static const char *const end_names[] = {"done",   "failed", "stopped",
						"lapsed", "broken", "alone"};
	char name[TASK_NAME_SIZE];

	task_name(&r->ref, name);
	buf_addf(b, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]",
		 b->data[b->len - 1] == '[' ? "" : ",", r->end_seq, name,
		 r->ref.run, end_names[r->outcome]);
}

static void reply_status(struct worker_server *s, struct http_request *r)
{
	const struct grid_run *run;
	struct buf b;

	buf_init(&b);
	buf_addf(&b,
		 "{\"clockMs\":%" PRId64 ",\"born\":%" PRIu64 ",\"running\":[",
		 worker_clock_ms(), s->born);
	for (run = s->worker.running; run; run = run->next)
		add_running(run, &b);
	buf_adds(&b, "],\"ended\":[");
	for (run = s->worker.ended; run; run = run->next)
		add_ended(run, &b);
	buf_adds(&b, "]}");
	http_reply(r, 200, 0, b.data, b.len);
	buf_finish(&b);
}

static void do_poll(struct worker_server *s, struct http_request *r,
		    const json_t *j)
{
	struct poll_request poll = {0};
	enum order_status status;

	if (json_get_u64(j, "fence", &poll.fence) ||
	    json_get_u64(j, "ackCursor", &poll.ack) ||
	    json_get_i64(j, "deadlineMs", &poll.lease_deadline_ms) ||
	    json_get_u32(j, "waitMs", &poll.wait_ms)) {
		http_reply(r, 400, 0, "{}", 2);
		return;
	}
	status = grid_worker_poll(&s->worker, worker_clock_ms(), &poll);
	if (status) {
		reply_order(r, status);
	} else if (!poll.wait_ms || s->worker.ended ||
		   s->waiter_count == WAITERS_MAX) {
		reply_status(s, r);
	} else {
		s->waiters[s->waiter_count].request = r;
		s->waiters[s->waiter_count].end_count = s->worker.end_count;
		s->waiters[s->waiter_count++].deadline_ms =
			worker_clock_ms() + poll.wait_ms;
	}
}

static void check_waiters(struct worker_server *s)
{
	size_t i;

	for (i = 0; i < s->waiter_count; i++) {
		struct waiter *w = &s->waiters[i];

		if (w->end_count == s->worker.end_count &&
		    worker_clock_ms() < w->deadline_ms)
			continue;
		reply_status(s, w->request);
		*w = s->waiters[--s->waiter_count];
		i--;
	}
}

static const struct {
	const char *path;
	void (*handle)(struct worker_server *s, struct http_request *r,
		       const json_t *j);
} endpoints[] = {
	{"/api/run-start", do_start},
	{"/api/run-stop", do_stop},
	{"/api/pace", do_throttle},
	{"/api/hold", do_poll},
};

static void on_request(void *ctx, struct http_request *r)
{
	const char *expect = http_header(r, "X-Expect-Instance");
	json_t *j = json_loadb(r->body.data, r->body.len, 0, NULL);
	struct worker_server *s = ctx;
	size_t i, n = sizeof(endpoints) / sizeof(endpoints[0]);

	lock_take(&s->lock);
	grid_worker_tick(&s->worker, worker_clock_ms());
	if (expect && strcmp(expect, settings_text(s->set, "id"))) {
		http_reply(r, 421, 0, "{}", 2);
	} else {
		for (i = 0; i < n && strcmp(r->path, endpoints[i].path); i++)
			;
		if (i < n)
			endpoints[i].handle(s, r, j);
		else
			http_reply(r, 404, 0, "{}", 2);
	}
	lock_give(&s->lock);
	json_decref(j);
}

static void on_appended(void *ctx, const struct store_reply *r)
{
	(void)ctx;
	if (r->status != STORE_OK)
		log_line(LOG_WARN, "heartbeat not stored", "status=%d",
			 (int)r->status);
}

static void announced_address(const struct worker_server *s,
			      char out[NAME_SIZE])
{
	const char *announced = settings_text(s->set, "announce");

	if (announced[0])
		name_set(out, announced);
	else
		snprintf(out, NAME_SIZE, "%.48s:%u",
			 settings_text(s->set, "listen"), s->port);
}

static void append_heartbeat(struct worker_server *s)
{
	struct store_append a = {0};
	char address[NAME_SIZE];
	struct buf value, frames;

	announced_address(s, address);
	buf_init(&value);
	buf_init(&frames);
	buf_addf(&value,
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		 "\"born\":%" PRIu64 ",\"capacity\":{\"cpu\":%s,\"memMb\":%s},"
		 "\"labels\":[\"a\",\"%s\"],\"seq\":%" PRIu64 "}",
		 settings_text(s->set, "service"), address,
		 settings_text(s->set, "zone"), s->born,
		 settings_text(s->set, "cpu"), settings_text(s->set, "memory"),
		 settings_text(s->set, "rack"), ++s->heartbeat_seq);
	store_record_add(&frames, str_of(settings_text(s->set, "id")),
			 (struct str){value.data, value.len});
	a.topic = TOPIC;
	a.records.data = frames.data;
	a.records.len = frames.len;
	platform_store_ops.append(&s->platform, &a, on_appended, s);
	buf_finish(&value);
	buf_finish(&frames);
}

static int64_t on_tick(void *ctx)
{
	struct worker_server *s = ctx;
	int64_t now = worker_clock_ms();

	lock_take(&s->lock);
	grid_worker_tick(&s->worker, now);
	check_waiters(s);
	lock_give(&s->lock);
	if (now >= s->heartbeat_due_ms) {
		s->heartbeat_due_ms = now + HEARTBEAT_MS;
		append_heartbeat(s);
	}
	if (standin_is_stopping())
		loop_stop(&s->loop);
	return TICK_MS;
}

static void on_post(void *ctx, void *value)
{
	(void)ctx;
	(void)value;
}

static const struct loop_ops loop_ops = {on_tick, on_post};

int main(int argc, char **argv)
{
	struct settings set = {
		.program = "standin-gridworker",
		.about = "Test only: a worker. The specification of a task "
			 "sets its duration and end: run_ms=N fail=1.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = standin_init(&set, argc, argv);
	struct http_server http = {0};
	struct worker_server *s;

	if (code >= 0)
		return code;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	s = xcalloc(1, sizeof(*s));
	lock_init(&s->lock);
	s->set = &set;
	s->born = (uint64_t)clock_wall_ms();
	began_ms = clock_mono_ms();
	s->worker.on_event = log_run_event;
	s->worker.ctx = s;
	if (settings_text(&set, "run-log")[0])
		s->run_log = fopen(settings_text(&set, "run-log"), "a");
	log_birth(s);
	s->platform.loop = &s->loop;
	name_set(s->platform.store_addr, settings_text(&set, "store"));
	http.handle = on_request;
	http.ctx = s;
	code = EXIT_CODE_ENV;
	if (!loop_init(&s->loop, &loop_ops, s, WAITERS_MAX) &&
	    !http_server_start(&http, settings_text(&set, "listen"), 0,
			       BODY_MAX) &&
	    !standin_write_port(settings_text(&set, "port-file"), http.port)) {
		s->port = http.port;
		loop_run(&s->loop);
		code = EXIT_CODE_OK;
	}
	_exit(code); /* active runs end with the process */
}
