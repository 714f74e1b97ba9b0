#include "core/sched_internal.h"

/*
 * Time before an entry host's deadline at which the job owner answers, in
 * milliseconds.
 */
#define ANSWER_EARLY_MS 100
/* Maximum number of jobs that one tick writes to the log again. */
#define REFRESH_BATCH 20
/* Maximum number of jobs that one tick places, and of blocked services. */
#define PLACE_BATCH 128
#define BLOCKED_SERVICES_MAX 16

static void expire_waiters(struct sched *s, struct job *j)
{
	struct str none = {NULL, 0};
	size_t i, n = 0;

	for (i = 0; i < j->waiter_count; i++) {
		const struct waiter *w = &j->waiters[i];

		if (s->now_ms < w->deadline_ms - ANSWER_EARLY_MS) {
			j->waiters[n++] = *w;
			continue;
		}
		sched_send_answer(s, j, w->host, w->corr, VERDICT_MAY_HAVE_RUN,
				  REASON_NO_ANSWER, none);
	}
	j->waiter_count = n;
}

/* Returns false when the job was removed. */
static bool expire_queued(struct sched *s, struct shard *sh, struct job *j)
{
	struct str none = {NULL, 0};
	bool late = sched_wall_ms(s) >= j->deadline_ms - ANSWER_EARLY_MS * 2;
	enum reason reason = j->cancelled                 ? REASON_CANCELLED
			     : !sched_log_is_writable(sh) ? REASON_LOG_DOWN
							  : REASON_NO_ROOM;

	if (!j->accepted && !j->accept_appended) {
		if (!late)
			return true;
		sched_drop_unrecorded(s, sh, j, reason);
		return false;
	}
	if (!j->accepted || (!j->cancelled && (!late || j->attempt)))
		return true;
	if (sched_log_is_writable(sh))
		sched_put_finish(s, sh, j,
				 j->may_have_run ? VERDICT_MAY_HAVE_RUN
						 : VERDICT_NOT_RUN,
				 reason, none, 0);
	return true;
}

/* Returns false when the job was removed. */
static bool tick_job(struct sched *s, struct shard *sh, struct job *j)
{
	if (j->phase == JOB_RESERVING && s->now_ms >= j->due_ms)
		sched_queue_job(s, j, 0);
	if (j->phase == JOB_QUEUED && !expire_queued(s, sh, j))
		return false;
	expire_waiters(s, j);
	if (j->phase == JOB_RUNNING)
		sched_verify_running(s, sh, j);
	if (!j->due_ms || s->now_ms < j->due_ms)
		return true;
	if (j->phase == JOB_STARTING)
		sched_send_start(s, sh, j);
	else if (j->phase == JOB_STOPPING)
		sched_send_stop(s, sh, j);
	return true;
}

void sched_jobs_refresh(struct sched *s, struct shard *sh)
{
	struct job_list *lists[] = {&sh->jobs.active, &sh->jobs.done};
	unsigned int i, n = 0;
	struct record r;
	struct job *j;

	for (i = 0; i < 2; i++) {
		CK_LIST_FOREACH (j, lists[i], link) {
			if (s->now_ms - j->snapshot_ms < s->opts.refresh_ms ||
			    !j->accepted || j->phase == JOB_RECORDING ||
			    j->phase == JOB_ENDING)
				continue;
			j->snapshot_ms = s->now_ms;
			job_to_record(j, &r);
			sched_put_record(s, sh, &r);
			if (++n == REFRESH_BATCH)
				return;
		}
	}
}

/*
 * Services for which this tick has found no free capacity. Their other jobs
 * are not tried in this tick.
 */
struct blocked_set {
	const struct service_doc *docs[BLOCKED_SERVICES_MAX];
	size_t count;
};

static bool is_blocked(const struct blocked_set *b,
		       const struct service_doc *doc)
{
	size_t i;

	for (i = 0; i < b->count; i++)
		if (b->docs[i] == doc)
			return true;
	return false;
}

