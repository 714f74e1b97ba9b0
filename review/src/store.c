#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <endian.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PARTITIONS 24
#define PARTITIONS_KEPT 64
#define MEMBERS_MAX 128
#define REPEATS 5
#define ANSWER_MS 4
#define PAGE_ITEMS 500
#define WAIT_MAX_MS 30000

struct rec {
	char *data;
	uint32_t len;
};

struct append {
	uint64_t seq;
	uint64_t first;
	uint64_t end;
};

struct partition {
	char name[128];
	struct rec *recs;
	size_t count;
	size_t cap;
	bool has_producer;
	uint64_t epoch;
	struct append last[REPEATS];
	size_t appends;
};

struct member {
	char name[128];
	int64_t expires_ms;
	uint64_t joined_generation;
};

static struct server server;
static struct partition partitions[PARTITIONS_KEPT];
static size_t partition_count;
static struct member members[MEMBERS_MAX];
static size_t member_count;
static uint64_t generation;
/* Per partition of the group: who shall have it, who has it, and the generation
 * that took it from its holder. */
static char target[PARTITIONS][128], holder[PARTITIONS][128];
static uint64_t taken_at[PARTITIONS];
static int64_t outage_armed_ms, outage_began_ms, outage_until_ms;

char store_address[64];

static struct partition *partition_of(const char *topic, unsigned int part)
{
	char name[128];
	size_t i;

	snprintf(name, sizeof(name), "%s/%u", topic, part);
	for (i = 0; i < partition_count; i++)
		if (!strcmp(partitions[i].name, name))
			return &partitions[i];
	if (partition_count == PARTITIONS_KEPT)
		abort();
	strcpy(partitions[partition_count].name, name);
	return &partitions[partition_count++];
}

static void add(struct partition *p, const char *data, uint32_t len)
{
	if (p->count == p->cap) {
		p->cap = p->cap ? p->cap * 2 : 256;
		p->recs = realloc(p->recs, p->cap * sizeof(*p->recs));
	}
	p->recs[p->count].data = malloc(len + 1);
	memcpy(p->recs[p->count].data, data, len);
	p->recs[p->count++].len = len;
}

static void add_all(struct partition *p, const char *body, size_t len)
{
	uint32_t n;

	while (len >= sizeof(n)) {
		memcpy(&n, body, sizeof(n));
		n = ntohl(n);
		add(p, body + sizeof(n), n);
		body += sizeof(n) + n;
		len -= sizeof(n) + n;
	}
}

static bool is_framed(const char *body, size_t len)
{
	uint32_t n;

	while (len) {
		if (len < sizeof(n))
			return false;
		memcpy(&n, body, sizeof(n));
		n = ntohl(n);
		if (len - sizeof(n) < n)
			return false;
		body += sizeof(n) + n;
		len -= sizeof(n) + n;
	}
	return true;
}

/* Whether a body holds a record of a job that a client has handed in: its key
 * is the 16 digits of the job's id. */
static bool brings_job(const char *body, size_t len)
{
	uint32_t n;

	while (len > sizeof(n)) {
		memcpy(&n, body, sizeof(n));
		n = ntohl(n);
		if (n > 17 && body[sizeof(n)] == 16)
			return true;
		body += sizeof(n) + n;
		len -= sizeof(n) + n;
	}
	return false;
}

static uint64_t number(const struct call *c, const char *name)
{
	char text[64];

	return query_value(c, name, text, sizeof(text))
		       ? strtoull(text, NULL, 10)
		       : 0;
}

