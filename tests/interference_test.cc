#include <gtest/gtest.h>

#include "base/rng.h"
#include "core/interference.h"
#include "core/response.h"

TEST(Interference, SeparatesNeighboursThatAreObservedTogether)
{
	struct interference x;
	struct rng rng = {3};
	int i;

	interference_init(&x);
	for (i = 0; i < 400; i++) {
		struct neighbour n[2] = {{2, 1.0}, {3, 1.0}};
		size_t count = 1 + rng_below(&rng, 2);
		double slowdown = 1.0 + 0.8 * (count > 0) * 1.0;

		if (count == 1)
			n[0].service = rng_below(&rng, 2) ? 2 : 3;
		slowdown = 1.0;
		for (size_t k = 0; k < count; k++)
			slowdown += n[k].service == 2 ? 0.8 : 0.0;
		slowdown *= 0.9 + 0.2 * rng_unit(&rng);
		interference_observe(&x, i * 5000, 1, 1.0, slowdown, n, count);
	}
	EXPECT_NEAR(interference_effect(&x, 2000000, 1, 2), 0.8, 0.2);
	EXPECT_NEAR(interference_effect(&x, 2000000, 1, 3), 0.0, 0.15);
	EXPECT_GT(interference_confidence(&x, 2000000, 1, 2), 0.8);
	interference_finish(&x);
}

TEST(Interference, EffectDecaysWithTime)
{
	struct interference x;
	struct neighbour n = {2, 1.0};
	int i;

	interference_init(&x);
	for (i = 0; i < 50; i++)
		interference_observe(&x, i * 1000, 1, 1.0, 2.0, &n, 1);
	EXPECT_GT(interference_effect(&x, 50000, 1, 2), 0.8);
	EXPECT_LT(interference_effect(&x, 50000 + 12 * 3600000, 1, 2), 0.1);
	EXPECT_GT(interference_effect(&x, 0, 9, 9), 0.0) << "unknown pairs";
	interference_finish(&x);
}

static const struct response_limits limits = {1.3, 1.1, 2};

TEST(Response, EscalatesOnlyAfterRepeatedMeasurements)
{
	struct response r = {};

	EXPECT_EQ(response_step(&r, &limits, 10, 5, 2.0), RESPONSE_NONE);
	EXPECT_EQ(response_step(&r, &limits, 20, 15, 2.0), RESPONSE_THROTTLE);
	EXPECT_EQ(response_step(&r, &limits, 30, 19, 2.0), RESPONSE_NONE)
		<< "measured before the throttle";
	EXPECT_EQ(response_step(&r, &limits, 40, 30, 2.0), RESPONSE_NONE);
	EXPECT_EQ(response_step(&r, &limits, 50, 45, 2.0), RESPONSE_EVICT);
}

TEST(Response, DoesNotFlapBetweenTheLimits)
{
	struct response r = {};
	int64_t t = 100;
	int i;

	response_step(&r, &limits, 10, 5, 2.0);
	response_step(&r, &limits, 20, 15, 2.0);
	for (i = 0; i < 50; i++, t += 10)
		EXPECT_EQ(response_step(&r, &limits, t, t - 1, 1.2),
			  RESPONSE_NONE);
	for (i = 0; i < 3; i++, t += 10)
		EXPECT_EQ(response_step(&r, &limits, t, t - 1, 1.0),
			  RESPONSE_NONE);
	EXPECT_EQ(response_step(&r, &limits, t, t - 1, 1.0),
		  RESPONSE_UNTHROTTLE);
}
