#include "base/heap.h"
#include "base/logger.h"
#include "base/setting.h"
#include "host/host.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

static struct setting rows[] = {
	{"log-level", "level", SETTING_TEXT, 1, 8, "info",
	 "lowest level that is logged: debug, info, warn, error", true},
	{"log-format", "format", SETTING_TEXT, 1, 8, "logfmt", "logfmt or json",
	 true},
	{"metrics-port", "port", SETTING_NUMBER, 0, 65535, "0",
	 "additional port on the host's address for GET /metrics, beside the "
	 "readiness port, and for POST /explain; 0 for none",
	 false},
	{"look-ahead", "0 or 1", SETTING_NUMBER, 0, 1, "1",
	 "placement considers learned running times and what waits; 0: it goes "
	 "by declared times and starts tasks wherever they fit",
	 false},
};

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-hostd",
		.about = "Entry host: accepts jobs from callers and schedules "
			 "the cell assigned to it. Addresses and bounds come "
			 "from the file that BASILSHIFT_BOOT names.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = settings_parse(&s, argc, argv), level, err;
	struct buf error;
	struct host *h;

	if (code >= 0) {
		settings_finish(&s);
		return code;
	}
	level = log_level_parse(settings_text(&s, "log-level"));
	if (level < 0) {
		fprintf(stderr,
			"%s: setting log-level: unknown level '%s', expected "
			"debug, info, warn or error\n",
			s.program, settings_text(&s, "log-level"));
		settings_finish(&s);
		return EXIT_CODE_USAGE;
	}
	heap_setup();
	h = xcalloc(1, sizeof(*h));
	buf_init(&error);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (host_settings_load(&h->settings, &error)) {
		fprintf(stderr, "%s: %s\n", s.program, error.data);
		code = EXIT_CODE_USAGE;
	} else {
		logger_setup((enum log_level)level,
			     !strcmp(settings_text(&s, "log-format"), "json"),
			     h->settings.name);
		logger_set_output(stdout);
		logger_start();
		h->metrics_port = (uint16_t)settings_number(&s, "metrics-port");
		h->look_ahead = settings_number(&s, "look-ahead") != 0;
		err = host_run(h);
		code = err ? EXIT_CODE_ENV : EXIT_CODE_OK;
	}
	curl_global_cleanup();
	buf_finish(&error);
	settings_finish(&s);
	free(h);
	return code;
}
