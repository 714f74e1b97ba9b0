#include "host/host.h"

#include <inttypes.h>

#include "adapters/clock.h"
#include "base/logger.h"
#include "platform/config.h"

static void apply_config(struct host *h, const struct store_record *r)
{
	const struct follower *f = &h->operator_follower;
	int64_t began = clock_boot_ms();
	struct queue_table t;
	int err;

	if (h->queues.version && r->offset == h->config_offset) {
		h->config_until_ms = 0;
		return; /* listed again */
	}
	err = config_parse(r->value, &t);
	if (err) {
		log_line(LOG_ERROR, "cannot decode configuration",
			 "offset=%" PRIu64 " bytes=%zu error=%d "
			 "kept_version=%" PRIu64,
			 r->offset, r->value.len, err, h->queues.version);
		if (!h->config_until_ms)
			h->config_until_ms = f->caught_up_ms;
		return;
	}
	if (t.version >= h->queues.version)
		h->config_until_ms = 0;
	if (t.version <= h->queues.version) {
		queue_table_finish(&t);
		return;
	}
	log_line(LOG_INFO, "configuration applied",
		 "version=%" PRIu64 " before=%" PRIu64 " queues=%zu "
		 "offset=%" PRIu64 " end=%" PRIu64 " read_ms=%lld "
		 "reply_bytes=%zu decode_ms=%lld",
		 t.version, h->queues.version, t.count, r->offset, f->reply_end,
		 (long long)f->reply_took_ms, f->reply_bytes,
		 (long long)(clock_boot_ms() - began));
	h->counts.configs_applied++;
	queue_table_finish(&h->queues);
	h->queues = t;
	http_server_set_body_max(&h->callers, t.body_max);
	h->config_offset = r->offset;
}

int64_t host_config_age_ms(const struct host *h)
{
	return h->now_ms - (h->config_until_ms
				    ? h->config_until_ms
				    : h->operator_follower.caught_up_ms);
}

static void operators_begin(void *ctx)
{
	struct host *h = ctx;

	index_finish(&h->listed_zones);
	index_init(&h->listed_zones);
}

static void operators_apply(void *ctx, const struct store_record *r)
{
	static const size_t prefix = sizeof(KEY_ZONE_EVACUATED) - 1;
	struct host *h = ctx;
	char zone[NAME_SIZE];

	if (str_eq(r->key, str_of(KEY_CONFIG))) {
		if (r->value.len)
			apply_config(h, r);
		return;
	}
	if (r->key.len < prefix ||
	    memcmp(r->key.data, KEY_ZONE_EVACUATED, prefix))
		return;
	if (r->key.len == prefix || r->key.len - prefix >= NAME_SIZE) {
		log_line(LOG_ERROR, "cannot use the name of an evacuated zone",
			 "offset=%" PRIu64 " name_bytes=%zu max=%d", r->offset,
			 r->key.len - prefix, NAME_SIZE - 1);
		return;
	}
	memcpy(zone, r->key.data + prefix, r->key.len - prefix);
	zone[r->key.len - prefix] = '\0';
	log_line(LOG_INFO,
		 r->value.len ? "zone evacuated" : "zone evacuation withdrawn",
		 "zone=%s offset=%" PRIu64, zone, r->offset);
	index_remove(&h->evacuated_zones, name_hash(zone));
	if (r->value.len) {
		index_put(&h->evacuated_zones, name_hash(zone), h);
		index_put(&h->listed_zones, name_hash(zone), h);
	}
}

/* Replaces the evacuated zones by those of the listing: an evacuation may have
 * been withdrawn by a record that was trimmed before this host read it. */
static void operators_end(void *ctx)
{
	struct host *h = ctx;
	struct index old = h->evacuated_zones;

	h->evacuated_zones = h->listed_zones;
	index_init(&h->listed_zones);
	index_finish(&old);
}

const struct follower_ops host_operator_ops = {operators_begin, operators_apply,
					       operators_end, true};

void host_follow_logs(struct host *h)
{
	struct follower *config = &h->operator_follower;
	struct follower *jobs = &h->job_follower;

	jobs->held = jobs->failures && config->unconnected;
	follower_tick(config, h->now_ms);
	follower_tick(jobs, h->now_ms);
}