static void do_append(const struct call *c, struct answer *a)
{
	char topic[64] = "", producer[64];
	bool has_producer;
	uint64_t epoch = number(c, "epoch"), seq = number(c, "seq"), first;
	struct partition *p;
	size_t i;

	query_value(c, "topic", topic, sizeof(topic));
	has_producer = query_value(c, "producer", producer, sizeof(producer));
	if (!strcmp(topic, "keyed.op") || !strcmp(topic, "keyed.servers")) {
		answer_text(a, 403, "{}");
		return;
	}
	if (!is_framed(c->body, c->len)) {
		answer_text(a, 400, "{}");
		return;
	}
	p = partition_of(topic, (unsigned int)number(c, "part"));
	if (has_producer && producer[0]) {
		if (p->has_producer && epoch < p->epoch) {
			answer_text(a, 409, "{\"reason\":\"fenced\"}");
			return;
		}
		if (!p->has_producer || epoch > p->epoch) {
			p->has_producer = true;
			p->epoch = epoch;
			p->appends = 0;
		} else {
			size_t kept = p->appends < REPEATS ? p->appends
							   : REPEATS;
			uint64_t last =
				p->last[(p->appends - 1) % REPEATS].seq;

			for (i = 0; i < kept; i++) {
				const struct append *o = &p->last[i];

				if (o->seq != seq)
					continue;
				answer_text(a, 200,
					    "{\"offset\":%llu,"
					    "\"endOffset\":%llu}",
					    (unsigned long long)o->first,
					    (unsigned long long)o->end);
				return;
			}
			if (seq != last + 1) {
				answer_text(a, 409,
					    "{\"reason\":\"seq\",\"seq\":%llu}",
					    (unsigned long long)last + 1);
				return;
			}
		}
	}
	first = p->count;
	add_all(p, c->body, c->len);
	if (has_producer && producer[0]) {
		p->last[p->appends % REPEATS].seq = seq;
		p->last[p->appends % REPEATS].first = first;
		p->last[p->appends++ % REPEATS].end = p->count;
	}
	answer_text(a, 200, "{\"offset\":%llu,\"endOffset\":%zu}",
		    (unsigned long long)first, p->count);
	pthread_cond_broadcast(&world_changed);
}

static void wait_until(int64_t ms)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	ms -= now_ms();
	if (ms <= 0)
		return;
	t.tv_sec += ms / 1000;
	t.tv_nsec += ms % 1000 * 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_sec++;
		t.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&world_changed, &world_lock, &t);
}

static void do_read(const struct call *c, struct answer *a)
{
	char topic[64] = "";
	uint64_t from = number(c, "from"), i, head[2];
	int64_t wait = (int64_t)number(c, "waitMs"), until;
	size_t max = number(c, "maxKb") * 1024, used = sizeof(head);
	struct partition *p;

	if (wait > WAIT_MAX_MS)
		wait = WAIT_MAX_MS;
	if (!max)
		max = 1024 * 1024;
	query_value(c, "topic", topic, sizeof(topic));
	p = partition_of(topic, (unsigned int)number(c, "part"));
	until = now_ms() + wait;
	while (from >= p->count && now_ms() < until &&
	       now_ms() >= outage_until_ms)
		wait_until(until);
	for (i = from; i < p->count && used + p->recs[i].len < max; i++)
		used += sizeof(uint32_t) + p->recs[i].len;
	a->status = 200;
	a->binary = true;
	a->body = malloc(used + 64);
	head[0] = htobe64(p->count);
	head[1] = 0;
	memcpy(a->body, head, sizeof(head));
	a->len = sizeof(head);
	for (i = from; i < p->count && a->len < used; i++) {
		uint32_t n = htonl(p->recs[i].len);

		memcpy(a->body + a->len, &n, sizeof(n));
		memcpy(a->body + a->len + sizeof(n), p->recs[i].data,
		       p->recs[i].len);
		a->len += sizeof(n) + p->recs[i].len;
	}
}

static void key_of(const struct rec *r, char out[256])
{
	size_t n = (unsigned char)r->data[0];

	memcpy(out, r->data + 1, n);
	out[n] = '\0';
}

struct newest {
	char key[256];
	size_t offset;
};

static int newest_cmp(const void *pa, const void *pb)
{
	const struct newest *a = pa, *b = pb;
	int d = strcmp(a->key, b->key);

	return d ? d : (a->offset > b->offset) - (a->offset < b->offset);
}

/* Return: the newest record of each key that has a value, sorted by key. */
static struct newest *newest_of(const struct partition *p, size_t *count)
{
	struct newest *all = calloc(p->count + 1, sizeof(*all));
	size_t i, n = 0;

	for (i = 0; i < p->count; i++) {
		key_of(&p->recs[i], all[i].key);
		all[i].offset = i;
	}
	qsort(all, p->count, sizeof(*all), newest_cmp);
	for (i = 0; i < p->count; i++) {
		const struct rec *r = &p->recs[all[i].offset];

		if (i + 1 < p->count && !strcmp(all[i].key, all[i + 1].key))
			continue;
		if (r->len > 1 + strlen(all[i].key))
			all[n++] = all[i];
	}
	*count = n;
	return all;
}

