#include "bench/policy_internal.h"

#define THROTTLED_SPEED 0.3

void remember(struct model *m, struct model_host *h)
{
	int at = m->step % (LAG_STEPS + 1), i;

	h->history_at[at] = m->step;
	memcpy(h->seen[at], h->slots, sizeof(h->slots));
	for (i = 0; i < SLOTS; i++)
		h->seen_slow[at][i] =
			h->slots[i].kind < 0
				? 1.0
				: slowdown_of(m, h, i) *
					  (0.9 + 0.2 * rng_unit(&m->noise));
}

void learn(struct model *m, const struct model_host *h, int at)
{
	struct neighbour n[SLOTS];
	int i, k;

	for (i = 0; i < SLOTS; i++) {
		size_t count = 0;

		if (h->seen[at][i].kind < 0)
			continue;
		for (k = 0; k < SLOTS; k++) {
			if (k == i || h->seen[at][k].kind < 0)
				continue;
			n[count].service = service_of(h->seen[at][k].kind);
			n[count++].load = h->seen[at][k].speed;
		}
		interference_observe(&m->learned, (int64_t)m->step * STEP_MS,
				     service_of(h->seen[at][i].kind), 1.0,
				     h->seen_slow[at][i], n, count);
	}
}

/* The batch neighbour that is thought to do the most harm to services. */
static int culprit(const struct model *m, const struct model_host *h)
{
	double worst = -1.0;
	int i, k, found = -1;

	for (i = 0; i < SLOTS; i++) {
		double harm = 0.0;

		if (h->slots[i].kind < 0 || is_lc(h->slots[i].kind))
			continue;
		for (k = 0; k < SLOTS; k++) {
			int lc = h->slots[k].kind;

			if (!is_lc(lc))
				continue;
			if (m->policy->knows)
				harm += hidden_effect(m, lc, h->slots[i].kind);
			else if (m->policy->learns)
				harm += interference_effect(
					&m->learned, (int64_t)m->step * STEP_MS,
					service_of(lc),
					service_of(h->slots[i].kind));
			else
				harm += 1.0 / (2 + i);
		}
		if (harm > worst) {
			worst = harm;
			found = i;
		}
	}
	return found;
}

static void evict(struct model *m, struct model_host *h, int slot)
{
	if (m->step >= WARM_STEPS)
		m->evictions++;
	requeue(m, &h->slots[slot]);
}

void respond(struct model *m, struct model_host *h, int at)
{
	static const struct response_limits limits = {1.30, 1.15, 2};
	int64_t now = (int64_t)m->step * STEP_MS;
	int64_t measured = (int64_t)h->history_at[at] * STEP_MS;
	double worst = 1.0;
	int i, slot;

	for (i = 0; i < SLOTS; i++)
		if (is_lc(h->seen[at][i].kind) && h->seen_slow[at][i] > worst)
			worst = h->seen_slow[at][i];
	slot = culprit(m, h);
	if (!m->policy->hysteresis) {
		if (worst > limits.upper && slot >= 0 &&
		    measured > h->response.last_action_ms) {
			h->response.last_action_ms = now;
			evict(m, h, slot);
		}
		return;
	}
	switch (response_step(&h->response, &limits, now, measured, worst)) {
	case RESPONSE_THROTTLE:
		if (slot >= 0)
			h->slots[slot].speed = THROTTLED_SPEED;
		break;
	case RESPONSE_EVICT:
		if (slot >= 0)
			evict(m, h, slot);
		break;
	case RESPONSE_UNTHROTTLE:
		for (i = 0; i < SLOTS; i++)
			h->slots[i].speed = 1.0;
		break;
	default:
		break;
	}
}
