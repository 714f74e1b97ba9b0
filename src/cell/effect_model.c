#include "cell/effect_model.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>

#include "base/field.h"

/* Headroom above this is cut off: it shows only that the task is idle. */
#define HEADROOM_MAX 5.0
/* Base before any sample: that of a task that uses half of the processors that
 * it declares; and its standard deviation. */
#define BASE_PRIOR 2.4
#define BASE_PRIOR_STDDEV 0.7
/* Weight of a sample in the running average of a base and of its variance. */
#define BASE_RATE 0.01
/* Effect of a pair before any sample: between the many pairs that hardly
 * interfere and the few where a tenth of a worker takes all headroom. */
#define EFFECT_PRIOR 4.0
#define EFFECT_PRIOR_VARIANCE 50.0
/* Added to the variance of a pair with each sample, as effects change with
 * time. */
#define EFFECT_DRIFT 0.003
/* Measurement variance of a sample: tail latencies are reported in whole
 * milliseconds, and the half second that a sample covers differs from that of
 * the measurements of its neighbours. */
#define SAMPLE_VARIANCE 0.04
/* Samples below this headroom do not update the load curve: a tail latency so
 * far over its target no longer reflects the load. */
#define HEADROOM_LOAD_MIN 0.5
/* Neighbours with a smaller share are ignored: samples do not show their
 * effect. */
#define SHARE_MIN 0.005

/**
 * struct effect_row - the estimate of one pair or base
 * @key: pair_key() of a pair, name_hash() of the image of a base
 */
struct effect_row {
	uint64_t key;
	bool is_base;
	double value;
	double variance;
	struct effect_row *next;
};

#define MICRO 1e6

/* A row of the stored record: values in millionths. */
struct stored_row {
	uint64_t key;
	uint32_t is_base;
	int64_t value;
	int64_t variance;
};

struct stored_model {
	struct list rows;
};

static const struct field stored_row_fields[] = {
	FIELD_OF(U64, stored_row, key),
	FIELD_OF(U32, stored_row, is_base),
	FIELD_OF(I64, stored_row, value),
	FIELD_OF(I64, stored_row, variance),
};

static const struct shape stored_row_shape =
	SHAPE_OF(stored_row_fields, stored_row);

static const struct field model_fields[] = {
	FIELD_LIST_OF(stored_model, rows, &stored_row_shape),
};

static const struct shape model_shape = SHAPE_OF(model_fields, stored_model);

static uint64_t pair_key(uint64_t serving, uint64_t best_effort)
{
	uint64_t k = serving ^ (best_effort << 17 | best_effort >> 47);

	return k ? k : 1;
}

void effect_model_init(struct effect_model *m)
{
	memset(m, 0, sizeof(*m));
	index_init(&m->pairs);
	index_init(&m->bases);
}

void effect_model_finish(struct effect_model *m)
{
	while (m->list) {
		struct effect_row *r = m->list;

		m->list = r->next;
		free(r);
	}
	index_finish(&m->pairs);
	index_finish(&m->bases);
}

static struct effect_row *row_get_or_add(struct effect_model *m,
					 struct index *x, uint64_t key,
					 double value, double variance)
{
	struct effect_row *r = index_get(x, key);

	if (r)
		return r;
	r = xcalloc(1, sizeof(*r));
	r->key = key;
	r->is_base = x == &m->bases;
	r->value = value;
	r->variance = variance;
	r->next = m->list;
	m->list = r;
	index_put(x, key, r);
	return r;
}

static void learn_base(struct effect_row *base, double error)
{
	base->value += BASE_RATE * error;
	base->variance += BASE_RATE * (error * error - base->variance);
}

void effect_model_curve_init(const struct effect_model *m, uint64_t serving,
			     struct load_curve *out)
{
	double stddev, base = effect_model_base(m, serving, &stddev);

	load_curve_init(out, base, stddev * stddev);
}

