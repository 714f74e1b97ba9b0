#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/**
 * logger_setup() - choose level, format and the name on every line
 * @level: lowest level that is written
 * @json: JSON objects instead of logfmt
 * @process: name of this process
 */
void logger_setup(enum log_level level, int json, const char *process);

/**
 * logger_set_output() - where lines go; standard error unless this is called
 */
void logger_set_output(FILE *out);

/**
 * log_line() - write one structured line
 * @event: short constant text; repeats of it are limited in rate
 * @fmt: logfmt pairs, such as "shard=%s epoch=%llu"
 */
void log_line(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * log_level_parse() - level of a name
 *
 * Return: the level, or -EINVAL.
 */
int log_level_parse(const char *name);

#ifdef __cplusplus
}
#endif

#endif
