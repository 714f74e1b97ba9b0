#include "host/relay_wire.h"

#define COUNT(rows) (sizeof(rows) / sizeof((rows)[0]))

#define CALL(name, type)                                             \
	{                                                            \
#name, type, offsetof(struct relay_call, name), NULL \
	}

static const struct field call_rows[] = {
	CALL(seq, FIELD_U64),        CALL(op, FIELD_U32),
	CALL(worker, FIELD_NAME),    CALL(address, FIELD_NAME),
	CALL(job, FIELD_U64),        CALL(occurrence, FIELD_U32),
	CALL(step, FIELD_U32),       CALL(index, FIELD_U32),
	CALL(run, FIELD_U32),        CALL(fence, FIELD_U64),
	CALL(deadline, FIELD_I64),   CALL(spec, FIELD_STR),
	CALL(checkpoint, FIELD_STR), CALL(percent, FIELD_U32),
	CALL(ack, FIELD_U64),        CALL(wait_ms, FIELD_U32),
};

static const struct shape call_shape = {call_rows, COUNT(call_rows),
					sizeof(struct relay_call)};

#define RUN(name, type)                                             \
	{                                                           \
#name, type, offsetof(struct relay_run, name), NULL \
	}

static const struct field run_rows[] = {
	RUN(number, FIELD_U64),     RUN(job, FIELD_U64),
	RUN(occurrence, FIELD_U32), RUN(step, FIELD_U32),
	RUN(index, FIELD_U32),      RUN(run, FIELD_U32),
	RUN(how, FIELD_U32),        RUN(checkpoint, FIELD_STR),
	RUN(percent, FIELD_U32),    RUN(measure, FIELD_U32),
};

static const struct shape run_shape = {run_rows, COUNT(run_rows),
				       sizeof(struct relay_run)};

static const struct field answer_rows[] = {
	{"seq", FIELD_U64, offsetof(struct relay_answer, seq), NULL},
	{"status", FIELD_U32, offsetof(struct relay_answer, status), NULL},
	{"clock", FIELD_I64, offsetof(struct relay_answer, clock), NULL},
	{"born", FIELD_U64, offsetof(struct relay_answer, born), NULL},
	{"running", FIELD_LIST, offsetof(struct relay_answer, running),
	 &run_shape},
	{"ended", FIELD_LIST, offsetof(struct relay_answer, ended), &run_shape},
};

static const struct shape answer_shape = {answer_rows, COUNT(answer_rows),
					  sizeof(struct relay_answer)};

static const struct field batch_rows[] = {
	{"calls", FIELD_LIST, offsetof(struct relay_batch, calls), &call_shape},
	{"answers", FIELD_LIST, offsetof(struct relay_batch, answers),
	 &answer_shape},
};

const struct shape relay_batch_shape = {batch_rows, COUNT(batch_rows),
					sizeof(struct relay_batch)};

void relay_call_ref(const struct relay_call *c, struct task_ref *out)
{
	out->job = c->job;
	out->occurrence = c->occurrence;
	out->step = c->step;
	out->index = c->index;
	out->run = c->run;
}

static void run_fill(struct relay_run *out, const struct task_ref *ref,
		     const char *checkpoint, struct arena *a)
{
	out->job = ref->job;
	out->occurrence = ref->occurrence;
	out->step = ref->step;
	out->index = ref->index;
	out->run = ref->run;
	out->checkpoint = arena_str(a, checkpoint, strlen(checkpoint));
}

void relay_answer_fill(struct relay_answer *out, const struct hold_reply *r,
		       struct arena *a)
{
	struct relay_run *rows;
	size_t i;

	out->status = r->status;
	out->clock = r->clock;
	out->born = r->born;
	rows = arena_alloc(a, r->running_count * sizeof(*rows));
	for (i = 0; i < r->running_count; i++) {
		const struct run_row *from = &r->running[i];

		run_fill(&rows[i], &from->ref, from->checkpoint, a);
		rows[i].percent = from->percent;
		rows[i].measure = from->measure;
	}
	out->running.items = rows;
	out->running.count = r->running_count;
	rows = arena_alloc(a, r->ended_count * sizeof(*rows));
	for (i = 0; i < r->ended_count; i++) {
		const struct end_row *from = &r->ended[i];

		run_fill(&rows[i], &from->ref, from->checkpoint, a);
		rows[i].number = from->number;
		rows[i].how = from->how;
	}
	out->ended.items = rows;
	out->ended.count = r->ended_count;
}

static void run_ref(const struct relay_run *w, struct task_ref *ref,
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

void relay_answer_hold(const struct relay_answer *w, struct hold_reply *out,
		       struct arena *a)
{
	const struct relay_run *from = w->running.items;
	struct run_row *running;
	struct end_row *ended;
	size_t i;

	out->status = (enum order_status)w->status;
	out->clock = w->clock;
	out->born = w->born;
	running = arena_alloc(a, w->running.count * sizeof(*running));
	for (i = 0; i < w->running.count; i++) {
		run_ref(&from[i], &running[i].ref, running[i].checkpoint);
		running[i].percent = from[i].percent;
		running[i].measure = from[i].measure;
	}
	out->running = running;
	out->running_count = w->running.count;
	from = w->ended.items;
	ended = arena_alloc(a, w->ended.count * sizeof(*ended));
	for (i = 0; i < w->ended.count; i++) {
		run_ref(&from[i], &ended[i].ref, ended[i].checkpoint);
		ended[i].number = from[i].number;
		ended[i].how = (enum run_end)from[i].how;
	}
	out->ended = ended;
	out->ended_count = w->ended.count;
}
