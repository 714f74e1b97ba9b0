#include "standins/grid_store.h"

#include <arpa/inet.h>
#include <b64/cencode.h>
#include <endian.h>
#include <stdio.h>
#include <stdlib.h>

#define LENGTH_BYTES 4
#define BASE64_GROWTH 2

void grid_store_init(struct grid_store *s, uint32_t partitions_per_topic)
{
	memset(s, 0, sizeof(*s));
	index_init(&s->by_name);
	s->partitions_per_topic = partitions_per_topic;
}

static void partition_free(struct grid_partition *p)
{
	size_t i;

	for (i = 0; i < p->count; i++)
		buf_finish(&p->records[i].bytes);
	free(p->records);
	free(p);
}

void grid_store_finish(struct grid_store *s)
{
	while (s->partitions) {
		struct grid_partition *p = s->partitions;

		s->partitions = p->next;
		partition_free(p);
	}
	while (s->members) {
		struct grid_member *m = s->members;

		s->members = m->next;
		free(m);
	}
	index_finish(&s->by_name);
}

struct grid_partition *grid_store_partition(struct grid_store *s,
					    const char *topic, uint32_t part)
{
	char name[NAME_SIZE * 2];
	struct grid_partition *p;

	snprintf(name, sizeof(name), "%s/%u", topic, part);
	p = index_get(&s->by_name, name_hash(name));
	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	snprintf(p->name, sizeof(p->name), "%s", name);
	p->next = s->partitions;
	s->partitions = p;
	index_put(&s->by_name, name_hash(name), p);
	return p;
}

static uint32_t read_length(const char *p)
{
	uint32_t n;

	memcpy(&n, p, sizeof(n));
	return ntohl(n);
}

static bool is_length_prefixed(struct str body)
{
	while (body.len) {
		uint32_t n;

		if (body.len < LENGTH_BYTES)
			return false;
		n = read_length(body.data);
		if (body.len - LENGTH_BYTES < n)
			return false;
		body.data += LENGTH_BYTES + n;
		body.len -= LENGTH_BYTES + n;
	}
	return true;
}

static void add_record(struct grid_partition *p, const char *data, size_t len,
		       int64_t now_ms)
{
	if (p->count == p->cap) {
		p->cap = p->cap ? p->cap * 2 : 64;
		p->records = xrealloc(p->records, p->cap * sizeof(*p->records));
	}
	p->records[p->count].stored_ms = now_ms;
	buf_init(&p->records[p->count].bytes);
	buf_add(&p->records[p->count++].bytes, data, len);
}

enum grid_status grid_partition_append(struct grid_partition *p,
				       struct str body, bool has_seq,
				       uint64_t epoch, uint64_t seq,
				       int64_t now_ms, uint64_t *first)
{
	if (!is_length_prefixed(body))
		return GRID_BAD_BODY;
	if (has_seq && epoch < p->epoch)
		return GRID_FENCED;
	if (has_seq && epoch == p->epoch && seq == p->seq && body.len) {
		*first = p->last_append_offset;
		return GRID_OK;
	}
	if (has_seq && epoch == p->epoch && seq != p->seq + 1) {
		*first = p->seq + 1;
		return GRID_BAD_SEQ;
	}
	*first = p->count;
	if (has_seq) {
		p->epoch = epoch;
		p->seq = seq;
		p->last_append_offset = p->count;
	}
	while (body.len) {
		uint32_t n = read_length(body.data);

		add_record(p, body.data + LENGTH_BYTES, n, now_ms);
		body.data += LENGTH_BYTES + n;
		body.len -= LENGTH_BYTES + n;
	}
	return GRID_OK;
}

void grid_partition_expire(struct grid_partition *p, int64_t stored_before_ms)
{
	while (p->first < p->count &&
	       p->records[p->first].stored_ms < stored_before_ms)
		p->first++;
}

void grid_partition_read(const struct grid_partition *p, uint64_t from,
			 struct buf *out)
{
	uint64_t head[2] = {htobe64(p->count), htobe64(p->first)};
	uint64_t i;

	buf_add(out, head, sizeof(head));
	for (i = from; i < p->count; i++) {
		uint32_t n = htonl((uint32_t)p->records[i].bytes.len);

		buf_add(out, &n, sizeof(n));
		buf_add(out, p->records[i].bytes.data, p->records[i].bytes.len);
	}
}

/* Return: the key, or an empty one for a record that does not hold its key. */
static struct str record_key(const struct grid_record *r)
{
	struct str k = {r->bytes.data, 0};
	size_t len;

	if (!r->bytes.len)
		return k;
	len = (unsigned char)r->bytes.data[0];
	if (1 + len > r->bytes.len)
		return k;
	k.data++;
	k.len = len;
	return k;
}

