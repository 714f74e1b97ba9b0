#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <stdbool.h>

#include "base/setting.h"

/* What the programs of the stand-ins share. */

/**
 * standin_init() - parse the settings, and stop on SIGTERM and SIGINT
 *
 * Return: -1 to go on, or the exit code to end with.
 */
int standin_init(struct settings *s, int argc, char **argv);

/**
 * standin_is_stopping() - whether a signal has asked for the end
 */
bool standin_is_stopping(void);

/**
 * standin_write_port() - tell the port in a file, which appears whole
 * @path: empty for no file
 *
 * Return: 0, or a negative error number.
 */
int standin_write_port(const char *path, uint16_t port);

#endif
