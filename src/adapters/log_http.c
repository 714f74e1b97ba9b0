#include "adapters/log_http.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/clock.h"
#include "adapters/http_once.h"
#include "base/counter.h"
#include "base/logger.h"

#define CURL_POLL_MS 200

enum call_kind { CALL_APPEND, CALL_READ, CALL_HOSTS };

/* @link points to the pointer to a call in flight. */
struct log_call {
	struct log_call *next;
	struct log_call **link;
	enum call_kind kind;
	uint64_t token;
	char url[NAME_SIZE * 8];
	struct buf body;
	struct buf reply;
	CURL *easy;
	struct curl_slist *headers;
	char etag[NAME_SIZE];
};

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct log_call *c = arg;

	if (c->reply.len + size * n > LOG_HTTP_BODY_MAX)
		return 0;
	buf_add(&c->reply, data, size * n);
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	static const char name[] = "ETag: ";
	struct log_call *c = arg;
	size_t len = size * n, at = sizeof(name) - 1, i;

	if (len <= at || strncasecmp(data, name, at) != 0)
		return len;
	for (i = 0; at < len && data[at] > ' ' && i < NAME_SIZE - 1; i++)
		c->etag[i] = data[at++];
	c->etag[i] = '\0';
	return len;
}

static void enqueue(struct log_http *l, struct log_call *c)
{
	lock_take(&l->lock);
	*l->queue_tail = c;
	l->queue_tail = &c->next;
	lock_give(&l->lock);
	curl_multi_wakeup(l->multi);
}

void stream_url(const char *base, const char *stream, char *out, size_t size)
{
	char *name = curl_easy_escape(NULL, stream, 0);

	snprintf(out, size, "%s/v1/streams/%s", base, name);
	curl_free(name);
}

void log_http_append(struct log_http *l, uint64_t token, const char *stream,
		     struct str body)
{
	struct log_call *c = xcalloc(1, sizeof(*c));

	c->kind = CALL_APPEND;
	c->token = token;
	stream_url(l->url, stream, c->url, sizeof(c->url));
	buf_add(&c->body, body.data, body.len);
	enqueue(l, c);
}

void log_http_read(struct log_http *l, uint64_t token, const char *stream,
		   uint64_t from)
{
	struct log_call *c = xcalloc(1, sizeof(*c));
	size_t n;

	c->kind = CALL_READ;
	c->token = token;
	stream_url(l->url, stream, c->url, sizeof(c->url));
	n = strlen(c->url);
	snprintf(c->url + n, sizeof(c->url) - n, "?from=%" PRIu64 "&max=%d",
		 from, LOG_HTTP_READ_ENTRIES);
	enqueue(l, c);
}

static void link_in_flight(struct log_http *l, struct log_call *c)
{
	c->next = l->in_flight;
	c->link = &l->in_flight;
	if (c->next)
		c->next->link = &c->next;
	l->in_flight = c;
}

static void unlink_in_flight(struct log_call *c)
{
	*c->link = c->next;
	if (c->next)
		c->next->link = c->link;
}

static void start_call(struct log_http *l, struct log_call *c)
{
	link_in_flight(l, c);
	c->easy = curl_easy_init();
	curl_easy_setopt(c->easy, CURLOPT_URL, c->url);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, LOG_HTTP_TIMEOUT_MS);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, l->headers);
	curl_easy_setopt(c->easy, CURLOPT_USERAGENT, l->client);
	if (c->kind == CALL_APPEND) {
		http_once_set(c->easy, true);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body.data);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)c->body.len);
	}
	if (c->headers)
		curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	if (c->kind == CALL_HOSTS) {
		curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
		curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	}
	curl_multi_add_handle(l->multi, c->easy);
	l->active++;
}

static int parse_bounds(const char *line, struct log_read *r)
{
	json_t *j = json_loads(line, JSON_DISABLE_EOF_CHECK, NULL);
	json_t *head = json_object_get(j, "head");
	int err = json_is_integer(head) ? 0 : -EBADMSG;

	r->head = (uint64_t)json_integer_value(head);
	r->first = (uint64_t)json_integer_value(json_object_get(j, "first"));
	json_decref(j);
	return err;
}

int log_read_parse(struct buf *body, struct log_read *r, struct arena *a)
{
	struct log_entry *e;
	char *p = body->data, *end;
	size_t lines = 0, i;

	memset(r, 0, sizeof(*r));
	if (!p)
		return -EBADMSG;
	for (i = 0; i < body->len; i++)
		lines += p[i] == '\n';
	end = strchr(p, '\n');
	if (!end || parse_bounds(p, r))
		return -EBADMSG;
	e = arena_alloc(a, lines * sizeof(*e));
	for (p = end + 1; (end = strchr(p, '\n')); p = end + 1) {
		char *space;

		e[r->count].offset = strtoull(p, &space, 10);
		if (space == p || *space != ' ')
			return -EBADMSG;
		e[r->count].body.data = space + 1;
		e[r->count].body.len = (size_t)(end - space - 1);
		r->count++;
	}
	r->entries = e;
	return 0;
}

static bool parse_offset(const struct buf *b, uint64_t *offset)
{
	json_t *j = json_loadb(b->data ? b->data : "", b->len, 0, NULL);
	json_t *v = json_object_get(j, "offset");
	bool found = json_is_integer(v);

	*offset = (uint64_t)json_integer_value(v);
	json_decref(j);
	return found;
}

static void finish_append(struct log_http *l, struct log_call *c, long status)
{
	uint64_t offset = 0;
	enum log_status st = status == 200   ? LOG_OK
			     : status == 503 ? LOG_REFUSED
					     : LOG_NO_REPLY;

	if (st == LOG_OK && !parse_offset(&c->reply, &offset))
		st = LOG_NO_REPLY;
	l->sink.append(l->sink.ctx, c->token, st, offset);
}

