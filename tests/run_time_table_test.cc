#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "cell/run_time_table.h"

namespace
{

class RunTimeTable : public ::testing::Test
{
      public:
	RunTimeTable()
	{
		run_time_table_init(&t);
	}

	~RunTimeTable() override
	{
		run_time_table_finish(&t);
	}

	static run_time_kind kind(uint32_t declared_ms, uint64_t queue = 1,
				  uint32_t step = 0)
	{
		return {queue, step, declared_ms};
	}

	void learn(double declared_ms, double measured_ms, uint64_t queue = 1)
	{
		run_time_kind k = kind((uint32_t)declared_ms, queue);

		run_time_table_learn(&t, &k, (int64_t)measured_ms);
	}

	double quantile(double declared_ms, double share)
	{
		run_time_kind k = kind((uint32_t)declared_ms);

		return (double)run_time_table_quantile(&t, &k, share);
	}

	double remaining(double declared_ms, int64_t elapsed_ms, double share)
	{
		run_time_kind k = kind((uint32_t)declared_ms);

		return (double)run_time_table_remaining(&t, &k, elapsed_ms,
							share);
	}

	/* Of the declared time, 0.1 to 1.9. */
	double factor()
	{
		return std::uniform_real_distribution<>(0.1, 1.9)(draws);
	}

	run_time_table t;
	std::mt19937 draws{1};
};

} /* namespace */

/* Nothing is known after a takeover: the declared time is better than a guess
 * from the tasks of one job. */
TEST_F(RunTimeTable, GoesByTheDeclaredTimeBeforeRunsAreKnown)
{
	EXPECT_EQ(quantile(800, 0.5), 800);
	EXPECT_EQ(remaining(800, 300, 0.5), 500);
	EXPECT_EQ(remaining(800, 1000, 0.5), 1000);
	for (int i = 0; i < 10; i++)
		learn(800, 100);
	EXPECT_EQ(quantile(800, 0.5), 800);
}

/* Declared times that are off by up to 90 % must not be trusted where all tasks
 * of a queue run for much the same time. */
TEST_F(RunTimeTable, GoesByMeasuredTimesWhereDeclaredOnesAreFarOff)
{
	std::normal_distribution<> measured(800, 80);

	for (int i = 0; i < 200; i++)
		learn(800 * factor(), measured(draws));
	for (double declared : {80., 800., 1520.})
		EXPECT_NEAR(quantile(declared, 0.5), 800, 150) << declared;
}

/* A queue of short and long tasks, whose callers know which is which. */
TEST_F(RunTimeTable, GoesByTheRatioWhereTasksDiffer)
{
	for (int i = 0; i < 200; i++) {
		double declared = i % 2 ? 200 : 5000;

		learn(declared, declared * 1.5);
	}
	EXPECT_NEAR(quantile(200, 0.5), 300, 45);
	EXPECT_NEAR(quantile(5000, 0.5), 7500, 1100);
}

/* Both figures vary: the expected time must err no more than the declared one
 * does. */
TEST_F(RunTimeTable, ErrsNoMoreThanDeclaredTimesOffByNinetyPercent)
{
	std::lognormal_distribution<> measured(std::log(700), 0.4);
	double learned = 0, declared = 0;

	for (int i = 0; i < 2000; i++) {
		double m = measured(draws), d = m / factor();

		if (i >= 500) {
			learned += std::fabs(std::log(quantile(d, 0.5) / m));
			declared += std::fabs(std::log(d / m));
		}
		learn(d, m);
	}
	EXPECT_LT(learned, declared * 0.9);
}

/* 3 % of the tasks run seven times as long as the mean. A task that has run for
 * longer than nearly all others is one of these; a plan that expects its end
 * any moment holds capacity in vain. */
TEST_F(RunTimeTable, ExpectsTaskPastMostOthersToRunForLong)
{
	std::uniform_real_distribution<> measured(600, 1000);

	for (int i = 0; i < 1000; i++)
		learn(800, i % 33 ? measured(draws) : 5600);
	EXPECT_NEAR(quantile(800, 0.5), 800, 80);
	EXPECT_LT(quantile(800, 0.95), 1100);
	EXPECT_GT(quantile(800, 0.99), 5000);
	EXPECT_NEAR(remaining(800, 700, 0.5), 120, 70);
	EXPECT_GT(remaining(800, 1200, 0.5), 4000);
	EXPECT_NEAR(remaining(800, 7000, 0.5), 7000, 1);
}

/* A queue changes what it runs. */
TEST_F(RunTimeTable, ForgetsOldRuns)
{
	for (int i = 0; i < RUN_TIME_SAMPLES; i++)
		learn(800, 5000 + i);
	for (int i = 0; i < RUN_TIME_SAMPLES; i++)
		learn(800, 100 + i % 10);
	EXPECT_LT(quantile(800, 1), 110);
	EXPECT_GE(quantile(800, 0), 100);
}

/* Queues without end must not fill the memory of a small host. */
TEST_F(RunTimeTable, KeepsTheQueuesThatRanLast)
{
	for (int i = 0; i < 50; i++)
		learn(800, 300, 7);
	for (uint64_t queue = 100; queue < 1000; queue++) {
		learn(800, 300, queue);
		if (queue % 50 == 0)
			learn(800, 300, 7);
	}
	EXPECT_EQ(index_count(&t.rows), (size_t)RUN_TIME_ROWS_MAX);
	run_time_kind k = kind(800, 7);
	EXPECT_NEAR((double)run_time_table_quantile(&t, &k, 0.5), 300, 1);
}
