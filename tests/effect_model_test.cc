#include <gtest/gtest.h>

#include "base/rng.h"
#include "cell/effect_model.h"

namespace
{

const uint64_t SERVING = 11, HEAVY = 21, LIGHT = 22;

/* Headroom of a queue: 5 * (1 - load), less the effects of the neighbours. */
double headroom(rng *r, double heavy, double light)
{
	double load = 0.45 + 0.2 * (rng_unit(r) - 0.5);

	return 5 * (1 - load - 2 * heavy - 0.05 * light);
}

TEST(EffectModel, SeparatesTheEffectsOfTwoNeighbours)
{
	rng r = {7};
	load_curve curve;
	double time_s = 0;
	effect_model m;

	effect_model_init(&m);
	effect_model_curve_init(&m, SERVING, &curve);
	for (int i = 0; i < 300; i++) {
		double heavy = 0.1 * rng_unit(&r), light = 0.2 * rng_unit(&r);
		effect_neighbour n[] = {{HEAVY, heavy}, {LIGHT, light}};
		effect_model_learn(&m, SERVING, &curve, time_s += 0.1,
				   headroom(&r, heavy, light), n, 2);
		effect_model_learn(&m, SERVING, &curve, time_s += 0.1,
				   headroom(&r, 0, 0), NULL, 0);
	}
	double stddev;
	EXPECT_NEAR(effect_model_estimate(&m, SERVING, HEAVY, &stddev), 10, 3);
	EXPECT_LT(stddev, 3);
	EXPECT_NEAR(effect_model_estimate(&m, SERVING, LIGHT, NULL), 0.25, 1);
	effect_model_finish(&m);
}

TEST(EffectModel, LearnsAStrongEffectWithinAFewSamples)
{
	effect_neighbour n = {HEAVY, 0.1};
	load_curve curve;
	double time_s = 0;
	effect_model m;

	effect_model_init(&m);
	effect_model_curve_init(&m, SERVING, &curve);
	for (int i = 0; i < 4; i++)
		effect_model_learn(&m, SERVING, &curve, time_s += 0.1, 0.5, &n,
				   1);
	EXPECT_GT(effect_model_estimate(&m, SERVING, HEAVY, NULL), 9);
	EXPECT_DOUBLE_EQ(effect_model_estimate(&m, SERVING, LIGHT, NULL),
			 effect_model_estimate(&m, 99, 98, NULL));
	effect_model_finish(&m);
}

TEST(EffectModel, TracksAnEffectThatChanges)
{
	effect_neighbour n = {HEAVY, 0.1};
	load_curve curve;
	double time_s = 0;
	effect_model m;

	effect_model_init(&m);
	effect_model_curve_init(&m, SERVING, &curve);
	/* With a neighbour that is always present, a change of its effect
	 * cannot be told from a change of the load, so a second task of the
	 * step runs without neighbours. */
	for (int i = 0; i < 200; i++) {
		effect_model_learn(&m, SERVING, &curve, time_s += 0.1, 2.4, &n,
				   1);
		effect_model_learn(&m, SERVING, &curve, time_s, 2.4, NULL, 0);
	}
	EXPECT_LT(effect_model_estimate(&m, SERVING, HEAVY, NULL), 1);
	for (int i = 0; i < 100; i++) {
		effect_model_learn(&m, SERVING, &curve, time_s += 0.1, 1.0, &n,
				   1);
		effect_model_learn(&m, SERVING, &curve, time_s, 2.4, NULL, 0);
	}
	EXPECT_GT(effect_model_estimate(&m, SERVING, HEAVY, NULL), 7);
	effect_model_finish(&m);
}

TEST(EffectModel, EstimatesTheBaseOfAnImage)
{
	load_curve curve;
	double time_s = 0;
	effect_model m;
	double stddev;

	effect_model_init(&m);
	effect_model_curve_init(&m, SERVING, &curve);
	for (int i = 0; i < 1000; i++)
		effect_model_learn(&m, SERVING, &curve, time_s += 0.1,
				   i % 2 ? 3.4 : 2.6, NULL, 0);
	EXPECT_NEAR(effect_model_base(&m, SERVING, &stddev), 3.0, 0.1);
	EXPECT_NEAR(stddev, 0.4, 0.1);
	effect_model_finish(&m);
}

/* The record is also what tells other hosts that the cell has an owner. With
 * the effects between more than a hundred images on each other, it was larger
 * than the store accepts. */
TEST(EffectModel, FitsInOneRecord)
{
	const size_t record_max = 262144;
	effect_model m, copy;
	load_curve curve;
	buf b;

	effect_model_init(&m);
	effect_model_init(&copy);
	for (uint64_t i = 0; i < 20000; i++) {
		effect_neighbour n[] = {{(i << 40) + HEAVY, 0.5}};

		effect_model_curve_init(&m, i << 40, &curve);
		effect_model_learn(&m, i << 40, &curve, 1, 0.5, n, 1);
	}
	buf_init(&b);
	effect_model_write(&m, &b);
	EXPECT_LT(b.len, record_max);
	EXPECT_GT(b.len, record_max / 2);
	EXPECT_EQ(effect_model_read(&copy, {b.data, b.len}), 0);
	buf_finish(&b);
	effect_model_finish(&copy);
	effect_model_finish(&m);
}

} /* namespace */
