#include "core/sched_internal.h"

#include <inttypes.h>

void sched_step_down(struct sched *s, struct shard *sh, const char *reason)
{
	struct worker *w;

	if (sh->state == SHARD_OWNED || sh->state == SHARD_RELEASING)
		sched_event(s, "shard_left", 0, 0, "%s: %s", sh->name, reason);
	sched_set_state(s, sh, SHARD_IDLE);
	sh->reassigned_ms = 0;
	if (sh->kind == SHARD_RACK) {
		CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id),
				 rack_link) {
			worker_reset(&s->workers, w);
		}
		return;
	}
	job_table_clear(&sh->jobs);
	ledger_init(&sh->ledger, true);
	stream_discard(sh->stream);
	sh->stream->next = 0;
	sh->stream->caught_up = false;
	sh->stream->poll_ms = 0;
	sh->stream->read_due_ms = 0;
	sh->stream->reading = false;
	memset(&sh->claim, 0, sizeof(sh->claim));
}

static void acquire_shard(struct sched *s, struct shard *sh)
{
	sched_set_state(s, sh, SHARD_OWNED);
	sh->owned_ms = s->now_ms;
	sh->marked_ms = s->now_ms;
	sh->reassigned_ms = 0;
	sched_count(s, COUNTER_CLAIMS, 1);
	sched_event(s, "shard_taken", 0, 0, "%s epoch %" PRIu64, sh->name,
		    sh->claim.epoch);
	sh->billed_ms = s->now_ms;
	if (sh->kind == SHARD_RACK) {
		sched_rack_acquired(s, sh);
		return;
	}
	sh->stream->epoch = sh->claim.epoch;
	sched_jobs_acquired(s, sh);
}

static void on_claim_won(struct sched *s, struct shard *sh,
			 const struct record *r)
{
	struct claim won = sh->claim;

	if (sh->state == SHARD_OWNED || sh->state == SHARD_RELEASING) {
		sched_step_down(s, sh, "claimed by another");
		sh->claim_backoff_until_ms = s->now_ms + SCHED_CLAIM_BACKOFF_MS;
		if (sh->kind == SHARD_JOBS)
			return;
		sh->claim = won;
	}
	if (r->owner == s->opts.incarnation && sh->state == SHARD_CLAIMING)
		acquire_shard(s, sh);
}

static void on_claim_void(struct sched *s, struct shard *sh,
			  const struct record *r)
{
	/* A duplicate of the winning claim does not count as lost. */
	if (r->kind != RECORD_CLAIM || r->owner != s->opts.incarnation ||
	    sh->claim.owner == r->owner || sh->state != SHARD_CLAIMING)
		return;
	sched_count(s, COUNTER_CLAIMS_LOST, 1);
	sched_step_down(s, sh, "claim lost");
	sh->claim_backoff_until_ms = s->now_ms + SCHED_CLAIM_BACKOFF_MS;
}

static void apply_claim_record(struct sched *s, const struct record *r)
{
	struct shard *sh = sched_shard(s, r->shard);

	if (!sh)
		return;
	switch (claim_apply(&sh->claim, r)) {
	case CLAIM_WON:
		on_claim_won(s, sh, r);
		break;
	case CLAIM_VOID:
		on_claim_void(s, sh, r);
		break;
	case CLAIM_RELEASED:
		if (sh->state == SHARD_RELEASING &&
		    r->owner == s->opts.incarnation)
			sched_step_down(s, sh, "released");
		break;
	case CLAIM_MARKED:
		break;
	}
}

static void apply_job_record(struct sched *s, struct shard *sh,
			     const struct record *r)
{
	struct job *j = job_table_apply(&sh->jobs, r);

	if (j || r->kind == RECORD_BILL)
		ledger_apply(&sh->ledger, &s->config, r);
	if (j && sh->state == SHARD_OWNED)
		sched_job_applied(s, sh, j, r);
}

static void apply_batch(struct sched *s, struct stream *st,
			const struct batch *b)
{
	struct shard *sh = sched_shard(s, name_hash(st->name));
	const struct record *r = b->records.items;
	bool batch_checked = false, batch_accepted = false;
	size_t i;

	if (b->writer == s->opts.incarnation)
		stream_confirm(st, b);
	for (i = 0; i < b->records.count; i++) {
		if (is_ownership_record(&r[i])) {
			apply_claim_record(s, &r[i]);
			continue;
		}
		if (!sh)
			continue;
		if (!batch_checked) {
			batch_accepted =
				claim_accept_batch(&sh->claim, b) ||
				!sched_has_protection(s, PROTECT_EPOCH);
			batch_checked = true;
		}
		if (batch_accepted)
			apply_job_record(s, sh, &r[i]);
	}
}

void sched_load_shard_stream(void *ctx, struct stream *st,
			     const struct log_read *r)
{
	struct sched *s = ctx;
	struct shard *sh;
	size_t i;

	if (r->first > st->next) {
		st->next = r->first;
		sh = sched_shard(s, name_hash(st->name));
		if (sh)
			sh->ledger.complete = false;
	}
	for (i = 0; i < r->count; i++) {
		struct arena a;
		struct batch b;

		if (r->entries[i].offset != st->next)
			continue;
		st->next++;
		arena_init(&a);
		if (!batch_read(r->entries[i].body, &b, &a))
			apply_batch(s, st, &b);
		arena_finish(&a);
		/* sched_step_down() has reset the stream to its start. */
		if (!st->next)
			return;
	}
}

void sched_shard_caught_up(void *ctx, struct stream *st)
{
	struct sched *s = ctx;
	struct shard *sh = sched_shard(s, name_hash(st->name));

	if (!sh || sh->state != SHARD_FOLLOWING)
		return;
	if (sched_owner_is_alive(s, sh) ||
	    sched_log_freshness(s) != FRESHNESS_CURRENT)
		return;
	sched_start_claim(s, sh);
}
