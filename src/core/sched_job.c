#include "core/sched_internal.h"

#include <errno.h>
#include <stdlib.h>

/* Number of refused submits that the owner of one job shard keeps. */
#define REFUSED_MAX 16384

const struct service_doc *sched_service(const struct sched *s, const char *name)
{
	const struct document *d =
		config_get(&s->config, DOCUMENT_SERVICE, name);

	return d ? &d->service : NULL;
}

void sched_put_record(struct sched *s, struct shard *sh, struct record *r)
{
	r->at_ms = r->at_ms ? r->at_ms : sched_wall_ms(s);
	stream_add_record(sh->stream, s->now_ms, r);
}

/* Answers to entry hosts */

void sched_send_answer(struct sched *s, const struct job *j, uint64_t host,
		       uint64_t corr, enum verdict v, enum reason reason,
		       struct str result)
{
	struct msg m = {0};

	m.kind = MSG_ANSWER;
	m.corr = corr;
	m.job = j->id;
	m.attempt = j->attempt;
	m.verdict = v;
	m.reason = reason;
	m.result = result;
	sched_send(s, host, &m);
}

void sched_answer_waiters(struct sched *s, struct job *j, enum verdict v,
			  enum reason reason, struct str result)
{
	size_t i;

	for (i = 0; i < j->waiter_count; i++)
		sched_send_answer(s, j, j->waiters[i].host, j->waiters[i].corr,
				  v, reason, result);
	j->waiter_count = 0;
}

static void refuse(struct sched *s, const struct msg *m, enum reason reason)
{
	struct job j = {.id = m->job};
	struct str none = {NULL, 0};

	sched_send_answer(s, &j, m->from, m->corr, VERDICT_NOT_RUN, reason,
			  none);
}

/*
 * Stores a refused submit. A duplicate of it may arrive late, and must not
 * be accepted after the submit was answered as not run. A duplicate that names
 * an older epoch is dropped in any case.
 */
static void add_refusal(struct shard *sh, uint64_t host, uint64_t corr)
{
	uint64_t id = attempt_id(host ^ corr, 1);
	uint64_t *oldest;

	if (!sh->refused_ring)
		sh->refused_ring = xcalloc(REFUSED_MAX, sizeof(uint64_t));
	oldest = &sh->refused_ring[sh->refused_next++ % REFUSED_MAX];
	if (*oldest)
		index_remove(&sh->refused, *oldest);
	*oldest = id;
	index_put(&sh->refused, id, sh);
}

static bool was_refused(const struct shard *sh, const struct msg *m)
{
	return index_get(&sh->refused, attempt_id(m->from ^ m->corr, 1));
}

/* Drops a job without a record, and answers its waiters with "not run". */
void sched_drop_unrecorded(struct sched *s, struct shard *sh, struct job *j,
			   enum reason reason)
{
	struct str none = {NULL, 0};
	size_t i;

	for (i = 0; i < j->waiter_count; i++)
		add_refusal(sh, j->waiters[i].host, j->waiters[i].corr);
	sched_answer_waiters(s, j, VERDICT_NOT_RUN, reason, none);
	job_table_remove(&sh->jobs, j);
}

static void send_accepted(struct sched *s, const struct job *j, uint64_t host,
			  uint64_t corr)
{
	struct msg m = {0};

	m.kind = MSG_ACCEPTED;
	m.corr = corr;
	m.job = j->id;
	sched_send(s, host, &m);
}

/* Admission */

/* The quota of a team is divided evenly among the region's job shards. */
static bool is_over_quota(const struct sched *s, const struct shard *sh,
			  const struct service_doc *doc)
{
	const struct document *team =
		config_get(&s->config, DOCUMENT_TEAM, doc->team);
	const struct document *region = config_service_region(&s->config, doc);
	uint32_t shards = region ? region->region.job_shards : 1;

	if (!team)
		return false;
	return job_table_team_open(&sh->jobs, name_hash(doc->team)) >=
	       (team->team.open_max + shards - 1) / shards;
}

static enum reason check_admission(const struct sched *s,
				   const struct shard *sh,
				   const struct service_doc *doc)
{
	if (!doc)
		return REASON_UNKNOWN_SERVICE;
	if (s->draining)
		return REASON_DRAINING;
	if (sh->jobs.active_count >= SCHED_QUEUE_MAX)
		return REASON_OVERLOAD;
	if (is_over_quota(s, sh, doc))
		return REASON_QUOTA;
	return REASON_NONE;
}

void sched_put_accept(struct sched *s, struct shard *sh, struct job *j)
{
	struct record r = {0};

	if (j->accept_appended || j->accepted)
		return;
	j->accept_appended = true;
	r.kind = RECORD_ACCEPT;
	r.job = j->id;
	r.deadline_ms = j->deadline_ms;
	r.digest = j->digest;
	r.payload = j->payload;
	name_set(r.service, j->service);
	name_set(r.key, j->key);
	sched_put_record(s, sh, &r);
}

static void answer_duplicate(struct sched *s, struct job *j,
			     const struct msg *m, uint64_t digest)
{
	if (strcmp(j->service, m->service) || strcmp(j->key, m->key) ||
	    j->digest != digest) {
		refuse(s, m, REASON_KEY_CONFLICT);
		return;
	}
	if (j->done) {
		sched_send_answer(s, j, m->from, m->corr,
				  (enum verdict)j->verdict,
				  (enum reason)j->reason, j->result);
		return;
	}
	if (j->answered_early) {
		sched_send_answer(s, j, m->from, m->corr, VERDICT_RAN,
				  REASON_NONE, j->result);
		return;
	}
	job_add_waiter(j, m->from, m->corr, s->now_ms + m->deadline_ms);
	if (j->accepted)
		send_accepted(s, j, m->from, m->corr);
}

