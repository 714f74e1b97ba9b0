#include "host/relay_wire.h"

#include <errno.h>

#define CALL(member, kind) FIELD_OF(kind, relay_call, member)
#define RUN(member, kind) FIELD_OF(kind, relay_run, member)

static const struct field call_rows[] = {
	CALL(seq, U64),        CALL(op, U32),       CALL(worker, NAME),
	CALL(address, NAME),   CALL(job, U64),      CALL(occurrence, U32),
	CALL(step, U32),       CALL(index, U32),    CALL(run, U32),
	CALL(fence, U64),      CALL(deadline, I64), CALL(spec, STR),
	CALL(checkpoint, STR), CALL(percent, U32),  CALL(ack, U64),
	CALL(wait_ms, U32),
};

static const struct shape call_shape = SHAPE_OF(call_rows, relay_call);

static const struct field run_rows[] = {
	RUN(number, U64),  RUN(job, U64),        RUN(occurrence, U32),
	RUN(step, U32),    RUN(index, U32),      RUN(run, U32),
	RUN(how, U32),     RUN(checkpoint, STR), RUN(percent, U32),
	RUN(measure, U32),
};

static const struct shape run_shape = SHAPE_OF(run_rows, relay_run);

static const struct field answer_rows[] = {
	FIELD_OF(U64, relay_answer, seq),
	FIELD_OF(U32, relay_answer, status),
	FIELD_OF(I64, relay_answer, clock),
	FIELD_OF(U64, relay_answer, born),
	FIELD_LIST_OF(relay_answer, running, &run_shape),
	FIELD_LIST_OF(relay_answer, ended, &run_shape),
	FIELD_OF(U32, relay_answer, refused),
};

static const struct shape answer_shape = SHAPE_OF(answer_rows, relay_answer);

static const struct field batch_rows[] = {
	FIELD_LIST_OF(relay_batch, calls, &call_shape),
	FIELD_LIST_OF(relay_batch, answers, &answer_shape),
	FIELD_OF(I64, relay_batch, clock),
	FIELD_OF(I64, relay_batch, valid_until),
};

const struct shape relay_batch_shape = SHAPE_OF(batch_rows, relay_batch);

void relay_call_ref(const struct relay_call *c, struct task_ref *out)
{
	out->job = c->job;
	out->occurrence = c->occurrence;
	out->step = c->step;
	out->index = c->index;
	out->run = c->run;
}

static void run_encode(struct relay_run *out, const struct task_ref *ref,
		       const char *checkpoint, struct arena *a)
{
	out->job = ref->job;
	out->occurrence = ref->occurrence;
	out->step = ref->step;
	out->index = ref->index;
	out->run = ref->run;
	out->checkpoint = arena_str(a, checkpoint, strlen(checkpoint));
}

void relay_answer_encode(struct relay_answer *out, const struct poll_reply *r,
			 struct arena *a)
{
	struct relay_run *rows;
	size_t i;

	out->status = r->status;
	out->clock = r->clock;
	out->born = r->born;
	out->refused = r->refused;
	rows = arena_alloc(a, r->running_count * sizeof(*rows));
	for (i = 0; i < r->running_count; i++) {
		const struct run_row *from = &r->running[i];

		run_encode(&rows[i], &from->ref, from->checkpoint, a);
		rows[i].percent = from->progress_percent;
		rows[i].measure = from->measure;
	}
	out->running.items = rows;
	out->running.count = r->running_count;
	rows = arena_alloc(a, r->ended_count * sizeof(*rows));
	for (i = 0; i < r->ended_count; i++) {
		const struct ended_run *from = &r->ended[i];

		run_encode(&rows[i], &from->ref, from->checkpoint, a);
		rows[i].number = from->number;
		rows[i].how = from->how;
	}
	out->ended.items = rows;
	out->ended.count = r->ended_count;
}

int relay_answer_check(const struct relay_answer *a)
{
	const struct relay_run *ended = a->ended.items;
	size_t i;

	if (a->status > ORDER_INVALID || a->clock < 0 ||
	    a->clock > WORKER_CLOCK_MAX_MS)
		return -EBADMSG;
	for (i = 0; i < a->ended.count; i++)
		if (ended[i].how > RUN_GANG_INCOMPLETE)
			return -EBADMSG;
	return 0;
}

static void run_decode(const struct relay_run *w, struct task_ref *ref,
		       char checkpoint[CHECKPOINT_SIZE])
{
	size_t n = w->checkpoint.len;

	ref->job = w->job;
	ref->occurrence = w->occurrence;
	ref->step = w->step;
	ref->index = w->index;
	ref->run = w->run;
	if (n >= CHECKPOINT_SIZE)
		n = CHECKPOINT_SIZE - 1;
	if (n)
		memcpy(checkpoint, w->checkpoint.data, n);
	checkpoint[n] = '\0';
}

void relay_answer_decode(const struct relay_answer *w, struct poll_reply *out,
			 struct arena *a)
{
	const struct relay_run *from = w->running.items;
	struct run_row *running;
	struct ended_run *ended;
	size_t i;

	out->status = (enum order_status)w->status;
	out->clock = w->clock;
	out->born = w->born;
	out->refused = w->refused;
	running = arena_alloc(a, w->running.count * sizeof(*running));
	for (i = 0; i < w->running.count; i++) {
		run_decode(&from[i], &running[i].ref, running[i].checkpoint);
		running[i].progress_percent = from[i].percent;
		running[i].measure = from[i].measure;
	}
	out->running = running;
	out->running_count = w->running.count;
	from = w->ended.items;
	ended = arena_alloc(a, w->ended.count * sizeof(*ended));
	for (i = 0; i < w->ended.count; i++) {
		run_decode(&from[i], &ended[i].ref, ended[i].checkpoint);
		ended[i].number = from[i].number;
		ended[i].how = (enum run_end)from[i].how;
	}
	out->ended = ended;
	out->ended_count = w->ended.count;
}
