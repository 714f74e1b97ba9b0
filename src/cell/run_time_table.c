#include "cell/run_time_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"

/* Fewer runs say less than the declared time: those of one step may be all. */
#define SAMPLES_MIN 20
/* Least variance of a figure, in logarithms: a difference of 5 % is nothing to
 * go by. */
#define VARIANCE_MIN 0.0025
/* Multiplier of the hash of a row's key. */
#define KEY_PRIME 0x9e3779b97f4a7c15u

void run_time_table_init(struct run_time_table *t)
{
	memset(t, 0, sizeof(*t));
	index_init(&t->rows);
}

void run_time_table_finish(struct run_time_table *t)
{
	while (t->first) {
		struct run_time_row *r = t->first;

		t->first = r->next;
		free(r);
	}
	index_finish(&t->rows);
}

static uint64_t key_of(const struct run_time_kind *k)
{
	return k->queue ^ (k->step + 1) * KEY_PRIME;
}

static void drop_oldest(struct run_time_table *t)
{
	struct run_time_row **at, **oldest = NULL, *r;

	for (at = &t->first; *at; at = &(*at)->next)
		if (!oldest || (*at)->used < (*oldest)->used)
			oldest = at;
	if (!oldest)
		return;
	r = *oldest;
	*oldest = r->next;
	index_remove(&t->rows, r->key);
	free(r);
}

static struct run_time_row *get_or_add(struct run_time_table *t, uint64_t key)
{
	struct run_time_row *r = index_get(&t->rows, key);

	if (r)
		return r;
	if (index_count(&t->rows) >= RUN_TIME_ROWS_MAX)
		drop_oldest(t);
	r = xcalloc(1, sizeof(*r));
	r->key = key;
	r->next = t->first;
	t->first = r;
	index_put(&t->rows, key, r);
	return r;
}

/* Return: how many of the @n sorted values are less than @x. */
static size_t count_below(const float *sorted, size_t n, float x)
{
	size_t from = 0;

	while (from < n) {
		size_t middle = from + (n - from) / 2;

		if (sorted[middle] < x)
			from = middle + 1;
		else
			n = middle;
	}
	return from;
}

static void series_drop(struct run_time_series *s, size_t n, float x)
{
	size_t i = count_below(s->sorted, n, x);

	memmove(s->sorted + i, s->sorted + i + 1,
		(n - i - 1) * sizeof(*s->sorted));
	s->sum -= x;
	s->squares -= (double)x * x;
}

static void series_add(struct run_time_series *s, uint64_t samples, float x)
{
	size_t n = samples < RUN_TIME_SAMPLES ? samples : RUN_TIME_SAMPLES, i;

	if (n == RUN_TIME_SAMPLES)
		series_drop(s, n--, s->recent[samples % RUN_TIME_SAMPLES]);
	i = count_below(s->sorted, n, x);
	memmove(s->sorted + i + 1, s->sorted + i, (n - i) * sizeof(*s->sorted));
	s->sorted[i] = x;
	s->recent[samples % RUN_TIME_SAMPLES] = x;
	s->sum += x;
	s->squares += (double)x * x;
}

static double series_precision(const struct run_time_series *s, size_t n)
{
	double mean = s->sum / (double)n;
	double variance = s->squares / (double)n - mean * mean;

	return 1 / (variance > VARIANCE_MIN ? variance : VARIANCE_MIN);
}

static double log_ms(int64_t ms)
{
	return log(ms > 1 ? (double)ms : 1);
}

void run_time_table_learn(struct run_time_table *t,
			  const struct run_time_kind *k, int64_t measured_ms)
{
	struct run_time_row *r = get_or_add(t, key_of(k));
	double measured = log_ms(measured_ms);

	series_add(&r->ratio, r->samples,
		   (float)(measured - log_ms(k->declared_ms)));
	series_add(&r->time, r->samples, (float)measured);
	r->samples++;
	r->used = ++t->uses;
}

/**
 * struct blend - running times to expect of one kind of task
 * @count: known runs; 0 if they are too few
 * @weight: of the ratios; the times have the rest of 1
 * @declared: logarithm of the declared time
 */
struct blend {
	const struct run_time_row *row;
	size_t count;
	double weight;
	double declared;
};

static void blend_init(struct blend *b, const struct run_time_table *t,
		       const struct run_time_kind *k)
{
	double ratio, time;

	memset(b, 0, sizeof(*b));
	b->declared = log_ms(k->declared_ms);
	b->row = index_get(&t->rows, key_of(k));
	if (!b->row || b->row->samples < SAMPLES_MIN)
		return;
	b->count = b->row->samples < RUN_TIME_SAMPLES ? b->row->samples
						      : RUN_TIME_SAMPLES;
	ratio = series_precision(&b->row->ratio, b->count);
	time = series_precision(&b->row->time, b->count);
	b->weight = ratio / (ratio + time);
}

/* Logarithm of the running time of rank @i. */
static double blend_at(const struct blend *b, size_t i)
{
	double ratio = b->declared + (double)b->row->ratio.sorted[i];

	return b->weight * ratio +
	       (1 - b->weight) * (double)b->row->time.sorted[i];
}

/* The given share of the ranks from @from on. */
static double blend_quantile(const struct blend *b, size_t from, double share)
{
	double rank = (double)from + share * (double)(b->count - from);
	size_t i = rank > 0 ? (size_t)rank : 0;

	return exp(blend_at(b, i < b->count ? i : b->count - 1));
}

int64_t run_time_table_quantile(const struct run_time_table *t,
				const struct run_time_kind *k, double share)
{
	struct blend b;

	blend_init(&b, t, k);
	if (!b.count)
		return k->declared_ms;
	return llround(blend_quantile(&b, 0, share));
}

int64_t run_time_table_remaining(const struct run_time_table *t,
				 const struct run_time_kind *k,
				 int64_t elapsed_ms, double share)
{
	double elapsed = log_ms(elapsed_ms);
	size_t from = 0, to;
	int64_t total;
	struct blend b;

	blend_init(&b, t, k);
	for (to = b.count; from < to;) {
		size_t middle = from + (to - from) / 2;

		if (blend_at(&b, middle) <= elapsed)
			from = middle + 1;
		else
			to = middle;
	}
	if (b.count && from < b.count)
		total = llround(blend_quantile(&b, from, share));
	else if (!b.count && elapsed_ms < k->declared_ms)
		total = k->declared_ms;
	else
		total = elapsed_ms * 2;
	return total > elapsed_ms ? total - elapsed_ms : 1;
}
