#include "programs/ctl.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>

#include "adapters/http_client.h"
#include "adapters/log_http.h"

#define READ_TIMEOUT_MS 10000
#define READ_ENTRIES_MAX 1000000

static struct setting rows[] = {
	{"platform", "URL", SETTING_TEXT, 0, 200, "",
	 "base URL of the platform's service", false},
	{"verify", "0 or 1", SETTING_NUMBER, 0, 1, "0",
	 "bill: recompute the bill records and compare", false},
};

struct command {
	const char *name;
	int (*run)(struct ctl *c);
	size_t arg_count;
	bool needs_platform;
	const char *help;
};

static const struct command commands[] = {
	{"check", ctl_check, 1, false,
	 "check DIR: report every mistake in the documents of a folder"},
	{"diff", ctl_diff, 1, true, "diff DIR: show what publish would change"},
	{"publish", ctl_publish, 1, true,
	 "publish DIR: put each document in force as the next version"},
	{"zone", ctl_zone, 2, true,
	 "zone out|return ZONE: take an availability zone out of service "
	 "or put it back"},
	{"status", ctl_status, 0, true,
	 "status: show every process, its state and configuration version"},
	{"explain", ctl_explain, 1, true,
	 "explain TASK: show where a task is and what it waits for"},
	{"bill", ctl_bill, 0, true,
	 "bill: show the usage of each owner, recomputed from the log"},
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

int ctl_read_stream(const struct ctl *c, const char *stream, struct buf *body,
		    struct log_read *r, struct arena *a)
{
	char url[512];
	size_t n;

	stream_url(c->platform, stream, url, sizeof(url));
	n = strlen(url);
	snprintf(url + n, sizeof(url) - n, "?from=0&max=%d", READ_ENTRIES_MAX);
	buf_clear(body);
	if (http_fetch("GET", url, NULL, READ_TIMEOUT_MS, body) != 200)
		return -EIO;
	return log_read_parse(body, r, a);
}

int ctl_load_config(const struct ctl *c, struct config *cfg)
{
	struct log_read r;
	struct arena a;
	struct buf b;
	int err;

	arena_init(&a);
	buf_init(&b);
	err = ctl_read_stream(c, CONFIG_STREAM, &b, &r, &a);
	if (!err)
		config_load(cfg, &r);
	buf_finish(&b);
	arena_finish(&a);
	return err;
}

static int usage(const char *message)
{
	size_t i;

	fprintf(stderr, "basilshift-ctl: %s\n", message);
	for (i = 0; i < COMMANDS; i++)
		fprintf(stderr, "  %s\n", commands[i].help);
	return EXIT_CODE_USAGE;
}

static int run(struct settings *s)
{
	struct ctl c = {.platform = settings_text(s, "platform"),
			.args = s->args + 1,
			.verify = settings_number(s, "verify") == 1};
	size_t i;

	if (!s->arg_count)
		return usage("no command given");
	c.arg_count = s->arg_count - 1;
	for (i = 0; i < COMMANDS; i++) {
		const struct command *cmd = &commands[i];

		if (strcmp(cmd->name, s->args[0]))
			continue;
		if (c.arg_count != cmd->arg_count)
			return usage(cmd->help);
		if (cmd->needs_platform && !c.platform[0])
			return usage("setting platform is not set");
		return cmd->run(&c);
	}
	return usage("unknown command");
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-ctl",
		.about = "check DIR | diff DIR | publish DIR | zone out|return "
			 "ZONE | status | explain TASK | bill",
		.usage = "COMMAND [ARGUMENT]",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = settings_parse(&s, argc, argv);

	if (code < 0) {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		code = run(&s);
		curl_global_cleanup();
	}
	settings_finish(&s);
	return code;
}