static void finish_read(struct log_http *l, struct log_call *c, long status)
{
	struct log_read r = {.status = LOG_NO_REPLY};
	struct arena a;

	arena_init(&a);
	if (status == 200 && log_read_parse(&c->reply, &r, &a)) {
		memset(&r, 0, sizeof(r));
		r.status = LOG_NO_REPLY;
	}
	if (status == 503 && c->reply.data && !parse_bounds(c->reply.data, &r))
		r.status = LOG_REFUSED;
	counter_add(COUNTER_READ_BYTES, c->reply.len);
	l->sink.read(l->sink.ctx, c->token, &r);
	arena_finish(&a);
}

static void finish_hosts(struct log_http *l, struct log_call *c, long status)
{
	json_t *j = status == 200
			    ? json_loadb(c->reply.data, c->reply.len, 0, NULL)
			    : NULL;
	size_t i, n = json_array_size(j), count = 0;
	struct listed_host *hosts = xcalloc(n, sizeof(*hosts));
	struct arena a;

	if (status == 304)
		l->sink.hosts_unchanged(l->sink.ctx);
	arena_init(&a);
	for (i = 0; i < n; i++) {
		if (shape_from_json(&host_shape, json_array_get(j, i),
				    &hosts[count], &a))
			continue;
		hosts[count].id = name_hash(hosts[count].name);
		count++;
	}
	if (j) {
		memcpy(l->hosts_etag, c->etag, NAME_SIZE);
		l->sink.hosts(l->sink.ctx, hosts, count);
	}
	arena_finish(&a);
	json_decref(j);
	free(hosts);
}

static void free_call(struct log_call *c)
{
	if (c->easy)
		curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	buf_finish(&c->body);
	buf_finish(&c->reply);
	free(c);
}

static void drop_call(struct log_http *l, struct log_call *c)
{
	unlink_in_flight(c);
	curl_multi_remove_handle(l->multi, c->easy);
	l->active--;
	free_call(c);
}

static void finish_call(struct log_http *l, struct log_call *c, CURLcode code)
{
	long status = 0;

	if (code == CURLE_OK)
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (c->kind == CALL_APPEND)
		finish_append(l, c, status);
	else if (c->kind == CALL_READ)
		finish_read(l, c, status);
	else
		finish_hosts(l, c, status);
	drop_call(l, c);
}

static void start_queued(struct log_http *l)
{
	struct log_call *c;

	lock_take(&l->lock);
	c = l->queue;
	l->queue = NULL;
	l->queue_tail = &l->queue;
	lock_give(&l->lock);
	while (c) {
		struct log_call *next = c->next;

		c->next = NULL;
		start_call(l, c);
		c = next;
	}
}

static void poll_hosts(struct log_http *l)
{
	char header[NAME_SIZE * 2];
	int64_t now = clock_mono_ms();
	struct log_call *c;
	char *zone;

	if (now < l->hosts_due_ms)
		return;
	l->hosts_due_ms = now + LOG_HTTP_HOSTS_POLL_MS;
	c = xcalloc(1, sizeof(*c));
	c->kind = CALL_HOSTS;
	zone = curl_easy_escape(NULL, strchr(l->client, '@') + 1, 0);
	snprintf(c->url, sizeof(c->url), "%s/v1/hosts?zone=%s", l->url, zone);
	curl_free(zone);
	if (l->hosts_etag[0]) {
		snprintf(header, sizeof(header), "If-None-Match: %s",
			 l->hosts_etag);
		c->headers = curl_slist_append(NULL, header);
	}
	start_call(l, c);
}

static void *log_main(void *arg)
{
	struct log_http *l = arg;
	int running, left;
	CURLMsg *msg;

	while (!__atomic_load_n(&l->stopping, __ATOMIC_ACQUIRE)) {
		start_queued(l);
		poll_hosts(l);
		curl_multi_perform(l->multi, &running);
		for (;;) {
			struct log_call *c;

			msg = curl_multi_info_read(l->multi, &left);
			if (!msg)
				break;
			if (msg->msg != CURLMSG_DONE)
				continue;
			curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
					  (char **)&c);
			finish_call(l, c, msg->data.result);
		}
		curl_multi_poll(l->multi, NULL, 0, CURL_POLL_MS, NULL);
	}
	return NULL;
}

int log_http_start(struct log_http *l, const char *url, const char *client,
		   const struct log_sink *sink)
{
	memset(l, 0, sizeof(*l));
	lock_init(&l->lock);
	l->queue_tail = &l->queue;
	l->sink = *sink;
	snprintf(l->url, sizeof(l->url), "%s", url);
	snprintf(l->client, sizeof(l->client), "%s", client);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	l->multi = curl_multi_init();
	l->headers = curl_slist_append(NULL, "Expect:");
	l->headers =
		curl_slist_append(l->headers, "Content-Type: application/json");
	return -pthread_create(&l->thread, NULL, log_main, l);
}

void log_http_stop(struct log_http *l)
{
	struct log_call *c;

	__atomic_store_n(&l->stopping, true, __ATOMIC_RELEASE);
	curl_multi_wakeup(l->multi);
	pthread_join(l->thread, NULL);
	while ((c = l->queue)) {
		l->queue = c->next;
		free_call(c);
	}
	while (l->in_flight)
		drop_call(l, l->in_flight);
	curl_multi_cleanup(l->multi);
	curl_slist_free_all(l->headers);
	curl_global_cleanup();
}
