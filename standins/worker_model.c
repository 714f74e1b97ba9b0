#include "standins/worker_model.h"

#include "core/document.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Time from the start to the failure of a task if fail_all is set, in ms. */
#define FAIL_AFTER_MS 50
/* Progress between two checkpoints, milliseconds. */
#define CHECKPOINT_DEFAULT_MS 500
#define FULL_SPEED 100
/* Slowdown caused by one interfering task at full speed, thousandths. */
#define INTERFERENCE_MILLI 400

void worker_model_init(struct worker_model *w, const char *name,
		       const struct resources *size, uint64_t boot)
{
	memset(w, 0, sizeof(*w));
	name_set(w->name, name);
	w->id = name_hash(name);
	w->size = *size;
	w->boot = boot;
	w->checkpoint_ms = CHECKPOINT_DEFAULT_MS;
	w->tasks = xcalloc(MODEL_TASKS_MAX, sizeof(*w->tasks));
}

void worker_model_finish(struct worker_model *w)
{
	free(w->tasks);
	w->tasks = NULL;
}

static struct model_task *find_task(struct worker_model *w, uint64_t job,
				    uint32_t attempt)
{
	size_t i;

	for (i = w->count; i-- > 0;)
		if (w->tasks[i].job == job && w->tasks[i].attempt == attempt)
			return &w->tasks[i];
	return NULL;
}

/*
 * If the table is full, the oldest forgotten task is dropped.
 *
 * Return: the new entry, or null if no task could be dropped.
 */
static struct model_task *add_task(struct worker_model *w)
{
	struct model_task *t;
	size_t i;

	if (w->count == MODEL_TASKS_MAX) {
		for (i = 0; i < w->count && !w->tasks[i].forgotten; i++)
			;
		if (i == w->count)
			return NULL;
		memmove(&w->tasks[i], &w->tasks[i + 1],
			(w->count - i - 1) * sizeof(*w->tasks));
		w->count--;
	}
	t = &w->tasks[w->count++];
	memset(t, 0, sizeof(*t));
	return t;
}

/*
 * One pair of services in four interferes, selected by the hash of both names.
 *
 * Return: the run time relative to that without interference, thousandths.
 */
static uint32_t slowdown_milli(const struct worker_model *w,
			       const struct model_task *t)
{
	uint32_t s = 1000;
	size_t i;

	for (i = 0; i < w->count; i++) {
		const struct model_task *o = &w->tasks[i];

		if (o != t && o->state == TASK_RUNNING &&
		    pair_hash(t->service, o->service) % 4 == 0)
			s += INTERFERENCE_MILLI * o->speed / FULL_SPEED;
	}
	return s;
}

static struct resources used_resources(const struct worker_model *w)
{
	struct resources u = {0};
	size_t i;

	for (i = 0; i < w->count; i++) {
		const struct model_task *t = &w->tasks[i];

		if (t->state != TASK_RUNNING)
			continue;
		resources_add(&u, &t->res);
	}
	return u;
}

static bool has_capacity(const struct worker_model *w,
			 const struct resources *r)
{
	struct resources u = used_resources(w);

	return u.cpu_milli + r->cpu_milli <= w->size.cpu_milli &&
	       u.mem_mb + r->mem_mb <= w->size.mem_mb &&
	       u.accel + r->accel <= w->size.accel &&
	       u.slots + r->slots <= w->size.slots &&
	       u.conns + r->conns <= w->size.conns;
}

static uint64_t progress_at(const struct model_task *t, int64_t now_ms)
{
	return t->base_progress +
	       (uint64_t)(now_ms - t->base_ms) * t->speed / FULL_SPEED;
}

static uint64_t checkpoint_at(const struct worker_model *w,
			      const struct model_task *t, int64_t now_ms)
{
	uint64_t p = progress_at(t, now_ms);
	uint64_t step = (uint64_t)w->checkpoint_ms;

	p -= p % step;
	return p > t->start_progress ? p : t->start_progress;
}

static uint64_t cpu_used_ms(const struct model_task *t, int64_t now_ms)
{
	int64_t end = t->state == TASK_RUNNING ? now_ms : t->end_ms;

	return (uint64_t)(end - t->start_ms) * t->res.cpu_milli / 1000;
}

static void reply_init(const struct worker_model *w, int64_t now_ms,
		       struct msg *m)
{
	memset(m, 0, sizeof(*m));
	m->from = w->id;
	m->epoch = w->epoch;
	m->boot = w->boot;
	m->worker = w->id;
	m->worker_clock_ms = (uint64_t)now_ms;
	m->leaving = w->leaving;
}

