#include "cell/cell_run_time.h"

/* Steps wait in every pass, and the table changes little between two. */
#define EXPECTED_KEEP_MS 500
#define PERCENT 100

static struct run_time_kind kind_of(const struct cell_step *st)
{
	struct run_time_kind k = {st->job->queue, st->number,
				  st->spec->estimate_ms};

	return k;
}

void cell_run_time_note(struct cell *c, const struct cell_task *t)
{
	struct run_time_kind k = kind_of(t->step);

	if (!c->opt.look_ahead || !t->is_timed || !t->confirmed_ms ||
	    step_has_flag(t->step, STEP_LONG_RUNNING))
		return;
	run_time_table_learn(&c->run_times, &k, c->now_ms - t->confirmed_ms);
}

int64_t cell_step_run_ms(const struct cell *c, const struct cell_step *st,
			 double share)
{
	struct run_time_kind k = kind_of(st);

	return run_time_table_quantile(&c->run_times, &k, share);
}

int64_t cell_step_expected_ms(const struct cell *c, struct cell_step *st)
{
	if (!c->opt.look_ahead)
		return st->spec->estimate_ms;
	if (!st->expected_at_ms ||
	    c->now_ms - st->expected_at_ms >= EXPECTED_KEEP_MS) {
		st->expected_at_ms = c->now_ms;
		st->expected_ms = cell_step_run_ms(c, st, 0.5);
	}
	return st->expected_ms;
}

/* When the start of a run is not known, as it is of a former owner, what the
 * worker says of its progress tells how long it has run. */
static int64_t elapsed_ms(const struct cell *c, const struct cell_task *t)
{
	int64_t seen = t->confirmed_ms ? c->now_ms - t->confirmed_ms : 0;
	int64_t done;

	if (t->is_timed)
		return seen;
	done = cell_step_expected_ms(c, t->step) * t->percent / PERCENT;
	return done > seen ? done : seen;
}

int64_t cell_task_remaining_ms(const struct cell *c, const struct cell_task *t,
			       double share)
{
	struct run_time_kind k = kind_of(t->step);

	return run_time_table_remaining(&c->run_times, &k, elapsed_ms(c, t),
					share);
}
