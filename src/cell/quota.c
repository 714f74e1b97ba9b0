#include "cell/quota.h"

#include <stdlib.h>

void quota_table_init(struct quota_table *t)
{
	index_init(&t->by_name);
	t->first = NULL;
	t->count = 0;
}

void quota_table_finish(struct quota_table *t)
{
	while (t->first) {
		struct quota *q = t->first;

		t->first = q->next;
		free(q);
	}
	t->count = 0;
	index_finish(&t->by_name);
}

struct quota *quota_table_get(struct quota_table *t, const char *name)
{
	uint64_t id = name_hash(name);
	struct quota *q = index_get(&t->by_name, id);

	if (q)
		return q;
	q = xcalloc(1, sizeof(*q));
	name_set(q->name, name);
	q->next = t->first;
	t->first = q;
	t->count++;
	index_put(&t->by_name, id, q);
	return q;
}

void quota_table_drop_unused(struct quota_table *t)
{
	struct quota **at = &t->first;

	while (*at) {
		struct quota *q = *at;

		if (q->jobs || q->runs) {
			at = &q->next;
			continue;
		}
		*at = q->next;
		t->count--;
		index_remove(&t->by_name, name_hash(q->name));
		free(q);
	}
}

struct demand demand_of_step(const struct job_step *s)
{
	struct demand d = {s->cpu, s->memory_mb, s->accelerators};

	return d;
}

void quota_set_limits(struct quota *q, const struct account *a)
{
	q->max.cpu = a->cpu_max;
	q->max.memory_mb = a->memory_max_mb;
	q->max.accelerators = a->accelerators_max;
	q->weight = a->weight;
	q->is_known = true;
}

void quota_add_run(struct quota *q, const struct demand *d)
{
	q->taken.cpu += d->cpu;
	q->taken.memory_mb += d->memory_mb;
	q->taken.accelerators += d->accelerators;
	q->runs++;
}

void quota_remove_run(struct quota *q, const struct demand *d)
{
	q->taken.cpu -= d->cpu;
	q->taken.memory_mb -= d->memory_mb;
	q->taken.accelerators -= d->accelerators;
	q->runs--;
}

static bool is_within(uint64_t taken, uint64_t more, uint32_t count,
		      uint64_t max)
{
	return !max || !more || taken + more * count <= max;
}

bool quota_fits(const struct quota *q, const struct demand *d, uint32_t count)
{
	if (!q->runs && count == 1)
		return true;
	return is_within(q->taken.cpu, d->cpu, count, q->max.cpu) &&
	       is_within(q->taken.memory_mb, d->memory_mb, count,
			 q->max.memory_mb) &&
	       is_within(q->taken.accelerators, d->accelerators, count,
			 q->max.accelerators);
}

bool quota_is_exceeded(const struct quota *q)
{
	return (q->max.cpu && q->taken.cpu > q->max.cpu) ||
	       (q->max.memory_mb && q->taken.memory_mb > q->max.memory_mb) ||
	       (q->max.accelerators &&
		q->taken.accelerators > q->max.accelerators);
}
