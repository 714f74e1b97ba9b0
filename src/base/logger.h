#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/**
 * logger_setup() - set the level, the format and the process name of all lines
 * @level: lowest level that is written
 * @json: non-zero for JSON objects, 0 for logfmt
 * @process: name of this process
 *
 * Takes no lock: call it before other threads log.
 */
void logger_setup(enum log_level level, int json, const char *process);

/**
 * logger_set_output() - set the stream for log lines; the default is stderr
 *
 * Takes no lock: call it before other threads log.
 */
void logger_set_output(FILE *out);

/**
 * logger_start() - let a thread write the lines to the stream's descriptor
 *
 * Until then, and if the thread cannot be started, log_line() writes and waits
 * for the reader of the descriptor. Afterwards it never waits: while the reader
 * stands still, lines are kept up to a limit and then dropped, errors and
 * warnings last; their number is logged once the reader is back. The lines of
 * the last 50 ms may be lost if the process is killed; at exit() they are
 * written.
 */
void logger_start(void);

/**
 * logger_stop() - write the lines that wait, and let log_line() write again
 *
 * Gives up after 200 ms if the reader stands still; nothing is logged then, and
 * a further logger_start() waits for the reader.
 */
void logger_stop(void);

/**
 * log_line() - write one structured log line; safe from any thread
 * @event: string constant that names the event; at most 20 lines per second and
 *         event are written, and events are told apart by this address
 * @fmt: logfmt pairs, such as "shard=%s epoch=%llu"; the formatted text is
 *       truncated to 1023 bytes
 */
void log_line(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * log_level_parse() - convert a level's name, such as "warn"
 *
 * Return: the level, or -EINVAL if the name is unknown.
 */
int log_level_parse(const char *name);

#ifdef __cplusplus
}
#endif

#endif
