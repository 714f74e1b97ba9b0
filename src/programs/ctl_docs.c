#include "programs/ctl.h"

#include <dirent.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/http_client.h"

#define FILES_MAX 2048
#define FILE_BYTES_MAX (256 * 1024)
#define APPEND_TIMEOUT_MS 5000

/**
 * struct folder - the documents of a folder, in the order of their file names
 * @docs: documents without mistakes
 * @names: file name of each of @docs
 * @json: contents of every readable file, also of files with mistakes; NULL if
 *        a file is not valid JSON
 * @files: file name of each of @json
 */
struct folder {
	struct document docs[FILES_MAX];
	char names[FILES_MAX][256];
	size_t count;
	int mistakes;
	json_t *json[FILES_MAX];
	char files[FILES_MAX][256];
	size_t file_count;
};

struct mistake_ctx {
	const char *file;
	int *count;
};

static void report_mistake(void *ctx, const char *path, const char *reason)
{
	struct mistake_ctx *m = ctx;

	(*m->count)++;
	printf("%s: %s: %s\n", m->file, path, reason);
}

static int read_file(const char *path, struct buf *out)
{
	char data[4096];
	FILE *f = fopen(path, "r");
	size_t n;

	if (!f)
		return -errno;
	while ((n = fread(data, 1, sizeof(data), f)) > 0 &&
	       out->len < FILE_BYTES_MAX)
		buf_add(out, data, n);
	fclose(f);
	return 0;
}

/*
 * Parses a document as one line of JSON, the form in which the log stores it.
 * Text that is not valid JSON is parsed as it is, which reports the mistake.
 */
static int parse_compact(struct document *d, struct str text,
			 const struct validation_sink *sink)
{
	json_t *j =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	char *line = j ? json_dumps(j, JSON_COMPACT) : NULL;
	int err = document_parse(d, line ? str_of(line) : text, sink);

	free(line);
	json_decref(j);
	return err;
}

static void read_document(struct folder *f, const char *dir, const char *name)
{
	struct mistake_ctx m = {name, &f->mistakes};
	struct validation_sink sink = {report_mistake, &m};
	char path[1024];
	struct buf b;
	struct str text;

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	buf_init(&b);
	if (read_file(path, &b)) {
		report_mistake(&m, "-", "cannot be read");
	} else {
		text.data = b.data;
		text.len = b.len;
		f->json[f->file_count] =
			json_loadb(b.data ? b.data : "", b.len, 0, NULL);
		snprintf(f->files[f->file_count++], sizeof(f->files[0]), "%s",
			 name);
		if (!parse_compact(&f->docs[f->count], text, &sink)) {
			snprintf(f->names[f->count], sizeof(f->names[0]), "%s",
				 name);
			f->count++;
		}
	}
	buf_finish(&b);
}

static int is_json_file(const struct dirent *e)
{
	const char *dot = strrchr(e->d_name, '.');

	return dot && !strcmp(dot, ".json");
}

static const char *text_at(const json_t *j, const char *key)
{
	const char *t = json_string_value(json_object_get(j, key));

	return t ? t : "";
}

static const json_t *find_document(const struct folder *f, const char *kind,
				   const char *name)
{
	size_t i;

	for (i = 0; i < f->file_count; i++)
		if (!strcmp(text_at(f->json[i], "kind"), kind) &&
		    !strcmp(text_at(f->json[i], "name"), name))
			return f->json[i];
	return NULL;
}

/**
 * struct reference - a field of a document that names other documents
 * @kind: kind of the documents that have the field
 * @key: the field, a name or an array of names
 * @target: kind of the documents named
 */
struct reference {
	const char *kind;
	const char *key;
	const char *target;
};

static const struct reference references[] = {
	{"service", "team", "team"},
	{"service", "zones", "zone"},
	{"service", "may_displace", "service"},
	{"zone", "region", "region"},
	{"region", "zones", "zone"},
};

static void check_target(struct folder *f, size_t i, const char *path,
			 const char *target, const char *name)
{
	if (!name || !*name || find_document(f, target, name))
		return;
	f->mistakes++;
	printf("%s: %s: names %s '%s', which has no document\n", f->files[i],
	       path, target, name);
}