/* Escapes what a JSON string cannot hold; bytes that are no UTF-8 stay. */
static void add_escaped(struct str s, struct buf *out)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if (c < ' ' || c == '"' || c == '\\')
			buf_addf(out, "\\u%04x", c);
		else
			buf_add(out, &s.data[i], 1);
	}
}

/* libb64 breaks its output into lines, which a JSON string cannot hold. */
static int remove_newlines(char *text, int len)
{
	int i, n = 0;

	for (i = 0; i < len; i++)
		if (text[i] != '\n')
			text[n++] = text[i];
	return n;
}

static void add_newest(const struct grid_record *r, size_t offset,
		       struct buf *out)
{
	struct str key = record_key(r);
	size_t len = r->bytes.len - 1 - key.len;
	char *text = xcalloc(len * BASE64_GROWTH + 8, 1);
	base64_encodestate state;
	int n;

	base64_init_encodestate(&state);
	n = base64_encode_block(key.data + key.len, (int)len, text, &state);
	n += base64_encode_blockend(text + n, &state);
	n = remove_newlines(text, n);
	buf_adds(out, out->data[out->len - 1] == '[' ? "{\"key\":\""
						     : ",{\"key\":\"");
	add_escaped(key, out);
	buf_addf(out, "\",\"value\":\"%.*s\",\"offset\":%zu}", n, text, offset);
	free(text);
}

static int key_cmp(struct str a, struct str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int d = n ? memcmp(a.data, b.data, n) : 0;

	return d ? d : (a.len > b.len) - (a.len < b.len);
}

static int record_cmp(const void *a, const void *b)
{
	return key_cmp(record_key(*(const struct grid_record *const *)a),
		       record_key(*(const struct grid_record *const *)b));
}

/* Return: number of records in @out, the newest of each key, by key. */
static size_t list_newest(const struct grid_partition *p, struct str after,
			  const struct grid_record **out)
{
	struct index newest;
	size_t n = 0, i;

	index_init(&newest);
	for (i = 0; i < p->count; i++)
		index_put(&newest, bytes_hash(record_key(&p->records[i])),
			  &p->records[i]);
	for (i = 0; i < p->count; i++) {
		const struct grid_record *r = &p->records[i];
		struct str key = record_key(r);

		if (index_get(&newest, bytes_hash(key)) == r &&
		    r->bytes.len > 1 + key.len &&
		    (!after.len || key_cmp(key, after) > 0))
			out[n++] = r;
	}
	index_finish(&newest);
	if (n)
		qsort(out, n, sizeof(*out), record_cmp);
	return n;
}

void grid_partition_newest(const struct grid_partition *p, struct str after,
			   size_t page, struct buf *out)
{
	const struct grid_record **rows = xcalloc(p->count + 1, sizeof(*rows));
	size_t n = list_newest(p, after, rows), i;
	bool has_more = page && n > page;

	if (has_more)
		n = page;
	buf_adds(out, "{\"items\":[");
	for (i = 0; i < n; i++)
		add_newest(rows[i], (size_t)(rows[i] - p->records), out);
	buf_addf(out, "],\"hasMore\":%s,\"endOffset\":%zu}",
		 has_more ? "true" : "false", p->count);
	free(rows);
}

static void expire_members(struct grid_store *s, int64_t now_ms)
{
	struct grid_member **at = &s->members;

	while (*at) {
		struct grid_member *m = *at;

		if (m->expires_at_ms > now_ms) {
			at = &m->next;
			continue;
		}
		*at = m->next;
		free(m);
		s->generation++;
	}
}

void grid_store_join(struct grid_store *s, const char *member, int64_t now_ms,
		     int64_t ttl_ms, uint64_t *assigned)
{
	struct grid_member **at, *m;
	uint32_t position = 0, count = 0, i;

	expire_members(s, now_ms);
	for (at = &s->members; *at && strcmp((*at)->name, member);
	     at = &(*at)->next)
		position++;
	if (!*at) {
		*at = xcalloc(1, sizeof(**at));
		name_set((*at)->name, member);
		s->generation++;
	}
	(*at)->expires_at_ms = now_ms + ttl_ms;
	for (m = s->members; m; m = m->next)
		count++;
	*assigned = 0;
	for (i = 0; i < s->partitions_per_topic; i++)
		if (i % count == position)
			*assigned |= 1ULL << i;
}

void grid_store_leave(struct grid_store *s, const char *member)
{
	struct grid_member **at = &s->members, *m;

	while (*at && strcmp((*at)->name, member))
		at = &(*at)->next;
	if (!*at)
		return;
	m = *at;
	*at = m->next;
	free(m);
	s->generation++;
}
