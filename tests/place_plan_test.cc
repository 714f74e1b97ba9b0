#include <gtest/gtest.h>

#include "cell/place_plan.h"

namespace
{

const int64_t NOW = 1000;

release at(int64_t ms, int64_t late_ms, int64_t cpu, int64_t memory_mb = 0)
{
	return {ms, late_ms, {cpu, memory_mb, 0}};
}

/* A start in 100 ms, beside which 2 processors are left. */
place_plan plan()
{
	return {{7, 0, 0}, 0, 1, 2, NOW + 100, 50, {2000, 1000, 0}};
}

plan_claim claim(int64_t run_ms, int64_t cpu)
{
	return {{8, 0, 0}, 0, 1, false, 500, run_ms, {cpu, 100, 0}};
}

plan_answer ask(const plan_claim &q)
{
	place_plan p = plan();

	return place_plan_ask(&p, &q, NOW);
}

} /* namespace */

/* A plan for the step 0 of the job with ID 0 was taken for none. */
TEST(PlacePlan, ExistsForAStepOfEachJob)
{
	place_plan p = {};

	EXPECT_FALSE(place_plan_exists(&p));
	p.tasks = 1;
	EXPECT_TRUE(place_plan_exists(&p));
}

/* A plan that takes the first end for enough starts nothing. */
TEST(ReleaseProfile, FindsWhenEnoughIsReleased)
{
	capacity left = {-1000, 500, 0}, need = {3000, 400, 0};
	release_profile p;
	release r, all[] = {at(1300, 1900, 2000), at(1100, 1200, 1500),
			    at(1200, 1250, 3000)};

	release_profile_init(&p, NOW, &left);
	for (auto &a : all)
		release_profile_add(&p, &a);
	ASSERT_TRUE(release_profile_find(&p, &need, &r));
	EXPECT_EQ(r.at_ms, 1200);
	EXPECT_EQ(r.late_ms, 1250);
	EXPECT_EQ(r.capacity.cpu, 500);
	EXPECT_EQ(r.capacity.memory_mb, 100);
	need.cpu = 6000;
	EXPECT_FALSE(release_profile_find(&p, &need, &r));
	need = {-1000, 600, 0};
	EXPECT_FALSE(release_profile_find(&p, &need, &r));
}

/* Worker with more tasks than are considered: no write beyond the array. */
TEST(ReleaseProfile, IgnoresTasksBeyondItsBound)
{
	capacity left = {}, need = {1, 0, 0};
	release a = at(1100, 1100, 0), r;
	release_profile p;

	release_profile_init(&p, NOW, &left);
	for (int i = 0; i < RELEASES_MAX * 2; i++)
		release_profile_add(&p, &a);
	EXPECT_EQ(p.count, (size_t)RELEASES_MAX);
	EXPECT_FALSE(release_profile_find(&p, &need, &r));
}

/* A later task must neither delay the planned ones nor wait for nothing. */
TEST(PlacePlan, AdmitsWhatEndsBeforeOrFitsBeside)
{
	EXPECT_EQ(ask(claim(100, 9000)), PLAN_BEFORE);
	EXPECT_EQ(ask(claim(101, 9000)), PLAN_HOLDS);
	EXPECT_EQ(ask(claim(5000, 2000)), PLAN_BESIDE);
	EXPECT_EQ(ask(claim(5000, 2001)), PLAN_HOLDS);
}

/* Each of two tasks fits beside the planned ones, both do not. */
TEST(PlacePlan, CountsWhatIsTakenBeside)
{
	plan_claim q = claim(5000, 1500), own = q;
	place_plan p = plan();

	EXPECT_TRUE(place_plan_started(&p, &q, PLAN_BESIDE));
	EXPECT_EQ(place_plan_ask(&p, &q, NOW), PLAN_HOLDS);
	own.owner = p.owner;
	EXPECT_EQ(place_plan_ask(&p, &own, NOW), PLAN_IS_OWN);
	EXPECT_TRUE(place_plan_started(&p, &own, PLAN_IS_OWN));
	EXPECT_FALSE(place_plan_started(&p, &own, PLAN_IS_OWN));
}

/* No job waits for a plan beyond its slack, and none of a higher class; one
 * that is late does not go before those that can end in time. */
TEST(PlacePlan, YieldsToWhatCannotWait)
{
	plan_claim q = claim(5000, 9000);

	q.slack_ms = 20;
	EXPECT_EQ(ask(q), PLAN_YIELDS);
	q.slack_ms = -1;
	EXPECT_EQ(ask(q), PLAN_HOLDS);
	q.slack_ms = 500;
	q.priority = 0;
	EXPECT_EQ(ask(q), PLAN_YIELDS);
	q.lateness = 1;
	EXPECT_EQ(ask(q), PLAN_HOLDS);
	q.goes_first = true;
	EXPECT_EQ(ask(q), PLAN_YIELDS);
}

/* Tasks that run on for ever must not keep a worker idle. */
TEST(PlacePlan, IsOverdueAfterTwiceItsUncertainty)
{
	place_plan p = plan();

	EXPECT_FALSE(place_plan_is_overdue(&p, NOW + 200));
	EXPECT_TRUE(place_plan_is_overdue(&p, NOW + 201));
}
