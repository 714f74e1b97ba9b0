#include <gtest/gtest.h>

#include <cmath>

#include "base/rng.h"
#include "cell/load_curve.h"

namespace
{

/* Headroom under a load that oscillates with @period, in seconds. */
double oscillation(double t, double period, double phase)
{
	return 2.7 + 1.1 * std::cos(2 * M_PI * (t - phase) / period);
}

TEST(LoadCurve, PredictsAnOscillationOfUnknownPeriod)
{
	for (double period : {8.0, 14.0, 23.0}) {
		load_periods p = {};
		load_curve c;
		rng r = {3};
		double t, worst = 0;

		load_curve_init(&c, 2.4, 0.6);
		for (t = 1000; t < 1000 + 3 * period; t += 0.1)
			load_curve_learn(&c, &p, t,
					 oscillation(t, period, 2) +
						 0.3 * (rng_unit(&r) - 0.5),
					 0.04);
		for (double ahead = 0; ahead < 3; ahead += 0.5)
			worst = std::fmax(
				worst,
				std::fabs(
					load_curve_at(&c, &p, t + ahead, NULL) -
					oscillation(t + ahead, period, 2)));
		EXPECT_LT(worst, 0.35) << period;
	}
}

/* Once the period is known, only the phase of a new step has to be learned. */
TEST(LoadCurve, FindsThePhaseOfANewStepInSeconds)
{
	load_periods p = {};
	load_curve known, fresh;
	double t, variance;

	load_curve_init(&known, 2.4, 0.6);
	load_curve_init(&fresh, 2.7, 0.6);
	for (t = 0; t < 40; t += 0.1)
		load_curve_learn(&known, &p, t, oscillation(t, 14, 2), 0.04);
	for (; t < 43; t += 0.1)
		load_curve_learn(&fresh, &p, t, oscillation(t, 14, 9), 0.04);
	EXPECT_NEAR(load_curve_at(&fresh, &p, t + 2, &variance),
		    oscillation(t + 2, 14, 9), 0.5);
	EXPECT_LT(variance, 0.2);
}

TEST(LoadCurve, FindsTheMinimumOfASpan)
{
	load_periods p = {};
	load_curve c;
	double t;

	load_curve_init(&c, 2.4, 0.6);
	for (t = 0; t < 56; t += 0.1)
		load_curve_learn(&c, &p, t, oscillation(t, 14, 0), 0.04);
	/* The headroom is greatest at 56 s and least at 63 s. */
	EXPECT_GT(load_curve_min(&c, &p, 55, 57, 0), 3.3);
	EXPECT_LT(load_curve_min(&c, &p, 56, 63, 0), 1.9);
	EXPECT_LT(load_curve_min(&c, &p, 55, 57, 2),
		  load_curve_min(&c, &p, 55, 57, 0));
}

TEST(LoadCurve, FollowsAConstantLevel)
{
	load_periods p = {};
	load_curve c;

	load_curve_init(&c, 2.4, 0.6);
	for (double t = 0; t < 30; t += 0.1)
		load_curve_learn(&c, &p, t, 3.1, 0.04);
	EXPECT_NEAR(load_curve_min(&c, &p, 30, 33, 0), 3.1, 0.2);
}

} /* namespace */
