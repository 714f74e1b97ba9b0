#include "core/config.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

void config_init(struct config *c)
{
	memset(c, 0, sizeof(*c));
	index_init(&c->by_id);
	c->protections = PROTECT_ALL;
}

void config_finish(struct config *c)
{
	size_t i;

	for (i = 0; i < c->count; i++) {
		document_finish(c->docs[i]);
		free(c->docs[i]);
	}
	free(c->docs);
	index_finish(&c->by_id);
}

const struct document *config_get(const struct config *c,
				  enum document_kind kind, const char *name)
{
	return index_get(&c->by_id, document_id(kind, name));
}

static void put_document(struct config *c, struct document *d)
{
	struct document *old = index_get(&c->by_id, d->id);

	if (old) {
		document_finish(old);
		*old = *d;
		return;
	}
	if (c->count == c->cap) {
		c->cap = c->cap ? c->cap * 2 : 16;
		c->docs = xrealloc(c->docs, c->cap * sizeof(*c->docs));
	}
	old = xcalloc(1, sizeof(*old));
	*old = *d;
	c->docs[c->count++] = old;
	index_put(&c->by_id, old->id, old);
}

/*
 * The number of job shards of a region never changes: it determines which shard
 * holds a key.
 */
static bool keeps_job_shards(const struct document *old,
			     const struct document *d)
{
	return !old || old->kind != DOCUMENT_REGION ||
	       old->region.job_shards == d->region.job_shards;
}

static bool is_version_accepted(const struct config *c, uint64_t current,
				uint64_t version, bool snapshot)
{
	if (snapshot)
		return version > current ||
		       !(c->protections & PROTECT_SNAPSHOT);
	return version == current + 1 || !(c->protections & PROTECT_CAS);
}

static int apply_document(struct config *c, struct str text, bool snapshot)
{
	const struct document *old;
	struct document d;
	uint64_t current;

	if (document_parse(&d, text, NULL))
		return -EINVAL;
	old = index_get(&c->by_id, d.id);
	current = old ? old->version : 0;
	if (!is_version_accepted(c, current, d.version, snapshot) ||
	    !keeps_job_shards(old, &d)) {
		document_finish(&d);
		return 0;
	}
	put_document(c, &d);
	return 1;
}

static json_t *parse_snapshot(struct str body)
{
	json_t *j = json_loadb(body.data, body.len, 0, NULL);

	if (j && !json_is_array(json_object_get(j, "snapshot"))) {
		json_decref(j);
		return NULL;
	}
	return j;
}

static int apply_snapshot(struct config *c, const json_t *j)
{
	const json_t *docs = json_object_get(j, "snapshot");
	int changed = 0;
	size_t i;

	for (i = 0; i < json_array_size(docs); i++) {
		const json_t *t = json_array_get(docs, i);
		struct str s = {json_string_value(t), json_string_length(t)};

		if (s.data && apply_document(c, s, true) > 0)
			changed++;
	}
	return changed;
}

int config_apply(struct config *c, uint64_t offset, struct str body)
{
	json_t *j;
	int n;

	if (offset < c->offset)
		return 0;
	c->offset = offset + 1;
	j = parse_snapshot(body);
	if (!j)
		return apply_document(c, body, false);
	n = apply_snapshot(c, j);
	json_decref(j);
	return n;
}

/*
 * Finds the newest snapshot for which the log still holds every entry that the
 * snapshot does not cover.
 */
static json_t *find_usable_snapshot(const struct log_read *r, uint64_t *covers)
{
	size_t i;

	for (i = r->count; i-- > 0;) {
		json_t *j = parse_snapshot(r->entries[i].body);
		json_t *v;

		if (!j)
			continue;
		v = json_object_get(j, "covers");
		if (json_is_integer(v) &&
		    (uint64_t)json_integer_value(v) >= r->first) {
			*covers = (uint64_t)json_integer_value(v);
			return j;
		}
		json_decref(j);
	}
	return NULL;
}

int config_load(struct config *c, const struct log_read *r)
{
	uint64_t covers;
	int changed = 0;
	json_t *j;
	size_t i;

	if (r->first > c->offset) {
		j = find_usable_snapshot(r, &covers);
		if (!j)
			return 0;
		changed += apply_snapshot(c, j);
		c->offset = covers;
		json_decref(j);
	}
	for (i = 0; i < r->count; i++)
		if (config_apply(c, r->entries[i].offset, r->entries[i].body) >
		    0)
			changed++;
	if (!r->count && r->first == r->head && r->head > c->offset)
		c->offset = r->head;
	return changed;
}

void config_write_snapshot(const struct config *c, struct buf *out)
{
	json_t *docs = json_array();
	json_t *j;
	char *text;
	size_t i;

	for (i = 0; i < c->count; i++)
		json_array_append_new(docs, json_stringn(c->docs[i]->text.data,
							 c->docs[i]->text.len));
	j = json_pack("{s:I,s:o}", "covers", (json_int_t)c->offset, "snapshot",
		      docs);
	text = json_dumps(j, JSON_COMPACT);
	if (text)
		buf_adds(out, text);
	free(text);
	json_decref(j);
}

bool config_is_zone_out(const struct config *c, const char *zone)
{
	const struct document *d = config_get(c, DOCUMENT_ZONE, zone);

	return !d || d->zone.is_out;
}

const struct document *config_service_region(const struct config *c,
					     const struct service_doc *s)
{
	const struct document *z;

	if (!s->zone_count)
		return NULL;
	z = config_get(c, DOCUMENT_ZONE, s->zones[0]);
	return z ? config_get(c, DOCUMENT_REGION, z->zone.region) : NULL;
}
