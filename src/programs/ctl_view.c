#include "programs/ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/http_client.h"
#include "core/ledger.h"

#define FETCH_TIMEOUT_MS 2000

static json_t *fetch_json(const char *addr, const char *path)
{
	char url[512];
	json_t *j = NULL;
	struct buf b;

	buf_init(&b);
	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	if (http_fetch("GET", url, NULL, FETCH_TIMEOUT_MS, &b) == 200)
		j = json_loadb(b.data, b.len, 0, NULL);
	buf_finish(&b);
	return j;
}

static const char *text_of(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "-";
}

static int print_process(const struct listed_host *h, uint64_t head)
{
	json_t *j = fetch_json(h->http, "/status");
	const json_t *shards = json_object_get(j, "shards");
	uint64_t version;
	int behind;

	if (!j) {
		printf("%-16s %-24s unreachable\n", h->name, h->zone);
		return 1;
	}
	version = (uint64_t)json_integer_value(json_object_get(j, "config"));
	behind = version < head;
	printf("%-16s %-24s %-7s %-9s version %" PRIu64 "%s shards %zu\n",
	       h->name, h->zone, text_of(j, "role"), text_of(j, "state"),
	       version, behind ? " BEHIND" : "", json_array_size(shards));
	json_decref(j);
	return behind;
}

int ctl_status(struct ctl *c)
{
	struct listed_host *hosts;
	size_t count, i, behind = 0, n = 0;
	struct config cfg;

	config_init(&cfg);
	if (ctl_load_config(c, &cfg) ||
	    fetch_hosts(c->platform, &hosts, &count)) {
		printf("the platform does not answer\n");
		config_finish(&cfg);
		return EXIT_CODE_ENV;
	}
	for (i = 0; i < cfg.count; i++)
		if (cfg.docs[i]->kind == DOCUMENT_ZONE)
			printf("zone %-24s %s\n", cfg.docs[i]->name,
			       cfg.docs[i]->zone.is_out ? "out" : "in");
	for (i = 0; i < count; i++) {
		if (hosts[i].role == HOST_WORKER)
			continue;
		n++;
		behind += (size_t)print_process(&hosts[i], cfg.offset);
	}
	printf("%zu processes, %zu behind or unreachable, head %" PRIu64 "\n",
	       n, behind, cfg.offset);
	free(hosts);
	config_finish(&cfg);
	return behind ? EXIT_CODE_FAILED : EXIT_CODE_OK;
}

int ctl_explain(struct ctl *c)
{
	struct listed_host *hosts;
	size_t count, i, found = 0;
	char path[128];

	if (fetch_hosts(c->platform, &hosts, &count)) {
		printf("the platform does not answer\n");
		return EXIT_CODE_ENV;
	}
	snprintf(path, sizeof(path), "/v1/tasks/%.32s", c->args[0]);
	for (i = 0; i < count && !found; i++) {
		json_t *j = hosts[i].role == HOST_SCHEDD
				    ? fetch_json(hosts[i].http, path)
				    : NULL;
		const char *key;
		json_t *v;

		if (!j)
			continue;
		found++;
		printf("owner: %s in %s\n", hosts[i].name, hosts[i].zone);
		json_object_foreach(j, key, v)
		{
			if (json_is_string(v))
				printf("%s: %s\n", key, json_string_value(v));
			else
				printf("%s: %" JSON_INTEGER_FORMAT "\n", key,
				       json_integer_value(v));
		}
		json_decref(j);
	}
	if (!found)
		printf("no job owner has task %s\n", c->args[0]);
	free(hosts);
	return found ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

/*
 * Adds the usage in one job stream to @sum and, if --verify is set, reports the
 * first bill record that differs from the records before it.
 */
static int bill_stream(const struct ctl *c, const struct config *cfg,
		       const char *name, struct ledger *sum, int *mistakes)
{
	struct ledger_mismatch m = {0};
	struct ledger l;
	struct log_read r;
	struct arena a;
	struct buf b;
	int err;

	arena_init(&a);
	buf_init(&b);
	err = ctl_read_stream(c, name, &b, &r, &a);
	if (!err) {
		ledger_init(&l, true);
		ledger_replay(&l, cfg, &r, &m);
		ledger_add(sum, &l);
	}
	if (!err && c->verify && !l.complete)
		printf("%s: older entries have expired; the newest bill record "
		       "is used unverified\n",
		       name);
	if (m.found && c->verify) {
		(*mistakes)++;
		printf("%s offset %" PRIu64 ": bill record has %" PRIu64
		       " ms for %s, the records before it add up to %" PRIu64
		       " ms\n",
		       name, m.offset, m.stated_ms, m.owner, m.computed_ms);
	}
	buf_finish(&b);
	arena_finish(&a);
	return err;
}

static int bill_region(const struct ctl *c, const struct config *cfg,
		       const struct document *d, struct ledger *sum,
		       int *mistakes)
{
	char name[NAME_SIZE * 2];
	int err = 0;
	uint32_t k;

	for (k = 0; !err && k < d->region.job_shards; k++) {
		snprintf(name, sizeof(name), "jobs-%s-%" PRIu32, d->name, k);
		err = bill_stream(c, cfg, name, sum, mistakes);
	}
	return err;
}

static void print_ledger(const struct ledger *l)
{
	size_t i;

	printf("%-32s %10s %14s\n", "owner", "attempts", "cpu seconds");
	for (i = 0; i < l->count; i++)
		printf("%-32s %10" PRIu64 " %14.3f\n", l->lines[i].owner,
		       l->lines[i].attempts,
		       (double)l->lines[i].cpu_ms / 1000.0);
}

int ctl_bill(struct ctl *c)
{
	struct ledger sum;
	struct config cfg;
	int mistakes = 0, err;
	size_t i;

	config_init(&cfg);
	ledger_init(&sum, true);
	err = ctl_load_config(c, &cfg);
	for (i = 0; !err && i < cfg.count; i++)
		if (cfg.docs[i]->kind == DOCUMENT_REGION)
			err = bill_region(c, &cfg, cfg.docs[i], &sum,
					  &mistakes);
	config_finish(&cfg);
	if (err) {
		printf("the platform does not answer\n");
		return EXIT_CODE_ENV;
	}
	print_ledger(&sum);
	if (c->verify)
		printf("verify: %d streams with a wrong bill record\n",
		       mistakes);
	return mistakes ? EXIT_CODE_FAILED : EXIT_CODE_OK;
}