void sched_on_submit(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->shard);
	const struct service_doc *doc = sched_service(s, m->service);
	uint64_t digest = bytes_hash(m->payload);
	uint64_t id = m->job;
	enum reason reason;
	struct job *j;

	if (!sh || sh->kind != SHARD_JOBS || sh->state != SHARD_OWNED ||
	    m->epoch != sh->claim.epoch)
		return;
	if (was_refused(sh, m)) {
		refuse(s, m, REASON_OVERLOAD);
		return;
	}
	j = job_table_get(&sh->jobs, id);
	if (j && !sched_has_protection(s, PROTECT_DEDUP)) {
		id = attempt_id(id, ++j->tries);
		j = NULL;
	}
	if (j) {
		answer_duplicate(s, j, m, digest);
		return;
	}
	reason = check_admission(s, sh, doc);
	if (reason != REASON_NONE) {
		add_refusal(sh, m->from, m->corr);
		refuse(s, m, reason);
		return;
	}
	j = job_table_add(&sh->jobs, id, m->service, m->key, m->payload);
	job_table_set_team(&sh->jobs, j, name_hash(doc->team));
	j->digest = digest;
	j->deadline_ms = sched_wall_ms(s) + m->deadline_ms;
	j->snapshot_ms = s->now_ms;
	job_add_waiter(j, m->from, m->corr, s->now_ms + m->deadline_ms);
	sched_event(s, "submitted", j->id, 0, "%s %s", j->service, j->key);
	sched_queue_job(s, j, 0);
	sched_place_job(s, sh, j);
}

void sched_on_cancel(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->shard);
	struct job *j;

	if (!sh || sh->kind != SHARD_JOBS || sh->state != SHARD_OWNED)
		return;
	j = job_table_get(&sh->jobs, m->job);
	if (!j) {
		refuse(s, m, REASON_UNKNOWN_JOB);
		return;
	}
	if (j->done) {
		sched_send_answer(s, j, m->from, m->corr,
				  (enum verdict)j->verdict,
				  (enum reason)j->reason, j->result);
		return;
	}
	job_add_waiter(j, m->from, m->corr, s->now_ms + m->deadline_ms);
	if (j->cancelled)
		return;
	j->cancelled = true;
	sched_event(s, "cancelled", j->id, j->attempt, "by the caller");
	if (j->phase == JOB_STARTING || j->phase == JOB_RUNNING) {
		sched_begin_stop(s, sh, j);
	} else if (!j->accepted && !j->accept_appended) {
		sched_drop_unrecorded(s, sh, j, REASON_CANCELLED);
	}
}

void sched_on_query(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->shard);
	struct str none = {NULL, 0};
	struct job *j;

	if (!sh || sh->kind != SHARD_JOBS || sh->state != SHARD_OWNED)
		return;
	j = job_table_get(&sh->jobs, m->job);
	if (!j)
		refuse(s, m, REASON_UNKNOWN_JOB);
	else if (j->done)
		sched_send_answer(s, j, m->from, m->corr,
				  (enum verdict)j->verdict,
				  (enum reason)j->reason, j->result);
	else
		sched_send_answer(s, j, m->from, m->corr, VERDICT_NONE,
				  REASON_NONE, none);
}

/* Records read back */

void sched_put_finish(struct sched *s, struct shard *sh, struct job *j,
		      enum verdict v, enum reason reason, struct str result,
		      uint64_t cpu_ms)
{
	struct record r = {0};

	r.kind = RECORD_FINISH;
	r.job = j->id;
	r.attempt = j->attempt;
	r.verdict = v;
	r.reason = reason;
	r.result = result;
	r.cpu_ms = cpu_ms;
	name_set(r.service, j->service);
	sched_put_record(s, sh, &r);
	j->phase = JOB_ENDING;
	j->due_ms = 0;
}

static void send_forget(struct sched *s, const struct job *j)
{
	struct shard *rack = sched_shard(s, j->rack);
	struct msg m = {0};

	m.kind = MSG_FORGET;
	m.rack = j->rack;
	m.job = j->id;
	m.attempt = j->attempt;
	m.worker = j->worker;
	if (rack && j->attempt)
		sched_send(s, sched_shard_host(s, rack), &m);
}

static void on_accepted(struct sched *s, struct job *j)
{
	size_t i;

	sched_count(s, COUNTER_ACCEPTED, 1);
	sched_event(s, "accepted", j->id, 0, "%s", j->service);
	for (i = 0; i < j->waiter_count; i++)
		send_accepted(s, j, j->waiters[i].host, j->waiters[i].corr);
}

void sched_job_applied(struct sched *s, struct shard *sh, struct job *j,
		       const struct record *r)
{
	switch (r->kind) {
	case RECORD_ACCEPT:
		on_accepted(s, j);
		break;
	case RECORD_JOB:
		break;
	case RECORD_START:
		j->phase = JOB_STARTING;
		j->tries = 0;
		if (j->cancelled)
			sched_begin_stop(s, sh, j);
		else
			sched_send_start(s, sh, j);
		break;
	case RECORD_OVER:
		sched_count(s, COUNTER_ATTEMPTS_OVER, 1);
		send_forget(s, j);
		sched_queue_job(s, j, r->failures ? SCHED_RESEND_MS : 0);
		break;
	case RECORD_FINISH:
		sched_count(s, COUNTER_FINISHES, 1);
		sched_event(s, "finished", j->id, j->attempt, "%s %s",
			    verdict_name((enum verdict)j->verdict),
			    reason_table[j->reason % REASON_MAX].name);
		send_forget(s, j);
		sched_answer_waiters(s, j, (enum verdict)j->verdict,
				     (enum reason)j->reason, j->result);
		break;
	default:
		break;
	}
}