static void send_task(const struct worker_model *w, int64_t now_ms,
		      const struct model_task *t, uint64_t to,
		      const struct model_out *out)
{
	struct msg m;

	reply_init(w, now_ms, &m);
	m.kind = MSG_WORKER_TASK;
	m.shard = t->shard;
	m.job = t->job;
	m.attempt = t->attempt;
	m.state = t->state;
	m.progress = t->progress;
	m.cpu_ms = cpu_used_ms(t, now_ms);
	m.movable = t->movable;
	m.keep = t->keep;
	m.urgency = t->urgency;
	m.lease_ms = t->lease_ms;
	m.res = t->res;
	name_set(m.service, t->service);
	m.result = str_of(t->result);
	out->send(out->ctx, to, &m);
}

static void send_refused(const struct worker_model *w, int64_t now_ms,
			 const struct msg *order, const struct model_out *out)
{
	struct msg m;

	reply_init(w, now_ms, &m);
	m.kind = MSG_WORKER_TASK;
	m.shard = order->shard;
	m.job = order->job;
	m.attempt = order->attempt;
	m.state = TASK_REFUSED;
	out->send(out->ctx, order->from, &m);
}

static void send_inventory(const struct worker_model *w, int64_t now_ms,
			   uint64_t to, bool full, const struct model_out *out)
{
	struct task_status *list = xcalloc(w->count, sizeof(*list));
	struct msg m;
	size_t i, n = 0;

	reply_init(w, now_ms, &m);
	m.kind = MSG_INVENTORY;
	m.full = full;
	m.res = w->size;
	for (i = 0; i < w->count; i++) {
		const struct model_task *t = &w->tasks[i];

		if (t->forgotten || t->state == TASK_NOT_STARTED ||
		    (!full && t->state == TASK_RUNNING))
			continue;
		list[n].job = t->job;
		list[n].shard = t->shard;
		list[n].attempt = t->attempt;
		list[n].state = t->state;
		list[n].progress = t->state == TASK_RUNNING
					   ? checkpoint_at(w, t, now_ms)
					   : t->progress;
		list[n].cpu_ms = cpu_used_ms(t, now_ms);
		list[n].movable = t->movable;
		list[n].keep = t->keep;
		list[n].urgency = t->urgency;
		list[n].service = service_id(t->service);
		list[n].lease_ms = (uint32_t)t->lease_ms;
		if (t->state == TASK_RUNNING)
			list[n].slowdown_milli = slowdown_milli(w, t);
		list[n].res = t->res;
		list[n].result = str_of(t->result);
		n++;
	}
	m.measured_ms = (uint64_t)now_ms;
	m.tasks.items = list;
	m.tasks.count = n;
	out->send(out->ctx, to, &m);
	free(list);
}

static void end_task(struct worker_model *w, struct model_task *t,
		     int64_t now_ms, uint32_t state)
{
	t->progress = state == TASK_FINISHED ? progress_at(t, now_ms)
					     : checkpoint_at(w, t, now_ms);
	t->state = state;
	t->end_ms = now_ms;
	if (state == TASK_FINISHED)
		snprintf(t->result, sizeof(t->result),
			 "%.40s:%.40s:%016" PRIx64, t->service, t->key,
			 t->payload_hash);
}

void worker_model_crash(struct worker_model *w, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < w->count; i++) {
		struct model_task *t = &w->tasks[i];

		/* After a pause the lease may have expired before @now_ms. */
		if (t->state == TASK_RUNNING)
			end_task(w, t,
				 now_ms < t->lease_until_ms ? now_ms
							    : t->lease_until_ms,
				 TASK_GONE);
	}
}