static void check_reference(struct folder *f, size_t i,
			    const struct reference *r)
{
	const json_t *v = json_object_get(f->json[i], r->key);
	char path[64];
	size_t k;

	check_target(f, i, r->key, r->target, json_string_value(v));
	for (k = 0; k < json_array_size(v); k++) {
		snprintf(path, sizeof(path), "%s[%zu]", r->key, k);
		check_target(f, i, path, r->target,
			     json_string_value(json_array_get(v, k)));
	}
}

/* A job shard places tasks only in its region, so the zones must share one. */
static void check_region(struct folder *f, size_t i)
{
	const json_t *zones = json_object_get(f->json[i], "zones");
	const char *first = NULL;
	size_t k;

	for (k = 0; k < json_array_size(zones); k++) {
		const char *name = json_string_value(json_array_get(zones, k));
		const json_t *z = name ? find_document(f, "zone", name) : NULL;

		if (!z)
			continue;
		if (!first)
			first = text_at(z, "region");
		if (!strcmp(first, text_at(z, "region")))
			continue;
		f->mistakes++;
		printf("%s: zones[%zu]: is in region '%s', the first zone is "
		       "in '%s'\n",
		       f->files[i], k, text_at(z, "region"), first);
	}
}

static void check_references(struct folder *f, size_t i)
{
	const char *kind = text_at(f->json[i], "kind");
	size_t k;

	for (k = 0; k < sizeof(references) / sizeof(references[0]); k++)
		if (!strcmp(references[k].kind, kind))
			check_reference(f, i, &references[k]);
	if (!strcmp(kind, "service"))
		check_region(f, i);
}

static void check_duplicates(struct folder *f)
{
	size_t i, k;

	for (i = 0; i < f->count; i++)
		for (k = 0; k < i; k++) {
			if (f->docs[i].id != f->docs[k].id)
				continue;
			f->mistakes++;
			printf("%s: name: already defined in %s\n", f->names[i],
			       f->names[k]);
		}
}

static struct folder *read_folder(const char *dir)
{
	struct folder *f = xcalloc(1, sizeof(*f));
	struct dirent **list = NULL;
	int n = scandir(dir, &list, is_json_file, alphasort), i;
	size_t k;

	if (n < 0) {
		printf("%s: -: cannot be read\n", dir);
		f->mistakes++;
		return f;
	}
	if (!n) {
		printf("%s: -: contains no .json files\n", dir);
		f->mistakes++;
	}
	for (i = 0; i < n; i++) {
		if (f->count < FILES_MAX)
			read_document(f, dir, list[i]->d_name);
		free(list[i]);
	}
	free(list);
	check_duplicates(f);
	for (k = 0; k < f->file_count; k++)
		check_references(f, k);
	return f;
}

static void free_folder(struct folder *f)
{
	size_t i;

	for (i = 0; i < f->count; i++)
		document_finish(&f->docs[i]);
	for (i = 0; i < f->file_count; i++)
		json_decref(f->json[i]);
	free(f);
}

int ctl_check(struct ctl *c)
{
	struct folder *f = read_folder(c->args[0]);
	int code = f->mistakes ? EXIT_CODE_FAILED : EXIT_CODE_OK;

	printf("%zu documents, %d mistakes\n", f->count, f->mistakes);
	free_folder(f);
	return code;
}

static bool is_same_document(const struct document *a, const struct document *b)
{
	return a && str_eq(a->text, b->text);
}

static int append_document(const struct ctl *c, const struct document *d)
{
	char url[512];
	struct buf b;
	long status;

	snprintf(url, sizeof(url), "%s/v1/streams/%s", c->platform,
		 CONFIG_STREAM);
	buf_init(&b);
	status = http_fetch("POST", url, d->text.data, APPEND_TIMEOUT_MS, &b);
	buf_finish(&b);
	return status == 200 ? 0 : -EIO;
}

/*
 * Publishes a document by compare and set: of concurrent publications of a
 * version, the first one in the log takes effect. The documents in force are
 * read back afterwards, which also gives the result if the response to the
 * append was lost.
 */
