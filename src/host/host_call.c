#include "host/host_call.h"

#include <inttypes.h>
#include <stdlib.h>

#include "adapters/clock.h"
#include "base/logger.h"
#include "host/admission.h"
#include "host/caller_auth.h"
#include "host/retry_after.h"
#include "platform/caller.h"
#include "platform/config.h"

/* Deadline of a call whose request has no valid deadline header. */
#define DEADLINE_DEFAULT_MS 2500
/* Part of a caller's deadline that is reserved for sending the reply. */
#define DEADLINE_MARGIN_MS 150
/* How long before that a record is withdrawn from the owner: a tick of either
 * host, and the way there and back. */
#define WITHDRAW_AHEAD_MS 150
/* At most this part of a caller's time, so that short deadlines leave the owner
 * time to append. */
#define WITHDRAW_AHEAD_DIVISOR 2
/* How long a call on an unknown job waits for a log read newer than it. */
#define LOG_READ_WAIT_MS 1200
/* Cancels of unknown jobs that are kept at a time, so that many of them fill
 * neither the store nor the memory of the hosts. */
#define EARLY_CANCELS_MAX 10000
/* The store counts as down if appends have failed for this long and the log has
 * not been read to its end for twice as long. */
#define STORE_DOWN_MS 1000
/* Retry-after time of refusals while the configuration or the state of a job
 * has not been read, or not for too long: another host may have read it. */
#define RETRY_AFTER_SHORT_MS 500
/* A job of another account has the ID of a submission. */
#define ID_TAKEN_BODY "{\"error\":\"ID in use\"}"

static void reply(struct host *h, struct http_request *r, int status,
		  uint32_t retry_ms, const char *body)
{
	r->close = h->stop_began_ms != 0;
	http_reply(r, status, retry_ms, body, strlen(body));
}

static void call_free(struct host *h, struct host_call *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		h->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
	h->call_count--;
	buf_finish(&c->record);
	free(c);
}

/* -1 before the jobs have been read once. */
static int64_t log_age_ms(const struct host *h)
{
	return h->job_follower.caught_up_ms
		       ? h->now_ms - h->job_follower.caught_up_ms
		       : -1;
}

static void note_retry(struct host *h, enum retry_reason reason,
		       uint32_t retry_ms)
{
	h->counts.retries[reason]++;
	h->counts.retry_ms[reason] += retry_ms;
}

void call_answer(struct host *h, struct host_call *c, int status,
		 uint32_t retry_ms, const char *body)
{
	static const char *const kinds[] = {"submit", "cancel", "query"};

	if (c->kind != CALL_QUERY || status >= 500)
		log_line(status == 200 ? LOG_INFO : LOG_WARN, "call answered",
			 "job=%016" PRIx64 " call=%s status=%d after_ms=%lld "
			 "may_be_stored=%d log_age_ms=%lld retry_ms=%u "
			 "retry_reason=%s",
			 c->id, kinds[c->kind], status,
			 (long long)(h->now_ms - c->arrived_ms),
			 c->may_be_stored, (long long)log_age_ms(h), retry_ms,
			 retry_ms ? retry_reason_name(c->retry_reason)
				  : "none");
	if (retry_ms)
		note_retry(h, c->retry_reason, retry_ms);
	if (c->kind == CALL_SUBMIT) {
		h->counts.accepted += status == 200;
		h->counts.refused += status == 503 || status == 429;
		h->counts.unknown += status == 504;
		if (status == 200)
			histogram_add(&h->accept_ms, h->now_ms - c->arrived_ms);
	}
	h->counts.not_found += status == 410;
	reply(h, c->request, status, retry_ms, body);
	c->request = NULL;
}

/* For how long the store has been known to take no appends of callers' records,
 * or to answer no reads; 0 if it does. */
static int64_t outage_ms(const struct host *h)
{
	int64_t since = h->now_ms;

	if (h->store_failures)
		since = h->store_failed_ms;
	if (!follower_is_fresh(&h->job_follower, h->now_ms, STORE_DOWN_MS) &&
	    h->job_follower.caught_up_ms &&
	    h->job_follower.caught_up_ms < since)
		since = h->job_follower.caught_up_ms;
	return h->now_ms - since;
}