static void place_due_job(struct sched *s, struct shard *sh, struct job *j,
			  struct blocked_set *blocked)
{
	const struct service_doc *doc = sched_service(s, j->service);

	if (is_blocked(blocked, doc)) {
		j->due_ms = s->now_ms + SCHED_PLACE_RETRY_MS;
		if (sched_log_is_writable(sh))
			sched_put_accept(s, sh, j);
		return;
	}
	sched_place_job(s, sh, j);
	if (j->phase == JOB_QUEUED && blocked->count < BLOCKED_SERVICES_MAX)
		blocked->docs[blocked->count++] = doc;
}

/*
 * Places the jobs in order of falling urgency, those of equal urgency in list
 * order.
 */
static void place_queued(struct sched *s, struct shard *sh, struct job **due,
			 size_t count)
{
	struct blocked_set blocked = {.count = 0};
	int urgency;
	size_t i;

	for (urgency = SERVICE_URGENCY_MAX; urgency >= 0; urgency--) {
		for (i = 0; i < count; i++) {
			const struct service_doc *doc =
				sched_service(s, due[i]->service);

			if ((int)(doc ? doc->urgency : 0) == urgency)
				place_due_job(s, sh, due[i], &blocked);
		}
	}
}

static void tick_jobs(struct sched *s, struct shard *sh)
{
	struct job *due[PLACE_BATCH], *j = CK_LIST_FIRST(&sh->jobs.active);
	size_t n = 0;

	while (j) {
		struct job *next = CK_LIST_NEXT(j, link);

		if (tick_job(s, sh, j) && j->phase == JOB_QUEUED &&
		    s->now_ms >= j->due_ms && n < PLACE_BATCH)
			due[n++] = j;
		j = next;
	}
	place_queued(s, sh, due, n);
}

/*
 * Writes bill records with the usage of each service owner. Waits until no
 * record is pending or in flight: the sums would otherwise miss records that
 * precede them in the stream.
 */
static void put_bill(struct sched *s, struct shard *sh)
{
	const struct ledger *l = &sh->ledger;
	size_t i;

	if (s->now_ms - sh->billed_ms < s->opts.refresh_ms / 2 ||
	    !stream_is_idle(sh->stream))
		return;
	sh->billed_ms = s->now_ms;
	for (i = 0; i < l->count; i++) {
		struct record r = {0};

		r.kind = RECORD_BILL;
		name_set(r.name, l->lines[i].owner);
		r.cpu_ms = l->lines[i].cpu_ms;
		r.digest = l->lines[i].attempts;
		sched_put_record(s, sh, &r);
	}
}

void sched_jobs_tick(struct sched *s, struct shard *sh)
{
	tick_jobs(s, sh);
	if (!sched_log_is_writable(sh))
		return;
	put_bill(s, sh);
	sched_jobs_refresh(s, sh);
	job_table_expire(&sh->jobs, sched_wall_ms(s) - s->opts.key_keep_ms);
}

void sched_jobs_acquired(struct sched *s, struct shard *sh)
{
	struct job_list *lists[] = {&sh->jobs.active, &sh->jobs.done};
	int64_t half = s->opts.refresh_ms / 2;
	const struct service_doc *doc;
	struct job *j;
	int i;

	for (i = 0; i < 2; i++) {
		CK_LIST_FOREACH (j, lists[i], link) {
			j->snapshot_ms =
				s->now_ms - half -
				(int64_t)rng_below(&s->rng, (uint64_t)half + 1);
			if (j->done)
				continue;
			doc = sched_service(s, j->service);
			if (doc)
				job_table_set_team(&sh->jobs, j,
						   name_hash(doc->team));
			sched_queue_job(s, j, 0);
			if (j->attempt_open) {
				j->phase = JOB_STARTING;
				j->due_ms = s->now_ms;
			}
		}
	}
}
