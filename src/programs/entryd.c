#include "adapters/clock.h"
#include "adapters/node.h"
#include "base/counter.h"
#include "core/entry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define BODY_BYTES_MAX (ENTRY_PAYLOAD_MAX * 2)
#define DEADLINE_MAX_MS 604800000

static struct setting rows[] = {
	NODE_SETTINGS,
};

struct entryd {
	struct node node;
	struct entry core;
};

static void on_tick(void *ctx, int64_t now_ms)
{
	entry_tick(&((struct entryd *)ctx)->core, now_ms);
}

static void on_message(void *ctx, int64_t now_ms, const struct msg *m)
{
	entry_on_msg(&((struct entryd *)ctx)->core, now_ms, m);
}

static void on_append(void *ctx, int64_t now_ms, uint64_t token,
		      enum log_status status, uint64_t offset)
{
	(void)ctx;
	(void)now_ms;
	(void)token;
	(void)status;
	(void)offset;
}

static void on_read(void *ctx, int64_t now_ms, uint64_t token,
		    const struct log_read *r)
{
	entry_on_read(&((struct entryd *)ctx)->core, now_ms, token, r);
}

static void on_hosts(void *ctx, int64_t now_ms, const struct listed_host *hosts,
		     size_t count)
{
	entry_on_hosts(&((struct entryd *)ctx)->core, now_ms, hosts, count);
}

static void on_hosts_unchanged(void *ctx, int64_t now_ms)
{
	(void)ctx;
	(void)now_ms;
}

static void on_drain(void *ctx, int64_t now_ms)
{
	(void)now_ms;
	entry_drain(&((struct entryd *)ctx)->core);
}

static bool is_drained(void *ctx)
{
	return entry_is_drained(&((struct entryd *)ctx)->core);
}

static bool is_ready(void *ctx)
{
	return entry_is_ready(&((struct entryd *)ctx)->core);
}

static void on_status(void *ctx, struct buf *out)
{
	entry_write_status(&((struct entryd *)ctx)->core, out);
}

/* Responses to callers */

static int http_status(const struct entry_answer *a)
{
	if (a->verdict == VERDICT_NONE)
		return 202;
	return reason_table[a->reason].http;
}

static void reply_answer(struct http_request *r, const struct entry_answer *a)
{
	uint32_t retry_ms = reason_table[a->reason].retry_ms;
	char task[NAME_SIZE];
	json_t *j;
	char *text;

	snprintf(task, sizeof(task), "%016" PRIx64, a->job);
	j = json_pack("{s:s,s:s,s:s}", "task", task, "verdict",
		      verdict_name(a->verdict), "reason",
		      reason_table[a->reason].name);
	if (a->verdict == VERDICT_RAN)
		json_object_set_new(j, "result",
				    json_stringn(a->result.data ? a->result.data
								: "",
						 a->result.len));
	if (a->attempt)
		json_object_set_new(j, "attempt", json_integer(a->attempt));
	if (a->verdict == VERDICT_NOT_RUN)
		json_object_set_new(
			j, "scope",
			json_string(reason_table[a->reason].call_only ? "call"
								      : "key"));
	if (retry_ms)
		json_object_set_new(j, "retry_after_ms",
				    json_integer(retry_ms));
	text = json_dumps(j, JSON_COMPACT);
	http_reply(r, http_status(a), retry_ms, text, strlen(text));
	free(text);
	json_decref(j);
}

static void on_answer(void *ctx, const struct entry_answer *a)
{
	(void)ctx;
	reply_answer((struct http_request *)(uintptr_t)a->caller, a);
}

static void reply_error(struct http_request *r, enum reason reason,
			const char *detail)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:s}", "verdict", "not_run",
			      "scope", "call", "reason",
			      reason_table[reason].name, "detail", detail);
	char *text = json_dumps(j, JSON_COMPACT);

	counter_add(COUNTER_HTTP_BAD, 1);
	http_reply(r, reason_table[reason].http, 0, text, strlen(text));
	free(text);
	json_decref(j);
}

/* Requests of callers */

/* Returns NULL if the field is not a string of 1 to NAME_SIZE - 1 bytes. */
static const char *name_field(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s && *s && strlen(s) < NAME_SIZE ? s : NULL;
}