static bool store_is_down(const struct host *h)
{
	return h->store_failures &&
	       h->now_ms - h->store_failed_ms > STORE_DOWN_MS &&
	       !follower_is_fresh(&h->job_follower, h->now_ms,
				  2 * STORE_DOWN_MS);
}

/* @q: of the job; NULL if the configuration does not contain it any more */
static struct retry_advice advise_retry(const struct host *h,
					const struct queue *q, uint64_t id,
					int64_t waited_ms)
{
	const struct load_table *loads = &h->job_view.loads;
	struct retry_state s = {0};

	s.outage_ms = outage_ms(h);
	if (s.outage_ms < waited_ms)
		s.outage_ms = waited_ms;
	s.store_answers = !h->store_failures && h->stored_ms &&
			  h->now_ms - h->stored_ms <= STORE_DOWN_MS;
	s.queued = h->call_count;
	if (q) {
		s.is_full =
			load_table_is_current(loads, h->now_ms) &&
			load_table_is_full(loads, q->service, q->priority, 0);
		s.retry_class = retry_class_of(q->objective_ms, q->priority);
	}
	return retry_advise(&s, id);
}

void call_refuse(struct host *h, struct host_call *c)
{
	struct retry_advice a =
		advise_retry(h, queue_table_find(&h->queues, c->queue), c->id,
			     h->now_ms - c->arrived_ms);

	c->retry_reason = a.reason;
	call_answer(h, c, 503, a.wait_ms, "{}");
}

bool call_is_expiring(const struct host *h, const struct host_call *c)
{
	int64_t ahead =
		(c->deadline_ms - c->arrived_ms) / WITHDRAW_AHEAD_DIVISOR;

	if (ahead > WITHDRAW_AHEAD_MS)
		ahead = WITHDRAW_AHEAD_MS;
	return h->now_ms >= c->deadline_ms - ahead;
}

static void call_answer_state(struct host *h, struct host_call *c,
			      const struct job_entry *e)
{
	char body[CALLER_BODY_SIZE];

	caller_state_body((enum job_state)e->state, body);
	call_answer(h, c, 200, 0, body);
}

/* Whether the log shows the effect of a submission or a cancel. */
static bool is_call_stored(const struct host_call *c, const struct job_entry *e)
{
	if (!e)
		return false;
	if (c->kind == CALL_SUBMIT)
		return e->is_accepted;
	return job_entry_is_cancelled_for(e, c->account) ||
	       job_state_is_terminal(e->state);
}

void call_apply_record(struct host *h, struct host_call *c)
{
	char key[JOB_KEY_SIZE];
	struct str value = {c->record.data, c->record.len};

	job_view_apply(&h->job_view,
		       job_key(c->id, c->kind == CALL_CANCEL ? 'c' : 0, key),
		       value, h->now_ms);
}

static void call_queue_cancel(struct host *h, struct host_call *c,
			      const struct job_entry *e)
{
	job_entry_write_cancel(e, c->account, &c->record);
	call_queue_append(h, c);
}

static bool can_access(const struct host *h, const char *account,
		       const struct job_entry *e)
{
	const struct job_spec *s;
	bool can_access;
	struct arena a;

	arena_init(&a);
	s = e ? job_entry_spec(e, &a) : NULL;
	can_access =
		!s || caller_auth_may_access(&h->queues, s->account, account);
	arena_finish(&a);
	return can_access;
}

static void note_other_account(struct host *h, uint64_t id, const char *method,
			       int status)
{
	h->counts.other_account++;
	log_line(LOG_WARN, "job belongs to another account",
		 "job=%016" PRIx64 " method=%s status=%d", id, method, status);
}

void call_answer_stored(struct host *h, struct host_call *c)
{
	const struct job_entry *e = job_view_get(&h->job_view, c->id);
	bool is_other = !can_access(h, c->account, e);

	if (is_other)
		note_other_account(h, c->id, c->request->method,
				   c->kind == CALL_SUBMIT ? 409 : 410);
	if (is_other && c->kind == CALL_SUBMIT)
		call_answer(h, c, 409, 0, ID_TAKEN_BODY);
	else if (c->kind == CALL_CANCEL && (is_other || !e || !e->is_accepted))
		call_answer(h, c, 410, 0, "{}");
	else
		call_answer(h, c, 200, 0, "{}");
}

