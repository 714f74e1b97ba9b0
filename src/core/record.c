#include "core/record.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#define R(kind, member) FIELD_OF(kind, record, member)
#define B(type, name, field)                                            \
	{                                                               \
		name, FIELD_##type, offsetof(struct batch, field), NULL \
	}

static const struct field record_rows[] = {
	R(U32, kind),    R(U64, shard),       R(U64, epoch),
	R(U64, owner),   R(NAME, name),       R(U64, job),
	R(U32, attempt), R(U64, worker),      R(U64, rack),
	R(U64, boot),    R(U32, state),       R(U32, reason),
	R(U32, verdict), R(U32, failures),    R(U32, open),
	R(U32, done),    R(U64, progress),    R(U64, cpu_ms),
	R(I64, at_ms),   R(I64, deadline_ms), R(I64, done_at_ms),
	R(U64, digest),  R(NAME, service),    R(NAME, key),
	R(STR, payload), R(STR, result),
};

const struct shape record_shape = {record_rows,
				   sizeof(record_rows) / sizeof(record_rows[0]),
				   sizeof(struct record)};

static const struct field batch_rows[] = {
	B(U64, "w", writer),
	B(U64, "s", seq),
	B(U64, "e", epoch),
	{"r", FIELD_LIST, offsetof(struct batch, records), &record_shape},
};

static const struct shape batch_shape = {batch_rows,
					 sizeof(batch_rows) /
						 sizeof(batch_rows[0]),
					 sizeof(struct batch)};

const char *record_kind_name(uint32_t kind)
{
	static const char *const names[] = {
		[RECORD_NONE] = "none",       [RECORD_CLAIM] = "claim",
		[RECORD_RELEASE] = "release", [RECORD_ACCEPT] = "accept",
		[RECORD_START] = "start",     [RECORD_OVER] = "over",
		[RECORD_FINISH] = "finish",   [RECORD_MARK] = "mark",
		[RECORD_JOB] = "job",         [RECORD_BILL] = "bill",
	};

	return kind < RECORD_KIND_MAX ? names[kind] : "unknown";
}

void record_write(const struct record *r, struct buf *out)
{
	json_t *j = shape_to_json(&record_shape, r);
	char *text = json_dumps(j, JSON_COMPACT);

	if (text)
		buf_adds(out, text);
	free(text);
	json_decref(j);
}

void batch_write(const struct batch *b, struct str records, struct buf *out)
{
	buf_addf(out,
		 "{\"w\":%" PRId64 ",\"s\":%" PRIu64 ",\"e\":%" PRIu64
		 ",\"r\":[",
		 (int64_t)b->writer, b->seq, b->epoch);
	buf_add(out, records.data, records.len);
	buf_adds(out, "]}");
}

int batch_read(struct str text, struct batch *b, struct arena *a)
{
	json_t *j = json_loadb(text.data, text.len, 0, NULL);
	int err;

	memset(b, 0, sizeof(*b));
	if (!j)
		return -EBADMSG;
	err = shape_from_json(&batch_shape, j, b, a);
	json_decref(j);
	return err ? -EBADMSG : 0;
}