static int publish_document(const struct ctl *c, const struct config *before,
			    const struct document *d)
{
	const struct document *old = config_get(before, d->kind, d->name);
	uint64_t version = old ? old->version : 0;
	struct config after;
	int err, code = EXIT_CODE_OK;

	if (is_same_document(old, d))
		return EXIT_CODE_OK;
	if (d->version != version + 1) {
		printf("%s %s: version %" PRIu64
		       " does not follow version %" PRIu64 " in force\n",
		       document_kind_name(d->kind), d->name, d->version,
		       version);
		return EXIT_CODE_FAILED;
	}
	err = append_document(c, d);
	config_init(&after);
	if (ctl_load_config(c, &after)) {
		printf("%s %s: the log does not answer; unknown whether "
		       "version %" PRIu64 " is in force\n",
		       document_kind_name(d->kind), d->name, d->version);
		code = EXIT_CODE_ENV;
	} else if (is_same_document(config_get(&after, d->kind, d->name), d)) {
		printf("%s %s: version %" PRIu64 " in force%s\n",
		       document_kind_name(d->kind), d->name, d->version,
		       err ? " (response to the append lost)" : "");
	} else {
		printf("%s %s: version %" PRIu64
		       " not in force: another publication came first\n",
		       document_kind_name(d->kind), d->name, d->version);
		code = EXIT_CODE_FAILED;
	}
	config_finish(&after);
	return code;
}

int ctl_publish(struct ctl *c)
{
	struct folder *f = read_folder(c->args[0]);
	int code = EXIT_CODE_OK, doc_code;
	struct config cfg;
	size_t i;

	config_init(&cfg);
	if (f->mistakes) {
		code = EXIT_CODE_FAILED;
	} else if (ctl_load_config(c, &cfg)) {
		printf("the platform's log does not answer\n");
		code = EXIT_CODE_ENV;
	} else {
		for (i = 0; i < f->count; i++) {
			doc_code = publish_document(c, &cfg, &f->docs[i]);
			code = doc_code > code ? doc_code : code;
		}
	}
	config_finish(&cfg);
	free_folder(f);
	return code;
}

int ctl_diff(struct ctl *c)
{
	struct folder *f = read_folder(c->args[0]);
	int code = f->mistakes ? EXIT_CODE_FAILED : EXIT_CODE_OK;
	struct config cfg;
	size_t i;

	config_init(&cfg);
	if (ctl_load_config(c, &cfg)) {
		printf("the platform's log does not answer\n");
		code = EXIT_CODE_ENV;
	}
	for (i = 0; code == EXIT_CODE_OK && i < f->count; i++) {
		const struct document *d = &f->docs[i];
		const struct document *old = config_get(&cfg, d->kind, d->name);

		if (is_same_document(old, d))
			continue;
		printf("%s %s: version %" PRIu64 " in force, %" PRIu64
		       " in the folder\n",
		       document_kind_name(d->kind), d->name,
		       old ? old->version : 0, d->version);
	}
	config_finish(&cfg);
	free_folder(f);
	return code;
}

static int publish_zone_state(const struct ctl *c, const struct config *cfg,
			      const struct document *old, const char *state)
{
	json_t *j = json_loadb(old->text.data, old->text.len, 0, NULL);
	struct document d;
	char *text;
	int code;

	json_object_set_new(j, "state", json_string(state));
	json_object_set_new(j, "version",
			    json_integer((json_int_t)old->version + 1));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	code = document_parse(&d, str_of(text), NULL) ? EXIT_CODE_FAILED
						      : EXIT_CODE_OK;
	if (!code) {
		code = publish_document(c, cfg, &d);
		document_finish(&d);
	}
	free(text);
	return code;
}

int ctl_zone(struct ctl *c)
{
	const char *state = !strcmp(c->args[0], "out")      ? "out"
			    : !strcmp(c->args[0], "return") ? "in"
							    : NULL;
	const struct document *old;
	struct config cfg;
	int code;

	if (!state) {
		printf("zone: the first argument must be 'out' or 'return'\n");
		return EXIT_CODE_USAGE;
	}
	config_init(&cfg);
	if (ctl_load_config(c, &cfg)) {
		printf("the platform's log does not answer\n");
		code = EXIT_CODE_ENV;
	} else {
		old = config_get(&cfg, DOCUMENT_ZONE, c->args[1]);
		if (old) {
			code = publish_zone_state(c, &cfg, old, state);
		} else {
			printf("zone %s: no document in force\n", c->args[1]);
			code = EXIT_CODE_FAILED;
		}
	}
	config_finish(&cfg);
	return code;
}