static void refuse_unread(struct host *h, struct host_call *c)
{
	c->retry_reason = RETRY_UNREAD;
	call_answer(h, c, 503, RETRY_AFTER_SHORT_MS, "{}");
}

/* Answers a submission or a cancel once the log shows its effect, a query once
 * the job is known or known not to exist, and either once the job is known to
 * belong to another account. Queues the record of a cancel once the job is
 * known, or is not in the log: its append may still be under way. */
static void call_resolve(struct host *h, struct host_call *c)
{
	struct job_entry *e = job_view_get(&h->job_view, c->id);
	bool is_hidden =
		c->kind != CALL_SUBMIT && !can_access(h, c->account, e);

	if (is_hidden)
		e = NULL;
	if (is_call_stored(c, e) && c->kind != CALL_QUERY) {
		call_answer_stored(h, c);
		return;
	}
	if (c->record.len)
		return; /* queued, in flight, or its result is unknown */
	if (e && e->is_accepted) {
		if (c->kind == CALL_QUERY)
			call_answer_state(h, c, e);
		else
			call_queue_cancel(h, c, e);
		return;
	}
	if (h->job_follower.loaded &&
	    h->job_follower.caught_up_ms >= c->arrived_ms) {
		if (is_hidden)
			note_other_account(h, c->id, c->request->method, 410);
		if (c->kind != CALL_CANCEL || is_hidden)
			call_answer(h, c, 410, 0, "{}");
		else if (h->job_view.early_cancels < EARLY_CANCELS_MAX)
			call_queue_cancel(h, c, e);
		else
			call_refuse(h, c);
		return;
	}
	if (store_is_down(h))
		call_refuse(h, c);
	else if (h->now_ms - c->arrived_ms > LOG_READ_WAIT_MS)
		refuse_unread(h, c);
	else
		follower_read_now(&h->job_follower);
}

static struct host_call *call_new(struct host *h, struct http_request *r,
				  enum call_kind kind, const struct queue *q,
				  uint64_t id, const struct account *account)
{
	const char *deadline = http_header(r, CALLER_DEADLINE_HEADER);
	struct host_call *c = xcalloc(1, sizeof(*c));
	int64_t wait = deadline ? strtoll(deadline, NULL, 10) : 0;

	if (wait <= 0)
		wait = DEADLINE_DEFAULT_MS;
	c->request = r;
	c->kind = kind;
	c->id = id;
	name_set(c->queue, q->name);
	if (account)
		name_set(c->account, account->name);
	c->arrived_ms = h->now_ms;
	c->deadline_ms = h->now_ms + wait - DEADLINE_MARGIN_MS;
	buf_init(&c->record);
	c->next = h->calls;
	if (h->calls)
		h->calls->prev = c;
	h->calls = c;
	h->call_count++;
	return c;
}

/* Return: whether the job is refused. Where nothing can run it, no time to come
 * back is known. */
static bool refuse_unservable(struct host *h, struct http_request *r,
			      const struct queue *q,
			      const struct account *account,
			      const struct job_spec *spec)
{
	char body[CALLER_BODY_SIZE];
	const struct job_step *s;
	uint32_t retry_ms;
	enum admission a;
	size_t step;

	a = admission_check(&h->job_view, &h->queues, q, account, spec,
			    h->now_ms, &step);
	if (a == ADMISSION_OK)
		return false;
	s = job_spec_step(spec, step);
	retry_ms = a == ADMISSION_FULL ? retry_after_full_ms(spec->id) : 0;
	if (retry_ms)
		note_retry(h, RETRY_CELL_FULL, retry_ms);
	h->counts.refused++;
	log_line(LOG_WARN, "job refused",
		 "job=%016" PRIx64 " queue=%s reason=%s step=%zu count=%u "
		 "cpu=%u memory_mb=%u accelerators=%u label=%s sizes=%zu "
		 "retry_ms=%u",
		 spec->id, q->name, admission_name(a), step, s->count, s->cpu,
		 s->memory_mb, s->accelerators, s->worker_label,
		 h->job_view.sizes.count, retry_ms);
	snprintf(body, sizeof(body), "{\"error\":\"%s\"}", admission_name(a));
	reply(h, r, 503, retry_ms, body);
	return true;
}

