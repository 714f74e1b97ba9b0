#ifndef BASE_SETTING_H
#define BASE_SETTING_H

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum setting_type { SETTING_TEXT, SETTING_NUMBER };

/**
 * struct setting - one row in a program's table of settings
 * @name: long flag without dashes; the environment variable is
 *        BASILSHIFT_ and the name in capitals
 * @unit: unit of the value, or "name", "address", ...
 * @type: text or integer
 * @min: minimum of a number; not used for a text
 * @max: maximum of a number, or maximum length of a text in bytes
 * @value: default, as text; settings_parse() replaces it
 * @help: description, one line
 * @required: an empty text is rejected
 */
struct setting {
	const char *name;
	const char *unit;
	enum setting_type type;
	int64_t min;
	int64_t max;
	const char *value;
	const char *help;
	bool required;
};

/* Exit codes of all programs. */
enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_FAILED = 1, /* the operation was refused or failed */
	EXIT_CODE_USAGE = 2,  /* a flag, setting or argument is invalid */
	EXIT_CODE_ENV = 3,    /* the platform or a peer is unreachable */
};

/* Maximum number of positional arguments. */
#define SETTINGS_POSITIONAL_MAX 8

/**
 * struct settings - settings and arguments of a program
 * @program: name in error messages
 * @about: description for --help, one line
 * @usage: names of the positional arguments for --help, or NULL
 * @rows: table of settings; after parsing, values that were set point into
 *        @memory
 * @count: number of rows
 * @args: positional arguments; they point into @memory
 * @arg_count: number of positional arguments
 * @memory: arena, valid until settings_finish()
 */
struct settings {
	const char *program;
	const char *about;
	const char *usage;
	struct setting *rows;
	size_t count;
	const char *args[SETTINGS_POSITIONAL_MAX];
	size_t arg_count;
	struct arena memory;
};

/**
 * settings_parse() - read flags and environment variables
 *
 * Flags override environment variables, which override defaults. Handles
 * --help, --version and --write-docs, and prints errors to stderr.
 *
 * Return: -1 if the program should continue, or the exit code to end with.
 * settings_finish() must be called in either case.
 */
int settings_parse(struct settings *s, int argc, char **argv);
void settings_finish(struct settings *s);

/**
 * settings_text() - get the value of a setting; aborts if @name is not in the
 * table
 */
const char *settings_text(const struct settings *s, const char *name);

/**
 * settings_number() - get the value of a setting as a number; aborts if @name
 * is not in the table
 */
int64_t settings_number(const struct settings *s, const char *name);

/**
 * settings_write_docs() - append the table of settings as Markdown
 */
void settings_write_docs(const struct settings *s, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
