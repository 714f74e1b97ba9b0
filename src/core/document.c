#include "core/document.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#define PATH_SIZE 128
#define REASON_SIZE 160

enum rule_type { RULE_TEXT, RULE_NUMBER, RULE_BOOL, RULE_CHOICE, RULE_NAMES };

/**
 * struct rule - one key of a document and the constraints on its value
 * @min: smallest number, or smallest count of names
 * @max: largest number, or largest count of names
 * @choices: allowed strings, separated by '|'; the position is stored
 * @default_value: number that is used when the key is missing
 */
struct rule {
	const char *key;
	enum rule_type type;
	bool required;
	int64_t min;
	int64_t max;
	const char *choices;
	int64_t default_value;
};

struct reader {
	const json_t *json;
	const struct validation_sink *sink;
	struct arena *memory;
	int errors;
};

static void report_error(struct reader *r, const char *path, const char *reason)
{
	r->errors++;
	if (r->sink)
		r->sink->report(r->sink->ctx, path, reason);
}

static const struct rule common_rules[] = {
	{"kind", RULE_CHOICE, true, 0, 0, "service|zone|region|team", 0},
	{"name", RULE_TEXT, true, 0, 0, NULL, 0},
	{"version", RULE_NUMBER, true, 1, INT64_MAX, NULL, 0},
};

static const struct rule service_rules[] = {
	{"owner", RULE_TEXT, true, 0, 0, NULL, 0},
	{"team", RULE_TEXT, true, 0, 0, NULL, 0},
	{"class", RULE_CHOICE, true, 0, 0, "batch|latency-critical", 0},
	{"idempotent", RULE_BOOL, true, 0, 0, NULL, 0},
	{"urgency", RULE_NUMBER, true, 0, 9, NULL, 0},
	{"cpu_milli", RULE_NUMBER, true, 1, 1000000, NULL, 0},
	{"memory_mb", RULE_NUMBER, true, 1, 16000000, NULL, 0},
	{"accelerators", RULE_NUMBER, false, 0, 64, NULL, 0},
	{"connections", RULE_NUMBER, false, 0, 10000, NULL, 0},
	{"deadline_ms", RULE_NUMBER, true, 100, 604800000, NULL, 0},
	{"lease_ms", RULE_NUMBER, false, 2000, 600000, NULL, 15000},
	{"checkpoint_ms", RULE_NUMBER, false, 100, 3600000, NULL, 5000},
	{"run_ms", RULE_NUMBER, true, 1, 604800000, NULL, 0},
	{"latency_target_ms", RULE_NUMBER, false, 1, 604800000, NULL, 0},
	{"when_cut_off", RULE_CHOICE, false, 0, 0, "yield|keep", 0},
	{"zones", RULE_NAMES, true, 1, DOCUMENT_ZONES_MAX, NULL, 0},
	{"may_displace", RULE_NAMES, false, 0, DOCUMENT_DISPLACE_MAX, NULL, 0},
};

static const struct rule zone_rules[] = {
	{"region", RULE_TEXT, true, 0, 0, NULL, 0},
	{"state", RULE_CHOICE, true, 0, 0, "in|out", 0},
	{"racks", RULE_NAMES, true, 1, DOCUMENT_RACKS_MAX, NULL, 0},
};

static const struct rule region_rules[] = {
	{"zones", RULE_NAMES, true, 1, DOCUMENT_ZONES_MAX, NULL, 0},
	{"job_shards", RULE_NUMBER, true, 1, 64, NULL, 0},
};

static const struct rule team_rules[] = {
	{"owner", RULE_TEXT, true, 0, 0, NULL, 0},
	{"open_max", RULE_NUMBER, true, 1, 10000000, NULL, 0},
	{"weight", RULE_NUMBER, false, 1, 1000, NULL, 1},
};

struct rule_set {
	const char *name;
	const struct rule *rules;
	size_t count;
};

#define RULE_SET(name, rules)                                   \
	{                                                       \
		name, rules, sizeof(rules) / sizeof((rules)[0]) \
	}

static const struct rule_set rule_sets[DOCUMENT_KIND_MAX] = {
	[DOCUMENT_SERVICE] = RULE_SET("service", service_rules),
	[DOCUMENT_ZONE] = RULE_SET("zone", zone_rules),
	[DOCUMENT_REGION] = RULE_SET("region", region_rules),
	[DOCUMENT_TEAM] = RULE_SET("team", team_rules),
};

const char *document_kind_name(enum document_kind kind)
{
	return kind < DOCUMENT_KIND_MAX ? rule_sets[kind].name : "unknown";
}