static char *base64(const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = malloc(len / 3 * 4 + 8), *p = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)data[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)data[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)data[i + 2];
		*p++ = digits[v >> 18 & 63];
		*p++ = digits[v >> 12 & 63];
		*p++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
		*p++ = i + 2 < len ? digits[v & 63] : '=';
	}
	*p = '\0';
	return out;
}

static void do_newest(const struct call *c, struct answer *a)
{
	char topic[64] = "", after[256];
	json_t *root = json_object(), *items = json_array();
	const struct partition *p;
	struct newest *all;
	size_t n, i = 0, taken = 0;

	query_value(c, "topic", topic, sizeof(topic));
	query_value(c, "after", after, sizeof(after));
	p = partition_of(topic, (unsigned int)number(c, "part"));
	all = newest_of(p, &n);
	while (i < n && after[0] && strcmp(all[i].key, after) <= 0)
		i++;
	for (; i < n && taken < PAGE_ITEMS; i++, taken++) {
		const struct rec *r = &p->recs[all[i].offset];
		size_t head = 1 + strlen(all[i].key);
		char *value = base64(r->data + head, r->len - head);
		json_t *item = json_object();

		json_object_set_new(item, "key", json_string(all[i].key));
		json_object_set_new(item, "value", json_string(value));
		json_object_set_new(item, "offset",
				    json_integer((json_int_t)all[i].offset));
		json_array_append_new(items, item);
		free(value);
	}
	json_object_set_new(root, "items", items);
	json_object_set_new(root, "hasMore", json_boolean(i < n));
	json_object_set_new(root, "endOffset",
			    json_integer((json_int_t)p->count));
	a->status = 200;
	a->body = json_dumps(root, JSON_COMPACT);
	a->len = strlen(a->body);
	json_decref(root);
	free(all);
}

/* Distributes the partitions evenly, in the order in which members joined. */
static void deal(void)
{
	size_t i;

	generation++;
	for (i = 0; i < PARTITIONS; i++) {
		const char *to =
			member_count ? members[i * member_count / PARTITIONS].name
				     : "";

		if (!strcmp(target[i], to))
			continue;
		if (holder[i][0] && !strcmp(holder[i], target[i]))
			taken_at[i] = generation;
		strcpy(target[i], to);
	}
}

static void remove_member(size_t at)
{
	size_t i;

	for (i = 0; i < PARTITIONS; i++)
		if (!strcmp(holder[i], members[at].name))
			holder[i][0] = '\0';
	memmove(&members[at], &members[at + 1],
		(member_count - at - 1) * sizeof(members[0]));
	member_count--;
}

static void expire_members(void)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < member_count;)
		if (members[i].expires_ms <= now_ms()) {
			remove_member(i);
			changed = true;
		} else {
			i++;
		}
	if (changed)
		deal();
}

static struct member *find_member(const char *name)
{
	size_t i;

	for (i = 0; i < member_count; i++)
		if (!strcmp(members[i].name, name))
			return &members[i];
	return NULL;
}

static void do_join(const struct call *c, struct answer *a)
{
	json_t *j = json_loadb(c->body, c->len, 0, NULL);
	const char *name = json_string_value(json_object_get(j, "member"));
	uint64_t given = (uint64_t)json_integer_value(
		json_object_get(j, "generation"));
	const char *topic = json_string_value(
		json_array_get(json_object_get(j, "topics"), 0));
	json_t *root = json_object(), *parts = json_array();
	struct member *m;
	size_t i;

	expire_members();
	m = find_member(name);
	if (!m) {
		m = &members[member_count++];
		memset(m, 0, sizeof(*m));
		snprintf(m->name, sizeof(m->name), "%s", name);
		deal();
	}
	m->expires_ms =
		now_ms() + json_integer_value(json_object_get(j, "ttlMs"));
	for (i = 0; i < PARTITIONS; i++) {
		/* The holder gives a partition up by a join that names the
		 * generation which took it. */
		if (!strcmp(holder[i], name) && strcmp(target[i], name) &&
		    given >= taken_at[i])
			holder[i][0] = '\0';
		if (!holder[i][0] && !strcmp(target[i], name))
			strcpy(holder[i], name);
		if (!strcmp(holder[i], name) && !strcmp(target[i], name))
			json_array_append_new(
				parts, json_pack("[s,i,i]", topic, (int)i, 0));
	}
	json_object_set_new(root, "generation",
			    json_integer((json_int_t)generation));
	json_object_set_new(root, "parts", parts);
	a->status = 200;
	a->body = json_dumps(root, JSON_COMPACT);
	a->len = strlen(a->body);
	json_decref(root);
	json_decref(j);
}