static void submit(struct host *h, struct http_request *r,
		   const struct queue *q, const struct account *account,
		   uint64_t id)
{
	struct str text = {r->body.data, r->body.len};
	struct job_entry *e = job_view_get(&h->job_view, id);
	struct retry_advice advice;
	struct job_spec spec;
	struct host_call *c;
	struct arena a;

	h->counts.submits++;
	if (!can_access(h, account ? account->name : "", e)) {
		note_other_account(h, id, r->method, 409);
		reply(h, r, 409, 0, ID_TAKEN_BODY);
		return;
	}
	if (e && e->is_accepted) {
		reply(h, r, 200, 0, "{}");
		return;
	}
	if (!h->job_follower.loaded || store_is_down(h)) {
		h->counts.refused++;
		advice = advise_retry(h, q, id, 0);
		if (!h->job_follower.loaded)
			advice.reason = RETRY_UNREAD;
		note_retry(h, advice.reason, advice.wait_ms);
		log_line(LOG_WARN, "job refused",
			 "job=%016" PRIx64 " queue=%s reason=%s "
			 "retry_ms=%u retry_reason=%s log_age_ms=%lld",
			 id, q->name,
			 h->job_follower.loaded ? "store_down" : "jobs_unread",
			 advice.wait_ms, retry_reason_name(advice.reason),
			 (long long)log_age_ms(h));
		reply(h, r, 503, advice.wait_ms, "{}");
		return;
	}
	arena_init(&a);
	if (job_parse(text, q, id, clock_wall_ms(), &spec, &a) ||
	    spec.payload.len > PAYLOAD_MAX) {
		log_line(LOG_WARN, "job malformed or payload too large",
			 "job=%016" PRIx64 " queue=%s bytes=%zu", id, q->name,
			 text.len);
		reply(h, r, 400, 0, "{\"error\":\"job not readable\"}");
	} else if (!refuse_unservable(h, r, q, account, &spec)) {
		c = call_new(h, r, CALL_SUBMIT, q, id, account);
		name_set(spec.account, c->account);
		job_spec_write(&spec, &c->record);
		call_queue_append(h, c);
	}
	arena_finish(&a);
}

static void reply_unread(struct host *h, struct http_request *r)
{
	note_retry(h, RETRY_UNREAD, RETRY_AFTER_SHORT_MS);
	reply(h, r, 503, RETRY_AFTER_SHORT_MS, "{}");
}

/* Another host may have read a newer configuration. */
static void refuse_old_config(struct host *h, struct http_request *r)
{
	h->counts.config_too_old++;
	reply_unread(h, r);
}

/* Whether the configuration can be taken for the newest one, to deny a queue
 * that it does not contain or to count the jobs of one that it does. */
static bool is_config_current(const struct host *h)
{
	return host_config_age_ms(h) <= h->auth_bounds.refuse_age_ms;
}

static void reply_pending_count(struct host *h, struct http_request *r,
				const struct queue *q)
{
	char body[CALLER_BODY_SIZE];

	if (!is_config_current(h)) {
		refuse_old_config(h, r);
		return;
	}
	if (!h->job_follower.loaded) {
		reply_unread(h, r);
		return;
	}
	caller_pending_body(job_view_pending(&h->job_view, q->name), body);
	reply(h, r, 200, 0, body);
}

static void route_job(struct host *h, struct http_request *r,
		      const struct queue *q, const struct account *account,
		      uint64_t id)
{
	if (!strcmp(r->method, "POST")) {
		submit(h, r, q, account, id);
	} else if (!strcmp(r->method, "GET")) {
		h->counts.queries++;
		call_resolve(h, call_new(h, r, CALL_QUERY, q, id, account));
	} else if (!strcmp(r->method, "DELETE")) {
		h->counts.cancels++;
		call_resolve(h, call_new(h, r, CALL_CANCEL, q, id, account));
	} else {
		reply(h, r, 405, 0, "{}");
	}
}

