#include "adapters/node.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "adapters/clock.h"
#include "base/counter.h"
#include "base/logger.h"

#define NODE_TICK_MS 50
/* Limit on a drain; afterwards the process stops even if work is left. */
#define DRAIN_MAX_MS 20000

static void port_append(void *ctx, uint64_t token, const char *stream,
			struct str body)
{
	struct node *n = ctx;

	log_http_append(&n->log, token, stream, body);
}

static void port_read(void *ctx, uint64_t token, const char *stream,
		      uint64_t from)
{
	struct node *n = ctx;

	log_http_read(&n->log, token, stream, from);
}

static void port_send(void *ctx, uint64_t to, const struct msg *m)
{
	struct node *n = ctx;
	struct msg out = *m;

	out.clock = event_clock_tick(&n->events, clock_wall_ms());
	peer_net_send(&n->net, to, &out);
}

static void port_event(void *ctx, const char *name, uint64_t task,
		       uint32_t attempt, const char *detail)
{
	struct node *n = ctx;

	event_add(&n->events, clock_wall_ms(), name, task, attempt, detail);
	log_line(LOG_DEBUG, name,
		 "task=%016" PRIx64 " attempt=%u detail=\"%s\"", task, attempt,
		 detail);
}

static void port_count(void *ctx, int counter, uint64_t count)
{
	(void)ctx;
	counter_add((enum counter_id)counter, count);
}

static const struct port_ops node_port_ops = {port_append, port_read, port_send,
					      port_event, port_count};

static void on_message(void *ctx, const struct msg *m)
{
	struct node *n = ctx;

	event_clock_merge(&n->events, m->clock);
	pthread_mutex_lock(&n->lock);
	n->ops->message(n->ctx, clock_mono_ms(), m);
	pthread_mutex_unlock(&n->lock);
}

static void on_append(void *ctx, uint64_t token, enum log_status status,
		      uint64_t offset)
{
	struct node *n = ctx;

	pthread_mutex_lock(&n->lock);
	n->ops->append(n->ctx, clock_mono_ms(), token, status, offset);
	pthread_mutex_unlock(&n->lock);
}

static void on_read(void *ctx, uint64_t token, const struct log_read *r)
{
	struct node *n = ctx;

	pthread_mutex_lock(&n->lock);
	n->ops->read(n->ctx, clock_mono_ms(), token, r);
	pthread_mutex_unlock(&n->lock);
}

static void on_hosts(void *ctx, const struct listed_host *hosts, size_t count)
{
	struct node *n = ctx;

	peer_net_set_hosts(&n->net, hosts, count);
	pthread_mutex_lock(&n->lock);
	n->ops->hosts(n->ctx, clock_mono_ms(), hosts, count);
	pthread_mutex_unlock(&n->lock);
}

static void on_hosts_unchanged(void *ctx)
{
	struct node *n = ctx;

	pthread_mutex_lock(&n->lock);
	n->ops->hosts_unchanged(n->ctx, clock_mono_ms());
	pthread_mutex_unlock(&n->lock);
}

static void reply_buf(struct http_request *r, int status, const struct buf *b)
{
	http_reply(r, status, 0, b->data ? b->data : "", b->len);
}

static void serve_events(struct node *n, struct http_request *r)
{
	const char *since = http_query(r, "since");
	struct buf b;

	buf_init(&b);
	event_log_write(&n->events, since ? strtoull(since, NULL, 10) : 0, &b);
	reply_buf(r, 200, &b);
	buf_finish(&b);
}

static void serve_counters(struct http_request *r)
{
	struct buf b;

	buf_init(&b);
	counter_write(&b);
	reply_buf(r, 200, &b);
	buf_finish(&b);
}

static void serve_status(struct node *n, struct http_request *r)
{
	struct buf b;

	buf_init(&b);
	pthread_mutex_lock(&n->lock);
	n->ops->status(n->ctx, &b);
	pthread_mutex_unlock(&n->lock);
	reply_buf(r, 200, &b);
	buf_finish(&b);
}

static void serve_ready(struct node *n, struct http_request *r)
{
	bool ready;

	pthread_mutex_lock(&n->lock);
	ready = n->ops->ready(n->ctx);
	pthread_mutex_unlock(&n->lock);
	if (ready)
		http_reply(r, 200, 0, "{\"ready\":true}\n", 15);
	else
		http_reply(r, 503, 1000, "{\"ready\":false}\n", 16);
}

static void on_http(void *ctx, struct http_request *r)
{
	static const char not_found[] = "{\"error\":\"no such path\"}\n";
	struct node *n = ctx;
	bool get = !strcmp(r->method, "GET"), handled;

	if (get && !strcmp(r->path, "/healthz")) {
		http_reply(r, 200, 0, "{\"alive\":true}\n", 15);
	} else if (get && !strcmp(r->path, "/readyz")) {
		serve_ready(n, r);
	} else if (get && !strcmp(r->path, "/counters")) {
		serve_counters(r);
	} else if (get && !strcmp(r->path, "/events")) {
		serve_events(n, r);
	} else if (get && !strcmp(r->path, "/status")) {
		serve_status(n, r);
	} else {
		pthread_mutex_lock(&n->lock);
		handled = n->ops->http(n->ctx, clock_mono_ms(), r);
		pthread_mutex_unlock(&n->lock);
		if (!handled)
			http_reply(r, 404, 0, not_found, sizeof(not_found) - 1);
	}
}

