#include <gtest/gtest.h>

#include "core/placement.h"
#include "core/worker_table.h"

#include <errno.h>

static const struct resources need = {1000, 100, 0, 1, 2};

TEST(Placement, PicksOnlyWhatFitsInEveryResource)
{
	struct candidate c[6];
	struct rng rng = {1};
	int i;

	for (i = 0; i < 6; i++)
		c[i] = {need, need, 0, 0};
	EXPECT_GE(placement_pick(&placement_best, c, 6, &need, &rng), 0);
	c[0].free.cpu_milli--;
	c[1].free.mem_mb--;
	c[2].free.slots--;
	c[3].free.conns--;
	EXPECT_GE(placement_pick(&placement_first_fit, c, 6, &need, &rng), 4);
	EXPECT_EQ(placement_pick(&placement_best, c, 4, &need, &rng), -ENOSPC);
	EXPECT_EQ(placement_pick(&placement_best, c, 0, &need, &rng), -ENOSPC);
}

TEST(Placement, BestAvoidsInterferenceThenSpreads)
{
	const struct resources size = {8000, 1000, 0, 8, 60};
	const struct resources half = {4000, 500, 0, 4, 30};
	struct candidate c[3] = {{half, size, 4, 0.0},
				 {size, size, 0, 0.9},
				 {size, size, 0, 0}};
	struct rng rng = {1};

	EXPECT_EQ(placement_pick(&placement_best, c, 3, &need, &rng), 2);
	EXPECT_EQ(placement_pick(&placement_best, c, 2, &need, &rng), 0);
}

class WorkerTable : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		worker_table_init(&t);
		w = worker_table_add(&t, 7, "w", 1);
		w->capacity = {2000, 1000, 0, 2, 10};
	}
	void TearDown() override
	{
		worker_table_finish(&t);
	}

	struct worker_table t;
	struct worker *w;
};

TEST_F(WorkerTable, CommitmentsNeverExceedTheCapacity)
{
	struct commitment *a = worker_commit(&t, w, 1, 1, &need);

	ASSERT_NE(a, nullptr);
	EXPECT_EQ(worker_commit(&t, w, 1, 1, &need), nullptr) << "twice";
	ASSERT_NE(worker_commit(&t, w, 2, 1, &need), nullptr);
	EXPECT_EQ(worker_commit(&t, w, 3, 1, &need), nullptr) << "full";
	commitment_end(a, TASK_STOPPED);
	commitment_end(a, TASK_STOPPED);
	EXPECT_EQ(w->used.cpu_milli, 1000u) << "released once";
	EXPECT_NE(worker_commit(&t, w, 3, 1, &need), nullptr);
}

TEST_F(WorkerTable, ReportedTasksCountAsCommitted)
{
	struct task_status s = {};

	s.job = 4;
	s.attempt = 2;
	s.state = TASK_RUNNING;
	s.res = need;
	worker_adopt(&t, w, &s);
	EXPECT_EQ(w->used.cpu_milli, 1000u);
	s.job = 5;
	s.state = TASK_FINISHED;
	worker_adopt(&t, w, &s);
	EXPECT_EQ(w->used.cpu_milli, 1000u) << "ended tasks use no capacity";
	worker_reset(&t, w);
	EXPECT_EQ(w->used.cpu_milli, 0u);
	EXPECT_EQ(worker_table_commitment(&t, 4, 2), nullptr);
}