/*
 * Decides at the time of handling, so after the caller has sent the request:
 * a request that waited here while the process was paused is refused unless the
 * configuration has been read since. The decision holds until the answer: a key
 * withdrawn while a record waits for its append was valid at the time of
 * sending, and a refusal could not say that the job has not run.
 */
static bool authorize(struct host *h, struct http_request *r,
		      const struct queue *q, const struct account **account)
{
	enum auth_verdict v =
		caller_auth_check(&h->queues, q,
				  str_of(http_header(r, CALLER_KEY_HEADER)),
				  host_config_age_ms(h), &h->auth_bounds,
				  account);

	if (v == AUTH_OK)
		return true;
	log_line(LOG_WARN, "call not authorized",
		 "queue=%s method=%s reason=%s config=%" PRIu64
		 " config_age_ms=%lld",
		 q->name, r->method, auth_verdict_name(v), h->queues.version,
		 (long long)host_config_age_ms(h));
	if (v == AUTH_CONFIG_TOO_OLD) {
		refuse_old_config(h, r);
	} else {
		h->counts.unauthorized++;
		reply(h, r, 401, 0, "{}");
	}
	return false;
}

static void answer_unknown_queue(struct host *h, struct http_request *r)
{
	bool is_current = is_config_current(h);

	log_line(LOG_INFO, "no queue for a call",
		 "method=%s status=%d config=%" PRIu64 " config_age_ms=%lld",
		 r->method, is_current ? 404 : 503, h->queues.version,
		 (long long)host_config_age_ms(h));
	if (!is_current) {
		refuse_old_config(h, r);
		return;
	}
	h->counts.unknown_queue++;
	reply(h, r, 404, 0, "{}");
}

void host_handle_call(struct host *h, struct http_request *r)
{
	const char *name = http_header(r, "Host");
	const struct account *account;
	const struct queue *q;
	struct str rest;
	uint64_t id;

	h->now_ms = clock_boot_ms();
	if (!h->queues.version) {
		reply_unread(h, r);
		return;
	}
	if (r->too_large || r->body.len > h->queues.body_max) {
		reply(h, r, 413, 0, "{}");
		return;
	}
	q = queue_table_match(&h->queues, name ? name : "", r->path);
	if (!q) {
		answer_unknown_queue(h, r);
		return;
	}
	if (!authorize(h, r, q, &account))
		return;
	rest = str_of(r->path + strlen(q->prefix));
	if (!job_id_parse(rest, &id))
		route_job(h, r, q, account, id);
	else if (!rest.len && !strcmp(r->method, "GET"))
		reply_pending_count(h, r, q);
	else
		reply(h, r, 404, 0, "{}");
}

/* A record that was never sent is withdrawn: the caller learns that the job has
 * not been accepted, and when to come back. */
static void call_expire(struct host *h, struct host_call *c)
{
	if (!c->record.len)
		return; /* call_resolve() answers it */
	if (call_withdraw(h, c))
		call_refuse(h, c);
	else
		call_answer(h, c, 504, 0, "{}");
}

void host_calls_tick(struct host *h)
{
	struct host_call *c, *next;

	for (c = h->calls; c; c = next) {
		next = c->next;
		if (c->request)
			call_resolve(h, c);
		if (c->request && call_is_expiring(h, c))
			call_ask_withdrawal(h, c);
		if (c->request && h->now_ms >= c->deadline_ms)
			call_expire(h, c);
		if (!c->request && !c->append_pending)
			call_free(h, c);
	}
	host_append_queue_send(h);
}

void host_calls_finish(struct host *h)
{
	struct host_call *c;

	for (c = h->calls; c; c = c->next) {
		if (!c->request)
			continue;
		if (c->record.len && !call_withdraw(h, c))
			call_answer(h, c, 504, 0, "{}");
		else
			call_refuse(h, c);
	}
}

bool host_has_calls(const struct host *h)
{
	return h->calls != NULL;
}
