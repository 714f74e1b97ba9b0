#include "base/logger.h"

#include <errno.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/lock.h"
#include "base/str.h"

/* Lines of one event text within a window, before the rest is counted. */
#define REPEAT_LINES 20
#define REPEAT_WINDOW_S 1
#define REPEAT_SLOTS 64
#define LINE_BYTES 1024

static const char *const level_names[] = {"debug", "info", "warn", "error"};

struct repeat {
	const char *event;
	time_t window;
	unsigned int lines;
	unsigned int dropped;
};

static struct {
	struct lock lock; /* LOCK_LOGGER */
	enum log_level level;
	int json;
	char process[NAME_SIZE];
	FILE *out;
	struct repeat repeats[REPEAT_SLOTS];
} logger = {.level = LOG_INFO};

void logger_setup(enum log_level level, int json, const char *process)
{
	logger.level = level;
	logger.json = json;
	name_set(logger.process, process);
}

void logger_set_output(FILE *out)
{
	logger.out = out;
}

int log_level_parse(const char *name)
{
	int i;

	for (i = 0; i <= LOG_ERROR; i++)
		if (!strcmp(name, level_names[i]))
			return i;
	return -EINVAL;
}

static unsigned int repeat_check(const char *event, time_t now, int *drop)
{
	struct repeat *r = &logger.repeats[name_hash(event) % REPEAT_SLOTS];
	unsigned int dropped = 0;

	if (r->event != event || now - r->window >= REPEAT_WINDOW_S) {
		dropped = r->event == event ? r->dropped : 0;
		r->event = event;
		r->window = now;
		r->lines = 0;
		r->dropped = 0;
	}
	*drop = ++r->lines > REPEAT_LINES;
	r->dropped += (unsigned int)*drop;
	return dropped;
}

static void write_line(enum log_level level, const struct timespec *ts,
		       const char *event, const char *pairs,
		       unsigned int dropped)
{
	FILE *out = logger.out ? logger.out : stderr;

	if (logger.json) {
		json_t *j = json_pack("{s:f,s:s,s:s,s:s,s:s,s:i}", "ts",
				      (double)ts->tv_sec +
					      (double)ts->tv_nsec / 1e9,
				      "level", level_names[level], "process",
				      logger.process, "event", event, "detail",
				      pairs, "suppressed", (int)dropped);
		char *text = json_dumps(j, JSON_COMPACT);

		if (text)
			fprintf(out, "%s\n", text);
		free(text);
		json_decref(j);
		fflush(out);
		return;
	}
	fprintf(out, "ts=%lld.%03ld level=%s process=%s event=\"%s\" %s",
		(long long)ts->tv_sec, ts->tv_nsec / 1000000,
		level_names[level], logger.process, event, pairs);
	if (dropped)
		fprintf(out, " suppressed=%u", dropped);
	fputc('\n', out);
	fflush(out);
}

void log_line(enum log_level level, const char *event, const char *fmt, ...)
{
	char pairs[LINE_BYTES];
	unsigned int dropped;
	struct timespec ts;
	va_list ap;
	int drop;

	if (level < logger.level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	lock_take(&logger.lock);
	dropped = repeat_check(event, ts.tv_sec, &drop);
	if (!drop)
		write_line(level, &ts, event, pairs, dropped);
	lock_give(&logger.lock);
}
