#include "bench/policy_internal.h"

#include <math.h>
#include <stdlib.h>

#include "base/buf.h"

#define RUN_STEPS 5400
#define REPORT_STEPS 5
#define ZONE_OUT_STEP 2400
#define ZONE_BACK_STEP 3000
#define TRANSITION_END_STEP 3600
#define NOISE_PERIOD_STEPS 900
#define QUEUE_TARGET 128

const struct policy policies[POLICIES] = {
	{"first fit", &placement_first_fit, false, false, false},
	{"random", &placement_random, false, false, false},
	{"spread", &placement_spread, false, false, false},
	{"ours, no learning", &placement_best, false, false, true},
	{"ours", &placement_best, true, false, true},
	{"oracle", &placement_best, false, true, true},
};

double true_effect(const struct model *m, int subject, int neighbour)
{
	return m->true_effects[subject][neighbour] * m->loads[neighbour] *
	       m->loads[subject];
}

double slowdown_of(const struct model *m, const struct sim_worker *w, int slot)
{
	double s = 1.0;
	int i;

	for (i = 0; i < SLOTS; i++)
		if (i != slot && w->slots[i].kind >= 0)
			s += true_effect(m, w->slots[slot].kind,
					 w->slots[i].kind) *
			     w->slots[i].speed;
	return s;
}

/*
 * Loads vary as slow sine waves. In the first third of every noise period the
 * load of one batch kind is 1.8 times as high.
 */
static void set_loads(struct model *m)
{
	int noisy = (int)((uint64_t)(m->step / NOISE_PERIOD_STEPS) * 7919 %
			  BATCH_KINDS);
	int k;

	for (k = 0; k < KINDS; k++)
		m->loads[k] = 1.0 + 0.4 * sin(m->step / 500.0 + k);
	if (m->step % NOISE_PERIOD_STEPS < NOISE_PERIOD_STEPS / 3)
		m->loads[LC_KINDS + noisy] *= 1.8;
}

static void schedule_tasks(struct model *m)
{
	int want[LC_KINDS], i, k;
	size_t q;

	for (k = 0; k < LC_KINDS; k++)
		want[k] = m->lc_target[k];
	for (i = 0; i < m->worker_count; i++)
		for (k = 0; k < SLOTS; k++)
			if (is_lc(m->workers[i].slots[k].kind))
				want[m->workers[i].slots[k].kind]--;
	for (k = 0; k < LC_KINDS; k++)
		for (; want[k] > 0; want[k]--) {
			struct sim_task t = {.kind = k, .work_left = 1e18};

			if (!place_task(m, &t))
				break;
		}
	/* The queue never runs out of batch work. */
	while (m->queue_count < QUEUE_TARGET) {
		struct sim_task t = {0};

		t.kind = LC_KINDS + (int)rng_below(&m->noise, BATCH_KINDS);
		t.work_left = 60.0 + (double)rng_below(&m->noise, 540);
		t.queued_at_step = m->step;
		m->queue[m->queue_count++] = t;
	}
	for (q = 0; q < m->queue_count;) {
		if (!place_task(m, &m->queue[q])) {
			q++;
			continue;
		}
		m->queue[q] = m->queue[--m->queue_count];
	}
}

static void handle_task_failure(struct model *m, struct sim_worker *w,
				struct sim_task *t)
{
	if (is_lc(t->kind))
		t->kind = -1;
	else
		requeue(m, t);
	if (++w->failures < 3)
		return;
	w->failures = 0;
	w->quarantine_end_step = m->step + 120;
}

static void record_sample(struct model *m, double slowdown)
{
	int bin = (int)((slowdown - 1.0) * 400.0);

	if (m->step < WARMUP_STEPS)
		return;
	m->bins[bin < 0 ? 0 : bin >= SAMPLE_BINS ? SAMPLE_BINS - 1 : bin]++;
	m->samples++;
}