static void handle_start(struct worker_model *w, int64_t now_ms,
			 const struct msg *m, const struct model_out *out)
{
	struct model_task *t = find_task(w, m->job, m->attempt);

	if (t) {
		send_task(w, now_ms, t, m->from, out);
		return;
	}
	if ((uint64_t)now_ms > m->not_after_ms || m->boot != w->boot ||
	    w->leaving) {
		send_refused(w, now_ms, m, out);
		return;
	}
	if (!has_capacity(w, &m->res)) {
		w->over_capacity_orders++;
		send_refused(w, now_ms, m, out);
		return;
	}
	t = add_task(w);
	if (!t) {
		send_refused(w, now_ms, m, out);
		return;
	}
	t->job = m->job;
	t->attempt = m->attempt;
	t->shard = m->shard;
	t->state = TASK_RUNNING;
	t->res = m->res;
	name_set(t->service, m->service);
	name_set(t->key, m->key);
	t->payload_hash = m->payload.len;
	t->movable = m->movable;
	t->keep = m->keep;
	t->urgency = m->urgency;
	t->lease_ms = m->lease_ms;
	t->lease_until_ms = now_ms + m->lease_ms;
	t->run_ms = m->run_ms;
	t->start_ms = now_ms;
	t->base_ms = now_ms;
	t->base_progress = m->progress;
	t->speed = FULL_SPEED;
	t->start_progress = m->progress;
	t->progress = m->progress;
	send_task(w, now_ms, t, m->from, out);
}

static void handle_stop(struct worker_model *w, int64_t now_ms,
			const struct msg *m, const struct model_out *out)
{
	struct model_task *t = find_task(w, m->job, m->attempt);

	if (!t) {
		t = add_task(w);
		if (!t)
			return;
		t->job = m->job;
		t->attempt = m->attempt;
		t->shard = m->shard;
		t->state = TASK_NOT_STARTED;
		t->forgotten = true;
	}
	if (t->state == TASK_RUNNING)
		end_task(w, t, now_ms, TASK_STOPPED);
	send_task(w, now_ms, t, m->from, out);
}

static void handle_renew(struct worker_model *w, int64_t now_ms,
			 const struct msg *m)
{
	size_t i;

	if ((uint64_t)now_ms > m->not_after_ms)
		return;
	for (i = 0; i < w->count; i++) {
		struct model_task *t = &w->tasks[i];

		if (t->state == TASK_RUNNING && (t->keep || !m->keep_only))
			t->lease_until_ms = now_ms + t->lease_ms;
	}
}

static void set_speed(struct model_task *t, int64_t now_ms, uint32_t speed)
{
	t->base_progress = progress_at(t, now_ms);
	t->base_ms = now_ms;
	t->speed = speed && speed <= FULL_SPEED ? speed : FULL_SPEED;
}

void worker_model_on_msg(struct worker_model *w, int64_t now_ms,
			 const struct msg *m, const struct model_out *out)
{
	struct model_task *t;

	worker_model_tick(w, now_ms, out);
	if (m->kind == MSG_FENCE && m->epoch >= w->epoch) {
		w->epoch = m->epoch;
		w->owner = m->from;
		send_inventory(w, now_ms, m->from, true, out);
		return;
	}
	if (m->epoch != w->epoch) {
		/* The reply tells the sender the epoch in force. */
		if (m->kind == MSG_FENCE || m->kind == MSG_RENEW)
			send_inventory(w, now_ms, m->from, true, out);
		else
			send_refused(w, now_ms, m, out);
		return;
	}
	switch (m->kind) {
	case MSG_RENEW:
		handle_renew(w, now_ms, m);
		send_inventory(w, now_ms, m->from, m->full, out);
		break;
	case MSG_WORKER_START:
		handle_start(w, now_ms, m, out);
		break;
	case MSG_WORKER_STOP:
		handle_stop(w, now_ms, m, out);
		break;
	case MSG_WORKER_THROTTLE:
		t = find_task(w, m->job, m->attempt);
		if (t && t->state == TASK_RUNNING)
			set_speed(t, now_ms, m->speed);
		break;
	case MSG_WORKER_FORGET:
		t = find_task(w, m->job, m->attempt);
		if (t && t->state != TASK_RUNNING)
			t->forgotten = true;
		break;
	default:
		break;
	}
}

void worker_model_tick(struct worker_model *w, int64_t now_ms,
		       const struct model_out *out)
{
	size_t i;

	for (i = 0; i < w->count; i++) {
		struct model_task *t = &w->tasks[i];
		bool done;

		if (t->state != TASK_RUNNING)
			continue;
		done = (int64_t)progress_at(t, now_ms) >= t->run_ms;
		t->lease_expired = now_ms > t->lease_until_ms;
		if (t->lease_expired)
			end_task(w, t, t->lease_until_ms, TASK_STOPPED);
		else if (w->fail_all && now_ms - t->start_ms >= FAIL_AFTER_MS)
			end_task(w, t, now_ms, TASK_FAILED);
		else if (done)
			end_task(w, t, now_ms, TASK_FINISHED);
		else
			continue;
		if (w->owner)
			send_task(w, now_ms, t, w->owner, out);
	}
}