uint64_t document_id(enum document_kind kind, const char *name)
{
	return pair_hash(document_kind_name(kind), name);
}

uint64_t service_id(const char *name)
{
	return document_id(DOCUMENT_SERVICE, name);
}

static int choice_index(const char *choices, const char *text)
{
	size_t n = strlen(text);
	int i = 0;

	while (*choices) {
		size_t len = strcspn(choices, "|");

		if (len == n && !memcmp(choices, text, n))
			return i;
		choices += len + (choices[len] == '|');
		i++;
	}
	return -EINVAL;
}

static void check_names(struct reader *r, const struct rule *rule,
			const json_t *v)
{
	char path[PATH_SIZE], reason[REASON_SIZE];
	size_t i, k;

	if (!json_is_array(v)) {
		report_error(r, rule->key, "must be a list of names");
		return;
	}
	if ((int64_t)json_array_size(v) < rule->min ||
	    (int64_t)json_array_size(v) > rule->max) {
		snprintf(reason, sizeof(reason), "must hold %lld to %lld names",
			 (long long)rule->min, (long long)rule->max);
		report_error(r, rule->key, reason);
	}
	for (i = 0; i < json_array_size(v); i++) {
		const char *s = json_string_value(json_array_get(v, i));

		snprintf(path, sizeof(path), "%s[%zu]", rule->key, i);
		if (!s || !*s || strlen(s) >= NAME_SIZE) {
			report_error(r, path,
				     "must be a name of 1 to 63 bytes");
			continue;
		}
		for (k = 0; k < i; k++) {
			const char *t = json_string_value(json_array_get(v, k));

			if (t && !strcmp(s, t))
				report_error(r, path,
					     "appears twice in the list");
		}
	}
}

static void check_rule(struct reader *r, const struct rule *rule)
{
	const json_t *v = json_object_get(r->json, rule->key);
	char reason[REASON_SIZE];
	const char *s;

	if (!v) {
		if (rule->required)
			report_error(r, rule->key, "is missing");
		return;
	}
	switch (rule->type) {
	case RULE_TEXT:
		s = json_string_value(v);
		if (!s || !*s || strlen(s) >= NAME_SIZE)
			report_error(r, rule->key,
				     "must be a string of 1 to 63 bytes");
		break;
	case RULE_NUMBER:
		if (json_is_integer(v) && json_integer_value(v) >= rule->min &&
		    json_integer_value(v) <= rule->max)
			break;
		snprintf(reason, sizeof(reason),
			 "must be an integer from %lld to %lld",
			 (long long)rule->min, (long long)rule->max);
		report_error(r, rule->key, reason);
		break;
	case RULE_BOOL:
		if (!json_is_boolean(v))
			report_error(r, rule->key, "must be true or false");
		break;
	case RULE_CHOICE:
		s = json_string_value(v);
		if (s && choice_index(rule->choices, s) >= 0)
			break;
		snprintf(reason, sizeof(reason), "must be one of %s",
			 rule->choices);
		report_error(r, rule->key, reason);
		break;
	case RULE_NAMES:
		check_names(r, rule, v);
		break;
	}
}

static bool is_known_key(const struct rule_set *set, const char *key)
{
	size_t i;

	for (i = 0; i < sizeof(common_rules) / sizeof(common_rules[0]); i++)
		if (!strcmp(common_rules[i].key, key))
			return true;
	for (i = 0; i < set->count; i++)
		if (!strcmp(set->rules[i].key, key))
			return true;
	return false;
}

static void check_document(struct reader *r, const struct rule_set *set)
{
	const char *key;
	json_t *v;
	size_t i;

	for (i = 0; i < set->count; i++)
		check_rule(r, &set->rules[i]);
	json_object_foreach((json_t *)r->json, key, v)
	{
		if (!is_known_key(set, key))
			report_error(r, key,
				     "is not a valid key for this kind");
	}
}

static int64_t get_number(const struct reader *r, const struct rule_set *set,
			  const char *key)
{
	const json_t *v = json_object_get(r->json, key);
	size_t i;

	if (json_is_boolean(v))
		return json_is_true(v);
	for (i = 0; i < set->count; i++) {
		const struct rule *rule = &set->rules[i];

		if (strcmp(rule->key, key))
			continue;
		if (!v)
			return rule->default_value;
		if (rule->type == RULE_CHOICE)
			return choice_index(rule->choices,
					    json_string_value(v));
		return json_integer_value(v);
	}
	abort();
}

static void copy_text(const struct reader *r, const char *key, char *dst)
{
	const char *s = json_string_value(json_object_get(r->json, key));

	name_set(dst, s ? s : "");
}