static void submit(struct entryd *d, int64_t now_ms, struct http_request *r,
		   const json_t *j)
{
	const json_t *deadline = json_object_get(j, "deadline_ms");
	const json_t *payload = json_object_get(j, "payload");
	const json_t *wait = json_object_get(j, "wait");
	struct entry_call c = {.action = ENTRY_SUBMIT, .wait = true};

	c.caller = (uintptr_t)r;
	c.service = name_field(j, "service");
	c.key = name_field(j, "key");
	if (!c.service || !c.key) {
		reply_error(r, REASON_BAD_REQUEST,
			    "service and key must be texts of 1 to 63 bytes");
		return;
	}
	if ((payload && !json_is_string(payload)) ||
	    (wait && !json_is_boolean(wait)) ||
	    (deadline &&
	     (!json_is_integer(deadline) || json_integer_value(deadline) < 1 ||
	      json_integer_value(deadline) > DEADLINE_MAX_MS))) {
		reply_error(r, REASON_BAD_REQUEST,
			    "payload must be a text, wait true or false, "
			    "deadline_ms a number from 1 to 604800000");
		return;
	}
	c.payload.data = json_string_value(payload);
	c.payload.len = json_string_length(payload);
	c.deadline_ms = json_integer_value(deadline);
	if (wait)
		c.wait = json_is_true(wait);
	entry_handle_call(&d->core, now_ms, &c);
}

static bool on_submit(struct entryd *d, int64_t now_ms, struct http_request *r)
{
	json_error_t e;
	json_t *j;

	if (r->too_large) {
		reply_error(r, REASON_TOO_LARGE, "the content passes the cap");
		return true;
	}
	j = json_loadb(r->body.data ? r->body.data : "", r->body.len,
		       JSON_REJECT_DUPLICATES, &e);
	if (json_is_object(j))
		submit(d, now_ms, r, j);
	else
		reply_error(r, REASON_BAD_REQUEST,
			    j ? "must be a JSON object" : e.text);
	json_decref(j);
	return true;
}

/* Handles GET and DELETE of /v1/requests/SERVICE/KEY. */
static bool on_keyed_request(struct entryd *d, int64_t now_ms,
			     struct http_request *r, const char *rest)
{
	struct entry_call c = {.wait = true, .deadline_ms = 5000};
	char service[NAME_SIZE], key[NAME_SIZE];
	const char *slash = strchr(rest, '/');

	if (!strcmp(r->method, "GET"))
		c.action = ENTRY_STATE;
	else if (!strcmp(r->method, "DELETE"))
		c.action = ENTRY_CANCEL;
	else
		return false;
	if (!slash || slash - rest >= NAME_SIZE || name_set(key, slash + 1)) {
		reply_error(r, REASON_BAD_REQUEST,
			    "the path must end in SERVICE/KEY");
		return true;
	}
	memcpy(service, rest, (size_t)(slash - rest));
	service[slash - rest] = '\0';
	c.caller = (uintptr_t)r;
	c.service = service;
	c.key = key;
	entry_handle_call(&d->core, now_ms, &c);
	return true;
}

static bool on_http(void *ctx, int64_t now_ms, struct http_request *r)
{
	static const char prefix[] = "/v1/requests";
	struct entryd *d = ctx;
	const char *rest = r->path + sizeof(prefix) - 1;

	if (strncmp(r->path, prefix, sizeof(prefix) - 1))
		return false;
	if (!*rest && !strcmp(r->method, "POST"))
		return on_submit(d, now_ms, r);
	if (*rest == '/')
		return on_keyed_request(d, now_ms, r, rest + 1);
	return false;
}

static const struct node_ops ops = {
	on_tick,  on_message,         on_append, on_read,
	on_hosts, on_hosts_unchanged, on_drain,  is_drained,
	is_ready, on_status,          on_http,
};

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-entryd",
		.about = "Entry host: accepts requests from callers over HTTP "
			 "and responds to each with its result.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = settings_parse(&s, argc, argv);
	struct entry_sink sink = {on_answer, NULL};
	struct entryd *d;

	if (code >= 0) {
		settings_finish(&s);
		return code;
	}
	d = xcalloc(1, sizeof(*d));
	node_init(&d->node, &s);
	entry_init(&d->core, settings_text(&s, "name"),
		   settings_text(&s, "zone"), d->node.incarnation,
		   &d->node.ports, &sink, clock_mono_ms());
	code = node_run(&d->node, &s, &ops, d, BODY_BYTES_MAX);
	entry_finish(&d->core);
	node_finish(&d->node);
	free(d);
	settings_finish(&s);
	return code;
}
