#include "base/logger.h"

#include <errno.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/buf.h"
#include "base/lock.h"
#include "base/log_queue.h"
#include "base/str.h"

/*
 * Rate limit per event text: at most RATE_LIMIT_LINES lines are written within
 * a window. The others are counted, and the first line of the next window
 * reports their number as suppressed=.
 */
#define RATE_LIMIT_LINES 20
#define RATE_LIMIT_WINDOW_S 1
#define RATE_LIMIT_SLOTS 64
#define LINE_BYTES 1024

static const char *const level_names[] = {"debug", "info", "warn", "error"};

/*
 * Events whose hashes collide share a slot; each then resets the other's
 * window, and the number of suppressed lines is lost.
 */
struct rate_limit {
	const char *event;
	time_t window_start_s;
	unsigned int lines;
	unsigned int suppressed;
};

static struct {
	struct lock lock; /* LOCK_LOGGER */
	enum log_level level;
	int json;
	char process[NAME_SIZE];
	FILE *out;
	bool has_queue;
	bool is_closed; /* the descriptor takes no more lines */
	struct log_queue queue;
	struct rate_limit rate_limits[RATE_LIMIT_SLOTS];
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

/*
 * Counts a line of @event and sets *@suppress if it is over the limit. Returns
 * the number of lines suppressed in the window that just ended, or 0. The
 * caller holds the logger's lock.
 */
static unsigned int rate_limit_check(const char *event, time_t now,
				     int *suppress)
{
	struct rate_limit *r =
		&logger.rate_limits[name_hash(event) % RATE_LIMIT_SLOTS];
	unsigned int suppressed = 0;

	if (r->event != event ||
	    now - r->window_start_s >= RATE_LIMIT_WINDOW_S) {
		suppressed = r->event == event ? r->suppressed : 0;
		r->event = event;
		r->window_start_s = now;
		r->lines = 0;
		r->suppressed = 0;
	}
	*suppress = ++r->lines > RATE_LIMIT_LINES;
	r->suppressed += (unsigned int)*suppress;
	return suppressed;
}

static void format_line(enum log_level level, const struct timespec *ts,
			const char *event, const char *pairs,
			unsigned int suppressed, struct buf *line)
{
	if (logger.json) {
		json_t *j = json_pack("{s:f,s:s,s:s,s:s,s:s,s:i}", "ts",
				      (double)ts->tv_sec +
					      (double)ts->tv_nsec / 1e9,
				      "level", level_names[level], "process",
				      logger.process, "event", event, "detail",
				      pairs, "suppressed", (int)suppressed);
		char *text = json_dumps(j, JSON_COMPACT);

		if (text)
			buf_addf(line, "%s\n", text);
		free(text);
		json_decref(j);
		return;
	}
	buf_addf(line, "ts=%lld.%03ld level=%s process=%s event=\"%s\" %s",
		 (long long)ts->tv_sec, ts->tv_nsec / 1000000,
		 level_names[level], logger.process, event, pairs);
	if (suppressed)
		buf_addf(line, " suppressed=%u", suppressed);
	buf_adds(line, "\n");
}

static void output_line(enum log_level level, struct str line)
{
	FILE *out = logger.out ? logger.out : stderr;

	if (logger.has_queue) {
		log_queue_add(&logger.queue, line, level >= LOG_WARN);
		return;
	}
	if (logger.is_closed)
		return;
	fwrite(line.data, 1, line.len, out);
	fflush(out);
}

static void write_line(enum log_level level, const struct timespec *ts,
		       const char *event, const char *pairs,
		       unsigned int suppressed)
{
	struct buf b;
	struct str line;

	buf_init(&b);
	format_line(level, ts, event, pairs, suppressed, &b);
	line.data = b.data;
	line.len = b.len;
	output_line(level, line);
	buf_finish(&b);
}

static void report_dropped(const struct timespec *ts)
{
	unsigned int dropped =
		logger.has_queue ? log_queue_take_dropped(&logger.queue) : 0;
	char pairs[LINE_BYTES];

	if (!dropped)
		return;
	snprintf(pairs, sizeof(pairs), "lines=%u", dropped);
	write_line(LOG_WARN, ts, "log lines dropped: reader too slow", pairs,
		   0);
}

void logger_start(void)
{
	FILE *out = logger.out ? logger.out : stderr;
	int err;

	fflush(out);
	if (logger.is_closed)
		log_queue_wait(&logger.queue);
	err = log_queue_start(&logger.queue, fileno(out));
	if (err) {
		log_line(LOG_ERROR, "cannot start the thread of the logger",
			 "error=%d", err);
		return;
	}
	logger.is_closed = false;
	logger.has_queue = true;
	atexit(logger_stop);
}

void logger_stop(void)
{
	bool has_queue;

	lock_take(&logger.lock);
	has_queue = logger.has_queue;
	logger.has_queue = false;
	logger.is_closed |= has_queue;
	lock_give(&logger.lock);
	if (has_queue && log_queue_finish(&logger.queue)) {
		lock_take(&logger.lock);
		logger.is_closed = false;
		lock_give(&logger.lock);
	}
}

void log_line(enum log_level level, const char *event, const char *fmt, ...)
{
	char pairs[LINE_BYTES];
	unsigned int suppressed;
	struct timespec ts;
	va_list ap;
	int suppress;

	if (level < logger.level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	lock_take(&logger.lock);
	report_dropped(&ts);
	suppressed = rate_limit_check(event, ts.tv_sec, &suppress);
	if (!suppress)
		write_line(level, &ts, event, pairs, suppressed);
	lock_give(&logger.lock);
}
