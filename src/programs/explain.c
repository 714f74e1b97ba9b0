#include "adapters/http_client.h"
#include "base/setting.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define READ_SIZE 65536
/* Largest job that a host takes without a configuration that says less. */
#define JOB_BYTES_MAX (1024 * 1024)
#define STANDARD_INPUT "-"

static struct setting rows[] = {
	{"metrics", "address", SETTING_TEXT, 0, 60, "",
	 "IP address and metrics port of the host that owns the cell", true},
	{"queue-host", "name", SETTING_TEXT, 0, 120, "",
	 "Host header that the queue's callers send", true},
	{"path", "path", SETTING_TEXT, 0, 250, "",
	 "path that callers post the job to, with or without its ID", true},
	{"account", "name", SETTING_TEXT, 0, 60, "",
	 "client account that submits the job", false},
	{"timeout", "ms", SETTING_NUMBER, 100, 60000, "5000",
	 "time that the host has to answer", false},
};

static int read_job(const char *path, struct buf *out)
{
	bool is_file = strcmp(path, STANDARD_INPUT) != 0;
	FILE *f = is_file ? fopen(path, "re") : stdin;
	char part[READ_SIZE];
	int err = 0;
	size_t n;

	if (!f)
		return -errno;
	while (out->len <= JOB_BYTES_MAX &&
	       (n = fread(part, 1, sizeof(part), f)) > 0)
		buf_add(out, part, n);
	if (ferror(f))
		err = -EIO;
	else if (out->len > JOB_BYTES_MAX)
		err = -EFBIG;
	if (is_file)
		fclose(f);
	return err;
}

static void add_argument(struct buf *url, const char *name, const char *value)
{
	char *text = curl_easy_escape(NULL, value, 0);

	buf_addf(url, "%s=%s&", name, text ? text : "");
	curl_free(text);
}

static int explain(const struct settings *s, const struct buf *job)
{
	struct buf url, reply;
	long status;

	buf_init(&url);
	buf_init(&reply);
	buf_addf(&url, "http://%s/explain?", settings_text(s, "metrics"));
	add_argument(&url, "host", settings_text(s, "queue-host"));
	add_argument(&url, "path", settings_text(s, "path"));
	add_argument(&url, "account", settings_text(s, "account"));
	status = http_fetch("POST", url.data, job->len ? job->data : "",
			    settings_number(s, "timeout"), &reply);
	if (status < 0)
		fprintf(stderr, "%s: no answer from %s\n", s->program,
			settings_text(s, "metrics"));
	else if (status != 200)
		fprintf(stderr, "%s: status %ld: %s", s->program, status,
			reply.len ? reply.data : "\n");
	else
		fwrite(reply.data, 1, reply.len, stdout);
	buf_finish(&url);
	buf_finish(&reply);
	if (status < 0)
		return EXIT_CODE_ENV;
	return status == 200 ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

static int run(const struct settings *s)
{
	const char *path = s->arg_count ? s->args[0] : STANDARD_INPUT;
	struct buf job;
	int err, code;

	if (s->arg_count > 1) {
		fprintf(stderr, "%s: expected one file at most\n", s->program);
		return EXIT_CODE_USAGE;
	}
	buf_init(&job);
	err = read_job(path, &job);
	if (err) {
		fprintf(stderr, "%s: cannot read job from %s: %s\n", s->program,
			path, strerror(-err));
		code = EXIT_CODE_USAGE;
	} else {
		code = explain(s, &job);
	}
	buf_finish(&job);
	return code;
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-explain",
		.about = "Asks the owner of the cell where a job would be "
			 "placed now, and why, without submitting it. The job "
			 "is read from a file, or from standard input.",
		.usage = "[FILE]",
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
