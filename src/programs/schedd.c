#include "adapters/clock.h"
#include "adapters/node.h"
#include "core/sched.h"

#include <stdlib.h>

#define BODY_BYTES_MAX 4096
#define SECOND_MS 1000

static struct setting rows[] = {
	NODE_SETTINGS,
	{"append-budget", "appends/s", SETTING_NUMBER, 1, 100000, "200",
	 "average rate of log appends of all schedds together, of which each "
	 "uses its share",
	 false},
	{"append-burst", "appends", SETTING_NUMBER, 1, 1000, "8",
	 "log appends that may be sent at once after an idle period", false},
	{"key-keep", "s", SETTING_NUMBER, 60, 604800, "3600",
	 "how long the result of a request key is kept", false},
	{"refresh", "s", SETTING_NUMBER, 5, 604800, "900",
	 "age at which state is written to the log again; at most a third of "
	 "the retention of the log",
	 false},
};

struct schedd {
	struct node node;
	struct sched core;
};

static void on_tick(void *ctx, int64_t now_ms)
{
	sched_tick(&((struct schedd *)ctx)->core, now_ms);
}

static void on_message(void *ctx, int64_t now_ms, const struct msg *m)
{
	sched_on_msg(&((struct schedd *)ctx)->core, now_ms, m);
}

static void on_append(void *ctx, int64_t now_ms, uint64_t token,
		      enum log_status status, uint64_t offset)
{
	sched_on_append(&((struct schedd *)ctx)->core, now_ms, token, status,
			offset);
}

static void on_read(void *ctx, int64_t now_ms, uint64_t token,
		    const struct log_read *r)
{
	sched_on_read(&((struct schedd *)ctx)->core, now_ms, token, r);
}

static void on_hosts(void *ctx, int64_t now_ms, const struct listed_host *hosts,
		     size_t count)
{
	sched_on_hosts(&((struct schedd *)ctx)->core, now_ms, hosts, count);
}

static void on_hosts_unchanged(void *ctx, int64_t now_ms)
{
	sched_on_hosts_unchanged(&((struct schedd *)ctx)->core, now_ms);
}

static void on_drain(void *ctx, int64_t now_ms)
{
	sched_drain(&((struct schedd *)ctx)->core, now_ms);
}

static bool is_drained(void *ctx)
{
	return sched_is_drained(&((struct schedd *)ctx)->core);
}

static bool is_ready(void *ctx)
{
	return sched_is_ready(&((struct schedd *)ctx)->core);
}

static void on_status(void *ctx, struct buf *out)
{
	sched_write_status(&((struct schedd *)ctx)->core, out);
}

static bool on_http(void *ctx, int64_t now_ms, struct http_request *r)
{
	static const char prefix[] = "/v1/tasks/";
	struct schedd *d = ctx;
	struct buf b;

	(void)now_ms;
	if (strcmp(r->method, "GET") ||
	    strncmp(r->path, prefix, sizeof(prefix) - 1))
		return false;
	buf_init(&b);
	if (sched_write_job(&d->core,
			    strtoull(r->path + sizeof(prefix) - 1, NULL, 16),
			    &b))
		http_reply(r, 404, 0, "{\"error\":\"no such task here\"}\n",
			   30);
	else
		http_reply(r, 200, 0, b.data, b.len);
	buf_finish(&b);
	return true;
}

static const struct node_ops ops = {
	on_tick,  on_message,         on_append, on_read,
	on_hosts, on_hosts_unchanged, on_drain,  is_drained,
	is_ready, on_status,          on_http,
};

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-schedd",
		.about = "Owns job shards and racks; places tasks on workers "
			 "under leases.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = settings_parse(&s, argc, argv);
	struct sched_options o = {0};
	struct schedd *d;

	if (code >= 0) {
		settings_finish(&s);
		return code;
	}
	d = xcalloc(1, sizeof(*d));
	node_init(&d->node, &s);
	name_set(o.name, settings_text(&s, "name"));
	name_set(o.zone, settings_text(&s, "zone"));
	o.incarnation = d->node.incarnation;
	o.append_budget = (uint32_t)settings_number(&s, "append-budget");
	o.append_burst = (uint32_t)settings_number(&s, "append-burst");
	o.key_keep_ms = settings_number(&s, "key-keep") * SECOND_MS;
	o.refresh_ms = settings_number(&s, "refresh") * SECOND_MS;
	o.protections = PROTECT_ALL;
	sched_init(&d->core, &o, &d->node.ports, clock_mono_ms(),
		   clock_wall_ms());
	code = node_run(&d->node, &s, &ops, d, BODY_BYTES_MAX);
	sched_finish(&d->core);
	node_finish(&d->node);
	free(d);
	settings_finish(&s);
	return code;
}
