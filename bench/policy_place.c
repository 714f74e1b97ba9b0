#include "bench/policy_internal.h"

#include <math.h>

#define FAIL_STEPS 4
#define BATCH_PAIR_WEIGHT 0.25
/* Cost over which batch work waits for a better place, at first. */
#define COST_LIMIT 0.4
/* Waiting that doubles the limit, so that no kind waits for ever. */
#define COST_PATIENCE_STEPS 300.0

static struct resources needs(const struct model *m, int kind)
{
	struct resources r = {0};

	r.cpu_milli = (uint32_t)(m->cores * 1000 / SLOTS) / (kind % 3 ? 1 : 2);
	r.mem_mb = 1000;
	r.slots = 1;
	return r;
}

/* What a pair costs by what the policy knows, both ways. */
static double pair_cost(const struct model *m, int a, int b)
{
	double share = is_lc(a) || is_lc(b) ? 1.0 : BATCH_PAIR_WEIGHT;
	struct neighbour n = {service_of(b), 1.0};

	if (m->policy->knows)
		return (m->hidden[a][b] + m->hidden[b][a]) * share;
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

double expected_cost(const struct model *m, const struct model_host *h,
		     int kind)
{
	double cost = 0.0;
	int i;

	for (i = 0; i < SLOTS; i++)
		if (h->slots[i].kind >= 0)
			cost += m->cost[kind][h->slots[i].kind];
	return cost;
}

static void fill_candidate(const struct model *m, const struct model_host *h,
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

		if (h->slots[i].kind < 0)
			continue;
		r = needs(m, h->slots[i].kind);
		c->free.cpu_milli -= r.cpu_milli;
		c->free.mem_mb -= r.mem_mb;
		c->free.slots--;
		c->tasks++;
	}
	if (h->out || m->step < h->quarantine_until)
		c->free.slots = 0;
	c->interference = expected_cost(m, h, kind);
}

static double cost_limit(const struct model *m, const struct model_task *t)
{
	if (is_lc(t->kind))
		return INFINITY;
	return COST_LIMIT *
	       (1.0 + (m->step - t->queued_at) / COST_PATIENCE_STEPS);
}

bool place(struct model *m, const struct model_task *t)
{
	struct candidate c[WORKERS_MAX];
	struct resources need = needs(m, t->kind);
	struct model_host *h;
	int i, best;

	for (i = 0; i < m->host_count; i++)
		fill_candidate(m, &m->hosts[i], t->kind, &c[i]);
	best = placement_pick(m->policy->place, c, (size_t)m->host_count, &need,
			      &m->rng);
	if (best < 0 || c[best].interference > cost_limit(m, t))
		return false;
	h = &m->hosts[best];
	for (i = 0; h->slots[i].kind >= 0; i++)
		;
	h->slots[i] = *t;
	h->slots[i].speed = 1.0;
	h->slots[i].fails_at = h->failing ? m->step + FAIL_STEPS : 0;
	return true;
}

void requeue(struct model *m, struct model_task *t)
{
	m->lost_work += t->done_since_checkpoint;
	t->left += t->done_since_checkpoint;
	t->done_since_checkpoint = 0;
	t->speed = 1.0;
	t->queued_at = m->step;
	if (m->queue_count < sizeof(m->queue) / sizeof(m->queue[0]))
		m->queue[m->queue_count++] = *t;
	t->kind = -1;
}
