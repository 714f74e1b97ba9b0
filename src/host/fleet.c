#include "host/fleet.h"

#include <inttypes.h>

#include "base/logger.h"

/* Pause after a failed announcement. */
#define RETRY_MS 1000
/* Pause between reads of the list, which only changes when a host starts or
 * stops. */
#define HOSTS_READ_GAP_MS 1000
/* A list of hosts that is older does not say which are announced. */
#define LIST_AGE_MAX_MS 3000
/* Hosts that start together have announced themselves within this time. */
#define ALIKE_MIN_MS 5000
/* Hosts of this version raise fences; records of before have none. */
#define FENCE_VERSION 1

struct host_record {
	char address[NAME_SIZE];
	uint32_t cpu_milli;
	uint32_t fence_version;
};

static const struct field record_rows[] = {
	FIELD_OF(NAME, host_record, address),
	FIELD_OF(U32, host_record, cpu_milli),
	FIELD_OF(U32, host_record, fence_version),
};

static const struct shape record_shape = SHAPE_OF(record_rows, host_record);

static void begin_listing(void *ctx)
{
	struct fleet *f = ctx;

	index_finish(&f->older);
	index_init(&f->older);
}

static void end_listing(void *ctx)
{
	(void)ctx;
}

static void note_version(struct fleet *f, const char *name, uint32_t version)
{
	if (version < FENCE_VERSION)
		index_put(&f->older, name_hash(name), f);
	else
		index_remove(&f->older, name_hash(name));
}

static void apply_record(void *ctx, const struct store_record *r)
{
	struct host_record rec = {"", 0, 0};
	struct fleet *f = ctx;
	char name[NAME_SIZE];
	struct arena a;
	int err;

	if (!r->key.len || r->key.len >= NAME_SIZE) {
		log_line(LOG_ERROR, "cannot use the name of a host",
			 "offset=%" PRIu64 " name_bytes=%zu max=%d", r->offset,
			 r->key.len, NAME_SIZE - 1);
		return;
	}
	memcpy(name, r->key.data, r->key.len);
	name[r->key.len] = '\0';
	if (!strcmp(name, f->name))
		return;
	if (!r->value.len) {
		index_remove(&f->older, name_hash(name));
		f->ops->host_removed(f->ctx, name);
		return;
	}
	arena_init(&a);
	err = shape_read(&record_shape, r->value, &rec, &a);
	arena_finish(&a);
	note_version(f, name, err ? 0 : rec.fence_version);
	if (err)
		log_line(LOG_ERROR, "cannot decode the record of a host",
			 "host=%s offset=%" PRIu64 " bytes=%zu error=%d", name,
			 r->offset, r->value.len, err);
	else
		f->ops->host_announced(f->ctx, name, rec.address,
				       rec.cpu_milli);
}

static const struct follower_ops follow_ops = {begin_listing, apply_record,
					       end_listing};

void fleet_init(struct fleet *f, const struct store_ops *store, void *port,
		const struct fleet_ops *ops, void *ctx)
{
	f->store = store;
	f->port = port;
	f->ops = ops;
	f->ctx = ctx;
	index_init(&f->older);
	follower_init(&f->host_follower, store, port, TOPIC_HOSTS, 0,
		      &follow_ops, f);
	f->host_follower.read_gap_ms = HOSTS_READ_GAP_MS;
}

void fleet_finish(struct fleet *f)
{
	follower_finish(&f->host_follower);
	index_finish(&f->older);
}

static void on_announced(void *ctx, const struct store_reply *r)
{
	struct fleet *f = ctx;

	f->announce_in_flight = false;
	f->announced = r->status == STORE_OK;
	f->due_ms = f->now_ms + RETRY_MS;
}

static void on_withdrawn(void *ctx, const struct store_reply *r)
{
	struct fleet *f = ctx;

	if (r->status != STORE_OK)
		log_line(LOG_WARN, "cannot withdraw the record of this host",
			 "host=%s status=%d", f->name, (int)r->status);
}

static void append_record(struct fleet *f, struct str value, store_done done)
{
	struct store_append a = {0};
	struct buf b;

	buf_init(&b);
	store_record_add(&b, str_of(f->name), value);
	a.topic = TOPIC_HOSTS;
	a.records.data = b.data;
	a.records.len = b.len;
	a.producer = "";
	f->store->append(f->port, &a, done, f);
	buf_finish(&b);
}

static void announce(struct fleet *f)
{
	struct host_record rec = {"", f->cpu_milli, FENCE_VERSION};
	struct str value;
	struct buf b;

	name_set(rec.address, f->address);
	buf_init(&b);
	shape_write(&record_shape, &rec, &b);
	value.data = b.data;
	value.len = b.len;
	f->announce_in_flight = true;
	append_record(f, value, on_announced);
	buf_finish(&b);
}

void fleet_tick(struct fleet *f, bool follow, int64_t now_ms)
{
	f->now_ms = now_ms;
	if (!f->address[0] || f->leaving)
		return;
	if (!f->announced && !f->announce_in_flight && now_ms >= f->due_ms)
		announce(f);
	if (follow && f->host_follower.stopped)
		follower_start(&f->host_follower, now_ms);
	else if (!follow && !f->host_follower.stopped)
		follower_stop(&f->host_follower);
	follower_tick(&f->host_follower, now_ms);
	if (!follower_is_fresh(&f->host_follower, now_ms, LIST_AGE_MAX_MS) ||
	    index_count(&f->older))
		f->unlike_ms = now_ms;
}

bool fleet_raises_fences(const struct fleet *f)
{
	return f->announced && f->now_ms - f->unlike_ms >= ALIKE_MIN_MS;
}

void fleet_leave(struct fleet *f)
{
	struct str none = {NULL, 0};

	if (f->leaving || !f->address[0])
		return;
	f->leaving = true;
	append_record(f, none, on_withdrawn);
}
