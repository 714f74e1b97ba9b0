#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <stdbool.h>

#include "base/setting.h"

/* Common parts of the stand-in programs. */

/**
 * standin_init() - parse the settings and install signal handlers
 *
 * SIGTERM and SIGINT request a stop; SIGPIPE is ignored.
 *
 * Return: -1 to continue, or the exit code with which to exit.
 */
int standin_init(struct settings *s, int argc, char **argv);

/**
 * standin_is_stopping() - test whether a signal has requested a stop
 */
bool standin_is_stopping(void);

/**
 * standin_write_port() - write the port to a file, and replace it atomically
 * @path: empty to write no file
 *
 * Return: 0, or a negative error number.
 */
int standin_write_port(const char *path, uint16_t port);

#endif