static void do_leave(const struct call *c, struct answer *a)
{
	json_t *j = json_loadb(c->body, c->len, 0, NULL);
	const char *name = json_string_value(json_object_get(j, "member"));
	struct member *m = name ? find_member(name) : NULL;

	if (m) {
		remove_member((size_t)(m - members));
		deal();
	}
	json_decref(j);
	answer_text(a, 200, "{}");
}

static bool begin_outage(const struct call *c)
{
	if (!outage_armed_ms || strcmp(c->path, "/api/log-append") ||
	    !strstr(c->query, "keyed.jobs") || !brings_job(c->body, c->len))
		return false;
	outage_began_ms = now_ms();
	outage_until_ms = outage_began_ms + outage_armed_ms;
	outage_armed_ms = 0;
	return true;
}

static void handle(void *ctx, const struct call *c, struct answer *a)
{
	bool lost;

	(void)ctx;
	sleep_ms(ANSWER_MS);
	pthread_mutex_lock(&world_lock);
	if (now_ms() < outage_until_ms) {
		answer_text(a, 503, "{}");
		pthread_mutex_unlock(&world_lock);
		return;
	}
	lost = begin_outage(c);
	if (!strcmp(c->path, "/api/log-append"))
		do_append(c, a);
	else if (!strcmp(c->path, "/api/log-read"))
		do_read(c, a);
	else if (!strcmp(c->path, "/api/log-newest"))
		do_newest(c, a);
	else if (!strcmp(c->path, "/api/log-join"))
		do_join(c, a);
	else if (!strcmp(c->path, "/api/log-leave"))
		do_leave(c, a);
	else
		answer_text(a, 404, "{}");
	if (lost) {
		record("outage begins: carried out, answer lost: %s?%s "
		       "(%zu bytes, would have been %d)",
		       c->path, c->query, c->len, a->status);
		server_reset(&server, false);
		pthread_cond_broadcast(&world_changed);
	}
	pthread_mutex_unlock(&world_lock);
}

bool store_start(const char *ip)
{
	if (!server_start(&server, ip, handle, NULL))
		return false;
	snprintf(store_address, sizeof(store_address), "%s:%d", ip,
		 server.port);
	return true;
}

/* The caller holds world_lock. */
void store_put(const char *topic, const char *key, const char *value)
{
	size_t n = strlen(key), len = 1 + n + (value ? strlen(value) : 0);
	char *data = malloc(len + 1);

	data[0] = (char)n;
	memcpy(data + 1, key, n);
	if (value)
		strcpy(data + 1 + n, value);
	add(partition_of(topic, 0), data, (uint32_t)len);
	free(data);
	pthread_cond_broadcast(&world_changed);
}

void store_arm_outage(int64_t ms)
{
	pthread_mutex_lock(&world_lock);
	outage_armed_ms = ms;
	outage_began_ms = 0;
	pthread_mutex_unlock(&world_lock);
}

int64_t store_outage_began(void)
{
	int64_t ms;

	pthread_mutex_lock(&world_lock);
	ms = outage_began_ms;
	pthread_mutex_unlock(&world_lock);
	return ms;
}

bool store_is_down(void)
{
	return now_ms() < outage_until_ms;
}

bool store_has_key(const char *topic, const char *key)
{
	const struct partition *p;
	struct newest *all;
	bool found = false;
	size_t n, i;

	pthread_mutex_lock(&world_lock);
	p = partition_of(topic, 0);
	all = newest_of(p, &n);
	for (i = 0; i < n; i++)
		found |= !strcmp(all[i].key, key);
	free(all);
	pthread_mutex_unlock(&world_lock);
	return found;
}