static void run_task(struct model *m, struct sim_worker *w, int slot)
{
	struct sim_task *t = &w->slots[slot];
	double s, work;

	if (t->fails_at_step && m->step >= t->fails_at_step) {
		handle_task_failure(m, w, t);
		return;
	}
	s = slowdown_of(m, w, slot);
	if (is_lc(t->kind)) {
		record_sample(m, s * exp(0.03 * (rng_unit(&m->noise) - 0.5)));
		return;
	}
	work = t->speed / s;
	t->work_left -= work;
	t->done_since_checkpoint += work;
	if (t->done_since_checkpoint >= 20.0)
		t->done_since_checkpoint = 0;
	if (m->step >= WARMUP_STEPS)
		m->batch_work += work;
	if (m->step >= ZONE_OUT_STEP && m->step < TRANSITION_END_STEP)
		m->transition_work += work;
	if (t->work_left <= 0)
		t->kind = -1;
}

static void set_zone_out(struct model *m, bool out)
{
	int i, k;

	for (i = 0; i < m->worker_count; i++) {
		struct sim_worker *w = &m->workers[i];

		if (w->zone)
			continue;
		w->is_out = out;
		for (k = 0; out && k < SLOTS; k++) {
			if (is_lc(w->slots[k].kind))
				w->slots[k].kind = -1;
			else if (w->slots[k].kind >= 0)
				requeue(m, &w->slots[k]);
		}
	}
}

static void run_step(struct model *m)
{
	int i, k;

	set_loads(m);
	refresh_costs(m);
	if (m->step == ZONE_OUT_STEP || m->step == ZONE_BACK_STEP)
		set_zone_out(m, m->step == ZONE_OUT_STEP);
	schedule_tasks(m);
	for (i = 0; i < m->worker_count; i++) {
		struct sim_worker *w = &m->workers[i];
		int sample = (m->step + 1) % (LAG_STEPS + 1); /* the oldest */

		for (k = 0; k < SLOTS; k++)
			if (w->slots[k].kind >= 0)
				run_task(m, w, k);
		if (m->step > LAG_STEPS && (m->step + i) % REPORT_STEPS == 0 &&
		    !w->is_out) {
			if (m->policy->learns)
				observe_interference(m, w, sample);
			respond_to_slowdown(m, w, sample);
		}
		record_measurements(m, w);
	}
}

/*
 * A quarter of all ordered pairs of kinds interferes strongly, batch work with
 * services three times as strongly as the others.
 */
static void draw_true_effects(struct model *m, struct rng *rng)
{
	int a, b;

	for (a = 0; a < KINDS; a++)
		for (b = 0; b < KINDS; b++) {
			double u = rng_unit(rng);
			double heavy = is_lc(a) && !is_lc(b) ? 0.45 : 0.15;

			m->true_effects[a][b] =
				u < 0.25 ? heavy * (0.5 + u * 4.0) : 0.01 * u;
		}
}

static double quantile(const struct model *m, double q)
{
	uint64_t want = (uint64_t)((double)m->samples * q), seen = 0;
	int i;

	for (i = 0; i < SAMPLE_BINS; i++) {
		seen += m->bins[i];
		if (seen > want)
			break;
	}
	return 1.0 + i / 400.0;
}

void policy_run(const struct policy *p, int workers, int cores, uint64_t seed,
		struct outcome *o)
{
	struct model *m = xcalloc(1, sizeof(*m));
	struct rng truth = {seed * 77};
	double hours = (RUN_STEPS - WARMUP_STEPS) / 3600.0;
	int i, k;

	m->policy = p;
	m->rng.state = seed;
	m->noise.state = seed ^ 0x5555;
	m->worker_count = workers;
	m->cores = cores;
	interference_init(&m->learned);
	draw_true_effects(m, &truth);
	for (k = 0; k < LC_KINDS; k++)
		m->lc_target[k] = workers / 2;
	for (i = 0; i < workers; i++) {
		m->workers[i].zone = i % 3;
		m->workers[i].is_failing = i == 7 || i == 20;
		for (k = 0; k < SLOTS; k++)
			m->workers[i].slots[k].kind = -1;
	}
	for (m->step = 0; m->step < RUN_STEPS; m->step++)
		run_step(m);
	o->p50 = quantile(m, 0.5);
	o->p99 = quantile(m, 0.99);
	o->p999 = quantile(m, 0.999);
	o->batch_per_hour = m->batch_work / 3600.0 / hours;
	o->evictions = m->evictions / hours;
	o->lost_work = m->lost_work / 3600.0 / hours;
	o->transition_work = m->transition_work / 3600.0;
	interference_finish(&m->learned);
	free(m);
}
