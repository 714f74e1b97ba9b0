#include "standins/world_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define LOG_DELAY_MS 5
#define LATE_MS 4000
#define RETENTION_MS 45000

/* Return: the stream, created if it is missing. */
static struct world_stream *stream_get(struct world *w, const char *name)
{
	size_t i;

	for (i = 0; i < w->stream_count; i++)
		if (!strcmp(w->streams[i].name, name))
			return &w->streams[i];
	name_set(w->streams[w->stream_count].name, name);
	return &w->streams[w->stream_count++];
}

static void expire_entries(struct world *w, struct world_stream *s)
{
	size_t n = 0;

	while (n < s->count && s->entries[n].at_ms < w->now_ms - RETENTION_MS)
		buf_finish(&s->entries[n++].text);
	if (!n)
		return;
	memmove(s->entries, s->entries + n,
		(s->count - n) * sizeof(*s->entries));
	s->count -= n;
	s->first += n;
}

static void record_zone_state(struct world *w, int zone, bool out)
{
	struct world_outage *last = NULL;
	size_t i;

	for (i = 0; i < w->outage_count; i++)
		if (w->outages[i].zone == zone)
			last = &w->outages[i];
	if (last && last->to_ms == INT64_MAX) {
		if (!out)
			last->to_ms = w->now_ms;
		return;
	}
	if (!out || w->outage_count == WORLD_OUTAGES_MAX)
		return;
	last = &w->outages[w->outage_count++];
	last->zone = zone;
	last->from_ms = w->now_ms;
	last->to_ms = INT64_MAX;
}

/* Records a zone document if it is accepted: its version is the next one. */
static void record_zone_document(struct world *w, struct str body)
{
	struct document d;
	int z;

	if (document_parse(&d, body, NULL))
		return;
	if (d.kind == DOCUMENT_ZONE) {
		z = d.name[1] - '0';
		if (d.version == w->zone_version[z] + 1) {
			w->zone_version[z] = d.version;
			w->zone_out[z] = d.zone.is_out;
			record_zone_state(w, z, d.zone.is_out);
		}
	}
	document_finish(&d);
}

void world_log_apply(struct world *w, const char *stream, struct str body)
{
	struct world_stream *s = stream_get(w, stream);
	struct world_log_entry *e;

	s->entries = xrealloc(s->entries, (s->count + 1) * sizeof(*s->entries));
	e = &s->entries[s->count++];
	buf_init(&e->text);
	buf_add(&e->text, body.data, body.len);
	e->at_ms = w->now_ms;
	if (strcmp(stream, CONFIG_STREAM))
		return;
	record_zone_document(w, body);
	if (strstr(e->text.data, "\"snapshot\"") && !w->old_snapshot.len)
		buf_add(&w->old_snapshot, body.data, body.len);
}

static int log_site(const char *stream, bool append)
{
	int base = append ? SITE_APPEND_CONFIG : SITE_READ_CONFIG;

	if (!strcmp(stream, CONFIG_STREAM))
		return base;
	return base + (strncmp(stream, "claims", 6) ? 2 : 1);
}

static bool can_reach_log(const struct world *w, const struct world_node *n)
{
	return w->now_ms >= w->cut_until_ms[n->zone] &&
	       w->now_ms >= w->log_silent_until_ms;
}

static void schedule_append(struct world_node *n, int64_t delay_ms,
			    const char *stream, struct str body)
{
	struct world *w = n->world;
	struct world_event *e = world_schedule(w, w->now_ms + delay_ms,
					       EVENT_LOG_APPLY, n->index);

	name_set(e->stream, stream);
	buf_add(&e->data, body.data, body.len);
}

static void schedule_append_reply(struct world_node *n, uint64_t token,
				  enum log_status status, uint64_t offset)
{
	struct world *w = n->world;
	struct world_event *e = world_schedule(w, w->now_ms + LOG_DELAY_MS,
					       EVENT_APPEND_DONE, n->index);

	e->token = token;
	e->offset = offset;
	e->value = (int)status;
	e->incarnation = n->incarnation;
}

void world_log_append(struct world_node *n, uint64_t token, const char *stream,
		      struct str body)
{
	struct world *w = n->world;
	enum fault f = FAULT_MAX;
	struct world_stream *s;

