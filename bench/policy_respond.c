#include "bench/policy_internal.h"

#define THROTTLED_SPEED 0.3

void record_measurements(struct model *m, struct sim_worker *w)
{
	int sample = m->step % (LAG_STEPS + 1), i;

	w->measured_at_step[sample] = m->step;
	memcpy(w->past_slots[sample], w->slots, sizeof(w->slots));
	for (i = 0; i < SLOTS; i++)
		w->measured_slowdown[sample][i] =
			w->slots[i].kind < 0
				? 1.0
				: slowdown_of(m, w, i) *
					  (0.9 + 0.2 * rng_unit(&m->noise));
}

void observe_interference(struct model *m, const struct sim_worker *w,
			  int sample)
{
	struct neighbour n[SLOTS];
	int i, k;

	for (i = 0; i < SLOTS; i++) {
		size_t count = 0;

		if (w->past_slots[sample][i].kind < 0)
			continue;
		for (k = 0; k < SLOTS; k++) {
			if (k == i || w->past_slots[sample][k].kind < 0)
				continue;
			n[count].service =
				service_of(w->past_slots[sample][k].kind);
			n[count++].load = w->past_slots[sample][k].speed;
		}
		interference_observe(&m->learned, (int64_t)m->step * STEP_MS,
				     service_of(w->past_slots[sample][i].kind),
				     1.0, w->measured_slowdown[sample][i], n,
				     count);
	}
}

/*
 * Returns the slot of the batch task with the largest expected effect on the
 * latency-critical tasks of the worker, or -1 if the worker runs no batch task.
 */
static int find_interfering_task(const struct model *m,
				 const struct sim_worker *w)
{
	double worst = -1.0;
	int i, k, found = -1;

	for (i = 0; i < SLOTS; i++) {
		double effect = 0.0;

		if (w->slots[i].kind < 0 || is_lc(w->slots[i].kind))
			continue;
		for (k = 0; k < SLOTS; k++) {
			int lc = w->slots[k].kind;

			if (!is_lc(lc))
				continue;
			if (m->policy->is_oracle)
				effect += true_effect(m, lc, w->slots[i].kind);
			else if (m->policy->learns)
				effect += interference_effect(
					&m->learned, (int64_t)m->step * STEP_MS,
					service_of(lc),
					service_of(w->slots[i].kind));
			else
				effect += 1.0 / (2 + i);
		}
		if (effect > worst) {
			worst = effect;
			found = i;
		}
	}
	return found;
}

static void evict(struct model *m, struct sim_worker *w, int slot)
{
	if (m->step >= WARMUP_STEPS)
		m->evictions++;
	requeue(m, &w->slots[slot]);
}

void respond_to_slowdown(struct model *m, struct sim_worker *w, int sample)
{
	static const struct response_limits limits = {1.30, 1.15, 2};
	int64_t now = (int64_t)m->step * STEP_MS;
	int64_t measured = (int64_t)w->measured_at_step[sample] * STEP_MS;
	double worst = 1.0;
	int i, slot;

	for (i = 0; i < SLOTS; i++)
		if (is_lc(w->past_slots[sample][i].kind) &&
		    w->measured_slowdown[sample][i] > worst)
			worst = w->measured_slowdown[sample][i];
	slot = find_interfering_task(m, w);
	if (!m->policy->has_hysteresis) {
		if (worst > limits.upper && slot >= 0 &&
		    measured > w->response.last_action_ms) {
			w->response.last_action_ms = now;
			evict(m, w, slot);
		}
		return;
	}
	switch (response_step(&w->response, &limits, now, measured, worst)) {
	case RESPONSE_THROTTLE:
		if (slot >= 0)
			w->slots[slot].speed = THROTTLED_SPEED;
		break;
	case RESPONSE_EVICT:
		if (slot >= 0)
			evict(m, w, slot);
		break;
	case RESPONSE_UNTHROTTLE:
		for (i = 0; i < SLOTS; i++)
			w->slots[i].speed = 1.0;
		break;
	default:
		break;
	}
}