static size_t copy_names(struct reader *r, const char *key,
			 char (**out)[NAME_SIZE])
{
	const json_t *v = json_object_get(r->json, key);
	size_t i, n = json_array_size(v);

	*out = arena_alloc(r->memory, (n ? n : 1) * NAME_SIZE);
	for (i = 0; i < n; i++)
		name_set((*out)[i], json_string_value(json_array_get(v, i)));
	return n;
}

static void read_service(struct reader *r, struct service_doc *s)
{
	const struct rule_set *set = &rule_sets[DOCUMENT_SERVICE];

	copy_text(r, "owner", s->owner);
	copy_text(r, "team", s->team);
	s->latency_critical = get_number(r, set, "class") == 1;
	s->idempotent = get_number(r, set, "idempotent");
	s->urgency = (uint32_t)get_number(r, set, "urgency");
	s->res.cpu_milli = (uint32_t)get_number(r, set, "cpu_milli");
	s->res.mem_mb = (uint32_t)get_number(r, set, "memory_mb");
	s->res.accel = (uint32_t)get_number(r, set, "accelerators");
	s->res.conns = (uint32_t)get_number(r, set, "connections");
	s->res.slots = 1;
	s->deadline_ms = get_number(r, set, "deadline_ms");
	s->lease_ms = get_number(r, set, "lease_ms");
	s->checkpoint_ms = get_number(r, set, "checkpoint_ms");
	s->run_ms = get_number(r, set, "run_ms");
	s->latency_target_ms = get_number(r, set, "latency_target_ms");
	s->when_cut_off = (enum cut_off)get_number(r, set, "when_cut_off");
	s->zone_count = copy_names(r, "zones", &s->zones);
	s->displace_count = copy_names(r, "may_displace", &s->displaces);
}

static void read_body(struct reader *r, struct document *d)
{
	const struct rule_set *set = &rule_sets[d->kind];

	switch (d->kind) {
	case DOCUMENT_SERVICE:
		read_service(r, &d->service);
		break;
	case DOCUMENT_ZONE:
		copy_text(r, "region", d->zone.region);
		d->zone.is_out = get_number(r, set, "state") == 1;
		d->zone.rack_count = copy_names(r, "racks", &d->zone.racks);
		break;
	case DOCUMENT_REGION:
		d->region.zone_count = copy_names(r, "zones", &d->region.zones);
		d->region.job_shards =
			(uint32_t)get_number(r, set, "job_shards");
		break;
	case DOCUMENT_TEAM:
		copy_text(r, "owner", d->team.owner);
		d->team.open_max = (uint32_t)get_number(r, set, "open_max");
		d->team.weight = (uint32_t)get_number(r, set, "weight");
		break;
	case DOCUMENT_KIND_MAX:
		break;
	}
}

static int read_document(struct reader *r, struct document *d)
{
	const struct rule_set *set;
	const char *kind;
	size_t i;

	for (i = 0; i < sizeof(common_rules) / sizeof(common_rules[0]); i++)
		check_rule(r, &common_rules[i]);
	kind = json_string_value(json_object_get(r->json, "kind"));
	if (!kind || choice_index(common_rules[0].choices, kind) < 0)
		return -EINVAL;
	d->kind =
		(enum document_kind)choice_index(common_rules[0].choices, kind);
	set = &rule_sets[d->kind];
	check_document(r, set);
	if (r->errors)
		return -EINVAL;
	copy_text(r, "name", d->name);
	d->version = (uint64_t)json_integer_value(
		json_object_get(r->json, "version"));
	d->id = document_id(d->kind, d->name);
	read_body(r, d);
	return 0;
}

int document_parse(struct document *d, struct str text,
		   const struct validation_sink *sink)
{
	struct reader r = {NULL, sink, &d->memory, 0};
	char reason[REASON_SIZE], path[PATH_SIZE];
	json_error_t e;
	json_t *j;
	int err;

	memset(d, 0, sizeof(*d));
	arena_init(&d->memory);
	j = json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &e);
	if (!json_is_object(j)) {
		snprintf(path, sizeof(path), "line %d", j ? 1 : e.line);
		snprintf(reason, sizeof(reason), "%s",
			 j ? "must be a JSON object" : e.text);
		report_error(&r, path, reason);
		json_decref(j);
		return -EINVAL;
	}
	r.json = j;
	err = read_document(&r, d);
	if (!err)
		d->text = arena_str(&d->memory, text.data, text.len);
	else
		document_finish(d);
	json_decref(j);
	return err;
}

void document_finish(struct document *d)
{
	arena_finish(&d->memory);
}