void effect_model_learn(struct effect_model *m, uint64_t serving,
			struct load_curve *curve, double time_s,
			double headroom, const struct effect_neighbour *n,
			size_t count)
{
	struct effect_row *rows[EFFECT_NEIGHBOURS_MAX];
	struct effect_row *base =
		row_get_or_add(m, &m->bases, serving, BASE_PRIOR,
			       BASE_PRIOR_STDDEV * BASE_PRIOR_STDDEV);
	double load, expected, load_variance, variance, error;
	double taken = 0, noise = SAMPLE_VARIANCE;
	size_t neighbours = 0, i;

	if (headroom > HEADROOM_MAX)
		headroom = HEADROOM_MAX;
	if (count > EFFECT_NEIGHBOURS_MAX)
		count = EFFECT_NEIGHBOURS_MAX;
	for (i = 0; i < count; i++) {
		rows[i] = NULL;
		if (n[i].share < SHARE_MIN)
			continue;
		rows[i] = row_get_or_add(m, &m->pairs,
					 pair_key(serving, n[i].image),
					 EFFECT_PRIOR, EFFECT_PRIOR_VARIANCE);
		taken += rows[i]->value * n[i].share;
		noise += rows[i]->variance * n[i].share * n[i].share;
		neighbours++;
	}
	load = load_curve_at(curve, &m->periods, time_s, &load_variance);
	expected = load - taken;
	variance = noise + fmax(load_variance, 0);
	error = headroom - fmax(expected, 0);
	if (!neighbours)
		learn_base(base, headroom - base->value);
	if (headroom >= HEADROOM_LOAD_MIN)
		load_curve_learn(curve, &m->periods, time_s, headroom + taken,
				 noise);
	for (i = 0; i < count; i++) {
		double gain;

		if (!rows[i])
			continue;
		gain = rows[i]->variance * n[i].share / variance;
		rows[i]->value = fmax(rows[i]->value - gain * error, 0);
		rows[i]->variance =
			rows[i]->variance * (1 - gain * n[i].share) +
			EFFECT_DRIFT;
	}
}

double effect_model_estimate(const struct effect_model *m, uint64_t serving,
			     uint64_t best_effort, double *stddev)
{
	const struct effect_row *r =
		index_get(&m->pairs, pair_key(serving, best_effort));

	if (stddev)
		*stddev = sqrt(r ? r->variance : EFFECT_PRIOR_VARIANCE);
	return r ? r->value : EFFECT_PRIOR;
}

double effect_model_base(const struct effect_model *m, uint64_t serving,
			 double *stddev)
{
	const struct effect_row *r = index_get(&m->bases, serving);

	if (stddev)
		*stddev = r ? sqrt(r->variance) : BASE_PRIOR_STDDEV;
	return r ? r->value : BASE_PRIOR;
}

void effect_model_write(const struct effect_model *m, struct buf *out)
{
	const struct effect_row *r;
	struct stored_model stored = {{NULL, 0}};
	struct stored_row *rows;
	struct arena a;
	size_t n = 0;

	for (r = m->list; r && n < EFFECT_ROWS_STORED_MAX; r = r->next)
		n++;
	arena_init(&a);
	rows = arena_alloc(&a, n * sizeof(*rows));
	for (r = m->list; stored.rows.count < n; r = r->next) {
		struct stored_row *row = &rows[stored.rows.count++];

		row->key = r->key;
		row->is_base = r->is_base;
		row->value = (int64_t)(r->value * MICRO);
		row->variance = (int64_t)(r->variance * MICRO);
	}
	stored.rows.items = rows;
	shape_write(&model_shape, &stored, out);
	arena_finish(&a);
}

int effect_model_read(struct effect_model *m, struct str text)
{
	struct stored_model stored = {{NULL, 0}};
	struct arena a;
	size_t i;
	int err;

	arena_init(&a);
	err = shape_read(&model_shape, text, &stored, &a);
	for (i = 0; !err && i < stored.rows.count; i++) {
		const struct stored_row *row =
			(const struct stored_row *)stored.rows.items + i;

		if (row->key)
			row_get_or_add(m, row->is_base ? &m->bases : &m->pairs,
				       row->key, (double)row->value / MICRO,
				       (double)row->variance / MICRO);
	}
	arena_finish(&a);
	return err;
}
