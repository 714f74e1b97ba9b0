#include "core/interference.h"

#include <math.h>
#include <stdlib.h>

#include "base/buf.h"
#include "core/msg.h"

/* Effect assumed for an unknown pair. */
#define PRIOR_EFFECT 0.05
/* Number of measurements that weigh as much as the prior. */
#define PRIOR_WEIGHT 3.0
/* Largest weight of a pair; its share of an error falls no further. */
#define WEIGHT_MAX 60.0
#define HALF_LIFE_MS (30.0 * 60.0 * 1000.0)
#define LEARNING_RATE 0.5
#define EFFECT_MAX 10.0

struct interference_pair {
	double effect;
	double weight;
	int64_t at_ms;
};

void interference_init(struct interference *x)
{
	index_init(&x->pairs);
	x->list = NULL;
	x->count = 0;
}

void interference_finish(struct interference *x)
{
	size_t i;

	for (i = 0; i < x->count; i++)
		free(x->list[i]);
	free(x->list);
	index_finish(&x->pairs);
}

static uint64_t pair_id(uint64_t subject, uint64_t neighbour)
{
	return attempt_id(subject ^ (neighbour * 0x9e3779b97f4a7c15ULL), 1);
}

static struct interference_pair *get_pair(struct interference *x,
					  uint64_t subject, uint64_t neighbour)
{
	uint64_t id = pair_id(subject, neighbour);
	struct interference_pair *p = index_get(&x->pairs, id);

	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	index_put(&x->pairs, id, p);
	x->list = xrealloc(x->list, (x->count + 1) * sizeof(*x->list));
	x->list[x->count++] = p;
	return p;
}

static double decayed_weight(const struct interference_pair *p, int64_t now_ms)
{
	return p->weight * exp2(-(double)(now_ms - p->at_ms) / HALF_LIFE_MS);
}

double interference_effect(const struct interference *x, int64_t now_ms,
			   uint64_t subject, uint64_t neighbour)
{
	const struct interference_pair *p =
		index_get(&x->pairs, pair_id(subject, neighbour));
	double w;

	if (!p)
		return PRIOR_EFFECT;
	w = decayed_weight(p, now_ms);
	return (w * p->effect + PRIOR_WEIGHT * PRIOR_EFFECT) /
	       (w + PRIOR_WEIGHT);
}

double interference_confidence(const struct interference *x, int64_t now_ms,
			       uint64_t subject, uint64_t neighbour)
{
	const struct interference_pair *p =
		index_get(&x->pairs, pair_id(subject, neighbour));
	double w = p ? decayed_weight(p, now_ms) : 0.0;

	return w / (w + PRIOR_WEIGHT);
}

/*
 * Distributes the prediction error over the neighbours. A neighbour whose pair
 * has a lower weight gets a larger share of the error.
 */
void interference_observe(struct interference *x, int64_t now_ms,
			  uint64_t subject, double load, double slowdown,
			  const struct neighbour *n, size_t count)
{
	double predicted = 0.0, shares = 0.0, error, share;
	size_t i;

	for (i = 0; i < count; i++) {
		struct interference_pair *p =
			get_pair(x, subject, n[i].service);

		p->weight = decayed_weight(p, now_ms);
		p->at_ms = now_ms;
		predicted += p->effect * n[i].load * load;
		shares += n[i].load * n[i].load / (1.0 + p->weight);
	}
	if (shares <= 0.0 || load <= 0.0)
		return;
	error = slowdown - 1.0 - predicted;
	for (i = 0; i < count; i++) {
		struct interference_pair *p =
			get_pair(x, subject, n[i].service);

		share = n[i].load / (1.0 + p->weight) / shares;
		p->effect += LEARNING_RATE * error * share / load;
		if (p->effect < 0.0)
			p->effect = 0.0;
		if (p->effect > EFFECT_MAX)
			p->effect = EFFECT_MAX;
		p->weight = p->weight + 1.0 > WEIGHT_MAX ? WEIGHT_MAX
							 : p->weight + 1.0;
	}
}

double interference_cost(const struct interference *x, int64_t now_ms,
			 uint64_t service, const struct neighbour *n,
			 size_t count)
{
	double cost = 0.0;
	size_t i;

	for (i = 0; i < count; i++)
		cost += interference_effect(x, now_ms, service, n[i].service) +
			interference_effect(x, now_ms, n[i].service, service);
	return cost;
}