	if (world_count_step(w, log_site(stream, true), &f) &&
	    f >= FAULT_KILLED)
		world_inject_fault(w, n, f, -1);
	if (!can_reach_log(w, n) || f == FAULT_LOST_BEFORE)
		return;
	if (w->now_ms < w->log_down_until_ms) {
		schedule_append_reply(n, token, LOG_REFUSED, 0);
		return;
	}
	if (f == FAULT_LATE || f == FAULT_CROSSED) {
		schedule_append(n,
				f == FAULT_LATE ? LATE_MS : LOG_DELAY_MS * 20,
				stream, body);
		return;
	}
	if (f == FAULT_DOUBLED)
		schedule_append(n, LATE_MS, stream, body);
	world_log_apply(w, stream, body);
	s = stream_get(w, stream);
	if (f != FAULT_LOST_AFTER)
		schedule_append_reply(n, token, LOG_OK,
				      s->first + s->count - 1);
}

void world_log_read(struct world_node *n, uint64_t token, const char *stream,
		    uint64_t from)
{
	struct world *w = n->world;
	enum fault f = FAULT_MAX;
	struct world_event *e;
	int64_t delay = LOG_DELAY_MS;

	if (world_count_step(w, log_site(stream, false), &f) &&
	    f >= FAULT_KILLED)
		world_inject_fault(w, n, f, -1);
	if (!can_reach_log(w, n) || f == FAULT_LOST_BEFORE ||
	    f == FAULT_LOST_AFTER)
		return;
	if (f == FAULT_LATE)
		delay = LATE_MS;
	else if (f == FAULT_CROSSED)
		delay = LOG_DELAY_MS * 20;
	e = world_schedule(w, w->now_ms + delay, EVENT_READ_DONE, n->index);
	e->token = token;
	e->incarnation = n->incarnation;
	e->value = (int)from;
	name_set(e->stream, stream);
}

void world_log_deliver_read(struct world_node *n, const struct world_event *e)
{
	struct world *w = n->world;
	struct world_stream *s = stream_get(w, e->stream);
	uint64_t from = (uint64_t)e->value;
	struct log_entry *list;
	struct log_read r = {0};
	size_t i;

	expire_entries(w, s);
	r.first = s->first;
	r.head = s->first + s->count;
	list = xcalloc(s->count, sizeof(*list));
	if (w->now_ms < w->log_down_until_ms) {
		r.status = LOG_REFUSED;
	} else {
		for (i = from > s->first ? from - s->first : 0; i < s->count;
		     i++) {
			list[r.count].offset = s->first + i;
			list[r.count].body.data = s->entries[i].text.data;
			list[r.count].body.len = s->entries[i].text.len;
			r.count++;
		}
	}
	r.entries = list;
	if (n->kind == NODE_SCHEDD)
		sched_on_read(&n->sched, w->now_ms, e->token, &r);
	else
		entry_on_read(&n->entry, w->now_ms, e->token, &r);
	free(list);
}

void world_publish(struct world *w, const char *text)
{
	world_log_apply(w, CONFIG_STREAM, str_of(text));
}

static void publish_zone_version(struct world *w, int zone, const char *state,
				 uint64_t version)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "{\"kind\":\"zone\",\"name\":\"z%d\",\"version\":%" PRIu64
		 ",\"region\":\"r\",\"state\":\"%s\",\"racks\":[\"a\"]}",
		 zone, version, state);
	world_publish(w, text);
}

void world_publish_zone(struct world *w, int zone, const char *state)
{
	publish_zone_version(w, zone, state, w->zone_version[zone] + 1);
}

/*
 * Two operators publish different states under the same version; the first
 * document in the log takes effect.
 */
void world_publish_conflict(struct world *w, int zone)
{
	uint64_t next = w->zone_version[zone] + 1;
	bool out = w->zone_out[zone];

	publish_zone_version(w, zone, out ? "out" : "in", next);
	publish_zone_version(w, zone, out ? "in" : "out", next);
}

void world_log_finish(struct world *w)
{
	size_t i, k;

	for (i = 0; i < w->stream_count; i++) {
		for (k = 0; k < w->streams[i].count; k++)
			buf_finish(&w->streams[i].entries[k].text);
		free(w->streams[i].entries);
	}
	buf_finish(&w->old_snapshot);
}
