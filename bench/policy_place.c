#include "bench/policy_internal.h"

#include <math.h>

#define FAIL_AFTER_STEPS 4
#define BATCH_PAIR_WEIGHT 0.25
/* Expected cost above which batch work stays queued, when it is queued. */
#define COST_LIMIT 0.4
/* Time in the queue that doubles the limit, so that no kind starves. */
#define LIMIT_DOUBLING_STEPS 300.0

static struct resources task_resources(const struct model *m, int kind)
{
	struct resources r = {0};

	r.cpu_milli = (uint32_t)(m->cores * 1000 / SLOTS) / (kind % 3 ? 1 : 2);
	r.mem_mb = 1000;
	r.slots = 1;
	return r;
}

/* Expected cost of a pair in both directions, from what the policy knows. */
static double pair_cost(const struct model *m, int a, int b)
{
	double share = is_lc(a) || is_lc(b) ? 1.0 : BATCH_PAIR_WEIGHT;
	struct neighbour n = {service_of(b), 1.0};

	if (m->policy->is_oracle)
		return (m->true_effects[a][b] + m->true_effects[b][a]) * share;
	if (m->policy->learns)
		return interference_cost(&m->learned,
					 (int64_t)m->step * STEP_MS,
					 service_of(a), &n, 1) *
		       share;
	return 0.0;
}

void refresh_costs(struct model *m)
{
	int a, b;

	for (a = 0; a < KINDS; a++)
		for (b = 0; b < KINDS; b++)
			m->cost[a][b] = pair_cost(m, a, b);
}

double expected_cost(const struct model *m, const struct sim_worker *w,
		     int kind)
{
	double cost = 0.0;
	int i;

	for (i = 0; i < SLOTS; i++)
		if (w->slots[i].kind >= 0)
			cost += m->cost[kind][w->slots[i].kind];
	return cost;
}

static void fill_candidate(const struct model *m, const struct sim_worker *w,
			   int kind, struct candidate *c)
{
	int i;

	memset(c, 0, sizeof(*c));
	c->capacity.cpu_milli = (uint32_t)m->cores * 1000;
	c->capacity.mem_mb = 64000;
	c->capacity.slots = SLOTS;
	c->capacity.conns = 60;
	c->free = c->capacity;
	for (i = 0; i < SLOTS; i++) {
		struct resources r;

		if (w->slots[i].kind < 0)
			continue;
		r = task_resources(m, w->slots[i].kind);
		c->free.cpu_milli -= r.cpu_milli;
		c->free.mem_mb -= r.mem_mb;
		c->free.slots--;
		c->tasks++;
	}
	if (w->is_out || m->step < w->quarantine_end_step)
		c->free.slots = 0;
	c->interference = expected_cost(m, w, kind);
}

static double cost_limit(const struct model *m, const struct sim_task *t)
{
	if (is_lc(t->kind))
		return INFINITY;
	return COST_LIMIT *
	       (1.0 + (m->step - t->queued_at_step) / LIMIT_DOUBLING_STEPS);
}

bool place_task(struct model *m, const struct sim_task *t)
{
	struct candidate c[WORKERS_MAX];
	struct resources need = task_resources(m, t->kind);
	struct sim_worker *w;
	int i, best;

	for (i = 0; i < m->worker_count; i++)
		fill_candidate(m, &m->workers[i], t->kind, &c[i]);
	best = placement_pick(m->policy->place, c, (size_t)m->worker_count,
			      &need, &m->rng);
	if (best < 0 || c[best].interference > cost_limit(m, t))
		return false;
	w = &m->workers[best];
	for (i = 0; w->slots[i].kind >= 0; i++)
		;
	w->slots[i] = *t;
	w->slots[i].speed = 1.0;
	w->slots[i].fails_at_step =
		w->is_failing ? m->step + FAIL_AFTER_STEPS : 0;
	return true;
}

void requeue(struct model *m, struct sim_task *t)
{
	m->lost_work += t->done_since_checkpoint;
	t->work_left += t->done_since_checkpoint;
	t->done_since_checkpoint = 0;
	t->speed = 1.0;
	t->queued_at_step = m->step;
	if (m->queue_count < sizeof(m->queue) / sizeof(m->queue[0]))
		m->queue[m->queue_count++] = *t;
	t->kind = -1;
}
