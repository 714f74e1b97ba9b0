#include "core/sched_internal.h"

#include <stdlib.h>

void sched_send_start(struct sched *s, struct shard *sh, struct job *j)
{
	const struct service_doc *doc = sched_service(s, j->service);
	struct shard *rack = sched_shard(s, j->rack);
	struct msg m = {0};

	j->due_ms = s->now_ms + SCHED_RESEND_MS;
	if (j->tries++ >= SCHED_START_TRIES || !doc) {
		if (!sched_has_protection(s, PROTECT_PROOF)) {
			j->attempt_open = false;
			sched_queue_job(s, j, 0);
			return;
		}
		sched_begin_stop(s, sh, j);
		return;
	}
	if (!rack)
		return;
	m.kind = MSG_START;
	m.shard = sh->id;
	m.rack = j->rack;
	m.job = j->id;
	m.attempt = j->attempt;
	m.worker = j->worker;
	m.boot = j->boot;
	m.res = doc->res;
	m.lease_ms = doc->lease_ms;
	m.run_ms = doc->run_ms;
	m.progress = j->progress;
	m.movable = doc->idempotent;
	m.keep = doc->when_cut_off == CUT_OFF_KEEP;
	m.urgency = doc->urgency;
	m.payload = j->payload;
	name_set(m.service, j->service);
	name_set(m.key, j->key);
	sched_send(s, sched_shard_host(s, rack), &m);
}

void sched_begin_stop(struct sched *s, struct shard *sh, struct job *j)
{
	j->phase = JOB_STOPPING;
	sched_send_stop(s, sh, j);
}

static void send_attempt_msg(struct sched *s, struct shard *sh, struct job *j,
			     uint32_t kind)
{
	const struct service_doc *doc = sched_service(s, j->service);
	struct shard *rack = sched_shard(s, j->rack);
	struct msg m = {0};

	j->due_ms = s->now_ms + SCHED_RESEND_MS;
	if (!rack)
		return;
	m.kind = kind;
	m.shard = sh->id;
	m.rack = j->rack;
	m.job = j->id;
	m.attempt = j->attempt;
	m.worker = j->worker;
	m.boot = j->boot;
	m.progress = j->progress;
	m.lease_ms = doc ? doc->lease_ms : 0;
	m.keep = doc && doc->when_cut_off == CUT_OFF_KEEP;
	sched_send(s, sched_shard_host(s, rack), &m);
}

void sched_send_stop(struct sched *s, struct shard *sh, struct job *j)
{
	send_attempt_msg(s, sh, j, MSG_STOP);
}

void sched_verify_running(struct sched *s, struct shard *sh, struct job *j)
{
	const struct shard *rack = sched_shard(s, j->rack);
	uint64_t epoch = !rack                        ? j->rack_epoch
			 : rack->state == SHARD_OWNED ? rack->claim.epoch
						      : rack->hint_epoch;

	if (epoch > j->rack_epoch && s->now_ms >= j->due_ms)
		send_attempt_msg(s, sh, j, MSG_VERIFY);
}

static void put_attempt_over(struct sched *s, struct shard *sh, struct job *j,
			     const struct msg *m)
{
	struct record r = {0};

	r.kind = RECORD_OVER;
	r.job = j->id;
	r.attempt = j->attempt;
	r.state = m->state;
	r.failures = j->failures + (m->state == TASK_FAILED);
	r.progress = m->progress > j->progress ? m->progress : j->progress;
	r.cpu_ms = m->cpu_ms;
	name_set(r.service, j->service);
	sched_put_record(s, sh, &r);
	sched_event(s, "attempt_over", j->id, j->attempt, "%s progress %llu",
		    task_state_name(m->state), (unsigned long long)r.progress);
	j->avoid_worker = m->state == TASK_FAILED ? j->worker : 0;
	j->phase = JOB_ENDING;
	j->due_ms = 0;
}

static void on_finished(struct sched *s, struct shard *sh, struct job *j,
			const struct service_doc *doc, const struct msg *m)
{
	if (doc && doc->idempotent && !j->answered_early) {
		j->answered_early = true;
		free((char *)j->result.data);
		j->result.data =
			m->result.len ? xstrndup(m->result.data, m->result.len)
				      : NULL;
		j->result.len = m->result.len;
		sched_answer_waiters(s, j, VERDICT_RAN, REASON_NONE, m->result);
	}
	sched_put_finish(s, sh, j, VERDICT_RAN, REASON_NONE, m->result,
			 m->cpu_ms);
}

/*
 * Handles an attempt that ended without a result. The job gets its final answer
 * when it was cancelled, when it has failed too often, or when it may have run
 * and its service is not idempotent. Otherwise the end of the attempt is
 * recorded and the job is placed again.
 */
static void on_attempt_ended(struct sched *s, struct shard *sh, struct job *j,
			     const struct service_doc *doc, const struct msg *m)
{
	bool may_have_run = j->may_have_run || m->state != TASK_NOT_STARTED;
	bool can_retry = !may_have_run || (doc && doc->idempotent);
	struct str none = {NULL, 0};

	if (j->cancelled) {
		sched_put_finish(s, sh, j,
				 may_have_run ? VERDICT_MAY_HAVE_RUN
					      : VERDICT_NOT_RUN,
				 REASON_CANCELLED, none, m->cpu_ms);
		return;
	}
	if (m->state == TASK_FAILED &&
	    (!can_retry || j->failures + 1 >= SCHED_JOB_FAILURES)) {
		sched_put_finish(s, sh, j, VERDICT_RAN, REASON_TASK_FAILED,
				 none, m->cpu_ms);
		return;
	}
	if (!can_retry) {
		sched_put_finish(s, sh, j, VERDICT_MAY_HAVE_RUN,
				 REASON_WORKER_LOST, none, m->cpu_ms);
		return;
	}
	put_attempt_over(s, sh, j, m);
}

static void forget_stale_attempt(struct sched *s, const struct msg *m)
{
	struct msg f = {0};

	if (!task_state_is_terminal(m->state))
		return;
	f.kind = MSG_FORGET;
	f.rack = m->rack;
	f.job = m->job;
	f.attempt = m->attempt;
	f.worker = m->worker;
	sched_send(s, m->from, &f);
}

void sched_on_task(struct sched *s, const struct msg *m)
{
	struct shard *sh = sched_shard(s, m->shard);
	const struct service_doc *doc;
	struct job *j;

	if (!sh || sh->kind != SHARD_JOBS || sh->state != SHARD_OWNED)
		return;
	j = job_table_get(&sh->jobs, m->job);
	if (!j || j->done || m->attempt < j->attempt ||
	    (m->attempt == j->attempt && !j->attempt_open)) {
		forget_stale_attempt(s, m);
		return;
	}
	if (m->attempt != j->attempt || j->phase == JOB_ENDING)
		return;
	doc = sched_service(s, j->service);
	switch (m->state) {
	case TASK_RUNNING:
		if (j->phase == JOB_STARTING) {
			j->phase = JOB_RUNNING;
			j->due_ms = 0;
		}
		j->rack_epoch = m->epoch;
		if (m->progress > j->progress)
			j->progress = m->progress;
		break;
	case TASK_REFUSED:
		if (j->phase == JOB_STARTING)
			sched_begin_stop(s, sh, j);
		break;
	case TASK_FINISHED:
		on_finished(s, sh, j, doc, m);
		break;
	case TASK_FAILED:
	case TASK_STOPPED:
	case TASK_NOT_STARTED:
	case TASK_GONE:
	case TASK_LOST:
		on_attempt_ended(s, sh, j, doc, m);
		break;
	default:
		break;
	}
}