void node_init(struct node *n, const struct settings *s)
{
	struct timespec ts;

	memset(n, 0, sizeof(*n));
	pthread_mutex_init(&n->lock, NULL);
	event_log_init(&n->events, settings_text(s, "name"),
		       settings_text(s, "zone"));
	clock_gettime(CLOCK_REALTIME, &ts);
	n->incarnation = attempt_id((uint64_t)ts.tv_sec * 1000000000ULL +
					    (uint64_t)ts.tv_nsec,
				    (uint32_t)getpid()) >>
			 1;
	n->ports.ops = &node_port_ops;
	n->ports.ctx = n;
}

void node_finish(struct node *n)
{
	event_log_finish(&n->events);
	pthread_mutex_destroy(&n->lock);
}

static int write_port_file(const struct node *n, const char *path)
{
	FILE *f;

	if (!path[0])
		return 0;
	f = fopen(path, "w");
	if (!f)
		return -errno;
	fprintf(f, "%u %u\n", n->net.port, n->http.port);
	return fclose(f) ? -errno : 0;
}

static int start_adapters(struct node *n, const struct settings *s,
			  size_t body_max)
{
	struct peer_sink peers = {on_message, n};
	struct log_sink log = {on_append, on_read, on_hosts, on_hosts_unchanged,
			       n};
	const char *ip = settings_text(s, "listen");
	char client[NAME_SIZE * 2 + 2];
	int err;

	err = peer_net_start(&n->net, settings_text(s, "name"), ip,
			     (uint16_t)settings_number(s, "port"), &peers);
	if (err)
		return err;
	snprintf(client, sizeof(client), "%s@%s", settings_text(s, "name"),
		 settings_text(s, "zone"));
	err = log_http_start(&n->log, settings_text(s, "platform"), client,
			     &log);
	if (err)
		return err;
	n->http.handle = on_http;
	n->http.ctx = n;
	err = http_server_start(&n->http, ip,
				(uint16_t)settings_number(s, "http-port"),
				body_max);
	if (err)
		return err;
	return write_port_file(n, settings_text(s, "port-file"));
}

static void tick(struct node *n)
{
	pthread_mutex_lock(&n->lock);
	n->ops->tick(n->ctx, clock_mono_ms());
	pthread_mutex_unlock(&n->lock);
}

static void serve(struct node *n, const sigset_t *stop_signals)
{
	struct timespec wait = {0, NODE_TICK_MS * 1000000L};
	int64_t drain_start_ms = 0;
	bool done = false, drained = false;

	while (!done) {
		if (sigtimedwait(stop_signals, NULL, &wait) > 0 &&
		    !drain_start_ms) {
			drain_start_ms = clock_mono_ms();
			log_line(LOG_INFO, "draining", "limit_ms=%d",
				 DRAIN_MAX_MS);
			pthread_mutex_lock(&n->lock);
			n->ops->drain(n->ctx, drain_start_ms);
			pthread_mutex_unlock(&n->lock);
		}
		tick(n);
		if (!drain_start_ms)
			continue;
		pthread_mutex_lock(&n->lock);
		drained = n->ops->drained(n->ctx);
		pthread_mutex_unlock(&n->lock);
		done = drained ||
		       clock_mono_ms() - drain_start_ms >= DRAIN_MAX_MS;
	}
	log_line(LOG_INFO, "stopped", "drained=%d", drained);
}

int node_run(struct node *n, const struct settings *s,
	     const struct node_ops *ops, void *ctx, size_t body_max)
{
	const char *format = settings_text(s, "log-format");
	int level = log_level_parse(settings_text(s, "log-level"));
	sigset_t stop_signals;
	int err;

	if (level < 0 || (strcmp(format, "logfmt") && strcmp(format, "json"))) {
		fprintf(stderr, "%s: setting %s: value '%s' is not allowed\n",
			s->program, level < 0 ? "log-level" : "log-format",
			level < 0 ? settings_text(s, "log-level") : format);
		return EXIT_CODE_USAGE;
	}
	logger_setup((enum log_level)level, !strcmp(format, "json"),
		     settings_text(s, "name"));
	logger_start();
	n->ops = ops;
	n->ctx = ctx;
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	err = start_adapters(n, s, body_max);
	if (err) {
		log_line(LOG_ERROR,
			 "cannot open sockets or write the port file",
			 "error=%d", err);
		return EXIT_CODE_ENV;
	}
	log_line(LOG_INFO, "listening", "port=%u http_port=%u", n->net.port,
		 n->http.port);
	serve(n, &stop_signals);
	http_server_stop(&n->http);
	log_http_stop(&n->log);
	peer_net_stop(&n->net);
	return EXIT_CODE_OK;
}
