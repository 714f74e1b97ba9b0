#include "base/setting.h"

#include <argtable2.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/build_info.h"

#define VERSION_TEXT "0.1.0"

/* Maximum number of rows in a program's table. */
#define SETTINGS_MAX 40

/* Writes the name of a setting's environment variable to @out. */
static void env_name(const char *name, char *out, size_t size)
{
	size_t i, n;

	snprintf(out, size, "BASILSHIFT_%s", name);
	n = strlen(out);
	for (i = 0; i < n; i++)
		out[i] = out[i] == '-' ? '_'
				       : (char)toupper((unsigned char)out[i]);
}

static struct setting *setting_find(const struct settings *s, const char *name)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (!strcmp(s->rows[i].name, name))
			return &s->rows[i];
	abort();
}

const char *settings_text(const struct settings *s, const char *name)
{
	return setting_find(s, name)->value;
}

int64_t settings_number(const struct settings *s, const char *name)
{
	return strtoll(setting_find(s, name)->value, NULL, 10);
}

/* Returns -1 if the value is valid, or the exit code. */
static int setting_check(const struct settings *s, const struct setting *r)
{
	char *end;
	int64_t v;

	if (r->type == SETTING_TEXT) {
		size_t n = strlen(r->value);

		if ((r->required && !n) || (int64_t)n > r->max) {
			fprintf(stderr,
				"%s: setting %s: invalid value '%s': expected "
				"%d to %" PRId64 " bytes\n",
				s->program, r->name, r->value, r->required,
				r->max);
			return EXIT_CODE_USAGE;
		}
		return -1;
	}
	errno = 0;
	v = strtoll(r->value, &end, 10);
	if (errno || end == r->value || *end || v < r->min || v > r->max) {
		fprintf(stderr,
			"%s: setting %s: invalid value '%s': expected %" PRId64
			" to %" PRId64 " %s\n",
			s->program, r->name, r->value, r->min, r->max, r->unit);
		return EXIT_CODE_USAGE;
	}
	return -1;
}

static void print_help(const struct settings *s)
{
	char env[NAME_SIZE * 2];
	size_t i;

	printf("usage: %s [flags]%s%s\n\n%s\n\n", s->program,
	       s->usage ? " " : "", s->usage ? s->usage : "", s->about);
	for (i = 0; i < s->count; i++) {
		const struct setting *r = &s->rows[i];

		env_name(r->name, env, sizeof(env));
		printf("  --%s=<%s>\n      %s\n      default '%s'", r->name,
		       r->unit, r->help, r->value);
		if (r->type == SETTING_NUMBER)
			printf(", %" PRId64 " to %" PRId64, r->min, r->max);
		printf("; variable %s\n", env);
	}
	printf("  --help\n  --version\n  --write-docs\n\nexit codes: "
	       "0 success, 1 refused or failed, 2 invalid flag or setting, "
	       "3 platform or peer unreachable\n");
}

/*
 * Sets each value from its flag or environment variable and checks it. Returns
 * -1, or the exit code at the first invalid value.
 */
static int settings_apply(struct settings *s, struct arg_str **flags)
{
	char env[NAME_SIZE * 2];
	size_t i;

	for (i = 0; i < s->count; i++) {
		struct setting *r = &s->rows[i];
		const char *v;
		int code;

		env_name(r->name, env, sizeof(env));
		v = flags[i] && flags[i]->count ? flags[i]->sval[0]
						: getenv(env);
		if (v)
			r->value = arena_str(&s->memory, v, strlen(v)).data;
		code = setting_check(s, r);
		if (code >= 0)
			return code;
	}
	return -1;
}

static void print_docs(const struct settings *s)
{
	struct buf b;

	buf_init(&b);
	settings_write_docs(s, &b);
	fputs(b.data, stdout);
	buf_finish(&b);
}

int settings_parse(struct settings *s, int argc, char **argv)
{
	struct arg_str *flags[SETTINGS_MAX] = {NULL};
	void *table[SETTINGS_MAX + 5];
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_lit *docs =
		arg_lit0(NULL, "write-docs", "write the settings as Markdown");
	struct arg_str *args = arg_strn(NULL, NULL, "<arg>", 0,
					SETTINGS_POSITIONAL_MAX, "arguments");
	struct arg_end *end = arg_end(8);
	int errors, code = -1, i;
	size_t n;

	arena_init(&s->memory);
	for (n = 0; n < s->count; n++) {
		flags[n] = arg_str0(NULL, s->rows[n].name, s->rows[n].unit,
				    s->rows[n].help);
		table[n] = flags[n];
	}
	table[n++] = help;
	table[n++] = version;
	table[n++] = docs;
	table[n++] = args;
	table[n++] = end;
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(s);
		code = EXIT_CODE_OK;
	} else if (version->count) {
		printf("%s %s (build %s, sources %s)\n", s->program,
		       VERSION_TEXT, build_info.commit, build_info.sources);
		code = EXIT_CODE_OK;
	} else if (docs->count) {
		print_docs(s);
		code = EXIT_CODE_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, s->program);
		code = EXIT_CODE_USAGE;
	} else {
		code = settings_apply(s, flags);
		s->arg_count = (size_t)args->count;
		for (i = 0; i < args->count; i++)
			s->args[i] = arena_str(&s->memory, args->sval[i],
					       strlen(args->sval[i]))
					     .data;
	}
	arg_freetable(table, n);
	return code;
}

void settings_finish(struct settings *s)
{
	arena_finish(&s->memory);
}

void settings_write_docs(const struct settings *s, struct buf *out)
{
	char env[NAME_SIZE * 2];
	size_t i;

	buf_addf(out, "## %s\n\n%s\n\n", s->program, s->about);
	buf_adds(out, "| flag | variable | unit | default | range | meaning "
		      "|\n|---|---|---|---|---|---|\n");
	for (i = 0; i < s->count; i++) {
		const struct setting *r = &s->rows[i];

		env_name(r->name, env, sizeof(env));
		buf_addf(out, "| `--%s` | `%s` | %s | %s | ", r->name, env,
			 r->unit, r->value[0] ? r->value : "(none)");
		if (r->type == SETTING_NUMBER)
			buf_addf(out, "%" PRId64 " to %" PRId64, r->min,
				 r->max);
		else
			buf_addf(out, "at most %" PRId64 " bytes", r->max);
		buf_addf(out, " | %s |\n", r->help);
	}
	buf_adds(out, "\n");
}
