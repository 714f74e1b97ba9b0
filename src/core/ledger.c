#include "core/ledger.h"

#include <errno.h>

#define UNKNOWN_OWNER "(unknown)"

void ledger_init(struct ledger *l, bool complete)
{
	memset(l, 0, sizeof(*l));
	l->complete = complete;
}

static struct ledger_line *get_line(struct ledger *l, const char *owner)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		if (!strcmp(l->lines[i].owner, owner))
			return &l->lines[i];
	if (l->count == LEDGER_OWNERS_MAX)
		return &l->lines[LEDGER_OWNERS_MAX - 1];
	name_set(l->lines[l->count].owner, owner);
	return &l->lines[l->count++];
}

static int apply_bill(struct ledger *l, const struct record *r)
{
	struct ledger_line *line = get_line(l, r->name);

	/* With entries missing, the totals cannot be checked: adopt them. */
	if (l->complete)
		return line->cpu_ms == r->cpu_ms && line->attempts == r->digest
			       ? 0
			       : -EBADMSG;
	line->cpu_ms = r->cpu_ms;
	line->attempts = r->digest;
	return 0;
}

int ledger_apply(struct ledger *l, const struct config *cfg,
		 const struct record *r)
{
	const struct document *d;
	struct ledger_line *line;

	if (r->kind == RECORD_BILL)
		return apply_bill(l, r);
	if (r->kind != RECORD_OVER && r->kind != RECORD_FINISH)
		return 0;
	d = config_get(cfg, DOCUMENT_SERVICE, r->service);
	line = get_line(l, d ? d->service.owner : UNKNOWN_OWNER);
	line->attempts += r->attempt > 0;
	line->cpu_ms += r->cpu_ms;
	return 0;
}

static void note_mismatch(const struct ledger *l, const struct record *r,
			  uint64_t offset, struct ledger_mismatch *m)
{
	size_t i;

	if (m->found)
		return;
	m->found = true;
	m->offset = offset;
	m->stated_ms = r->cpu_ms;
	name_set(m->owner, r->name);
	for (i = 0; i < l->count; i++)
		if (!strcmp(l->lines[i].owner, r->name))
			m->computed_ms = l->lines[i].cpu_ms;
}

struct stream_reader {
	struct claim claim;
	struct job_table jobs;
};

static void apply_batch(struct ledger *l, const struct config *cfg,
			struct stream_reader *s, const struct batch *b,
			uint64_t offset, struct ledger_mismatch *m)
{
	const struct record *r = b->records.items;
	bool batch_accepted = false, batch_checked = false;
	size_t i;

	for (i = 0; i < b->records.count; i++) {
		if (is_ownership_record(&r[i])) {
			claim_apply(&s->claim, &r[i]);
			continue;
		}
		if (!batch_checked)
			batch_accepted = claim_accept_batch(&s->claim, b);
		batch_checked = true;
		/* The job table rejects a duplicate record. */
		if (!batch_accepted || (r[i].kind != RECORD_BILL &&
					!job_table_apply(&s->jobs, &r[i])))
			continue;
		if (ledger_apply(l, cfg, &r[i]))
			note_mismatch(l, &r[i], offset, m);
	}
}

void ledger_replay(struct ledger *l, const struct config *cfg,
		   const struct log_read *r, struct ledger_mismatch *m)
{
	struct stream_reader s = {0};
	size_t i;

	l->complete = r->first == 0;
	job_table_init(&s.jobs);
	for (i = 0; i < r->count; i++) {
		struct arena a;
		struct batch b;

		arena_init(&a);
		if (!batch_read(r->entries[i].body, &b, &a))
			apply_batch(l, cfg, &s, &b, r->entries[i].offset, m);
		arena_finish(&a);
	}
	job_table_finish(&s.jobs);
}

void ledger_add(struct ledger *l, const struct ledger *other)
{
	size_t i;

	for (i = 0; i < other->count; i++) {
		struct ledger_line *line = get_line(l, other->lines[i].owner);

		line->attempts += other->lines[i].attempts;
		line->cpu_ms += other->lines[i].cpu_ms;
	}
}
