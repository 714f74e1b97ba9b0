#include "cell/fair_share.h"

#include <stdlib.h>

static int cmp_demand_by_weight(const void *pa, const void *pb)
{
	const struct fair_share *a = pa, *b = pb;
	double x = (double)a->demand / (double)a->weight;
	double y = (double)b->demand / (double)b->weight;

	return (x > y) - (x < y);
}

void fair_share_divide(struct fair_share *all, size_t count, uint64_t capacity)
{
	double weights = 0, left = (double)capacity;
	size_t i;

	for (i = 0; i < count; i++)
		weights += (double)all[i].weight;
	if (count)
		qsort(all, count, sizeof(*all), cmp_demand_by_weight);
	for (i = 0; i < count; i++) {
		double weight = (double)all[i].weight;
		double part = left * weight / weights;

		all[i].share = all[i].demand;
		if ((double)all[i].demand > part)
			all[i].share = (uint64_t)part;
		left -= (double)all[i].share;
		weights -= weight;
	}
}
