#include <gtest/gtest.h>

#include "cell/size_table.h"

namespace
{

class SizeTable : public testing::Test
{
      protected:
	void SetUp() override
	{
		size_table_init(&t);
	}

	void TearDown() override
	{
		size_table_finish(&t);
	}

	void see(const char *label, uint32_t cpu, uint32_t memory_mb,
		 uint32_t accelerators, int64_t now_ms = 0)
	{
		worker_size s = {name_hash("pool"),
				 label ? name_hash(label) : 0,
				 cpu,
				 memory_mb,
				 accelerators,
				 now_ms};

		size_table_add(&t, &s);
	}

	bool may_run(uint32_t cpu, uint32_t memory_mb, uint32_t accelerators,
		     const char *label = "", uint32_t flags = 0)
	{
		job_step s = {};

		s.count = 1;
		s.cpu = cpu;
		s.memory_mb = memory_mb;
		s.accelerators = accelerators;
		s.flags = flags;
		name_set(s.worker_label, label);
		return size_table_may_run(&t, "pool", &s);
	}

	size_table t;
};

/* A service whose workers are not known yet must be served. */
TEST_F(SizeTable, RefusesNothingOfAnUnknownService)
{
	EXPECT_TRUE(may_run(1000000, 1000000, 1000));
	see(nullptr, 1000, 1000, 0);
	EXPECT_FALSE(may_run(1000000, 1000, 0));
	job_step s = {};
	s.cpu = 1000000;
	EXPECT_TRUE(size_table_may_run(&t, "other", &s));
}

/* One worker has to have all that a task needs. */
TEST_F(SizeTable, CombinesNoTwoWorkers)
{
	see(nullptr, 64000, 1000, 0);
	see(nullptr, 1000, 250000, 0);
	see(nullptr, 2000, 2000, 8);
	EXPECT_TRUE(may_run(64000, 1000, 0));
	EXPECT_TRUE(may_run(1000, 250000, 0));
	EXPECT_TRUE(may_run(2000, 2000, 8));
	EXPECT_FALSE(may_run(2000, 250000, 0));
	EXPECT_FALSE(may_run(64001, 1, 0));
	EXPECT_FALSE(may_run(1, 1, 9));
	EXPECT_FALSE(may_run(3000, 1, 1));
}

/* Best-effort tasks use the processors that are left: their declared ones take
 * no capacity. */
TEST_F(SizeTable, NeedsNoProcessorsForBestEffortTasks)
{
	see(nullptr, 1000, 1000, 0);
	EXPECT_TRUE(may_run(9000, 1000, 0, "", STEP_BEST_EFFORT));
	EXPECT_FALSE(may_run(9000, 1001, 0, "", STEP_BEST_EFFORT));
}

TEST_F(SizeTable, NeedsTheLabelOnTheSameWorker)
{
	see(nullptr, 8000, 8000, 0);
	see("big", 8000, 8000, 0);
	see(nullptr, 1000, 1000, 0);
	see("small", 1000, 1000, 0);
	EXPECT_TRUE(may_run(8000, 1, 0, "big"));
	EXPECT_FALSE(may_run(8000, 1, 0, "small"));
	EXPECT_FALSE(may_run(1, 1, 0, "none"));
}

/* Workers that are away for seconds come back, and their work can wait. */
TEST_F(SizeTable, RemembersWorkersThatAreAwayForAWhile)
{
	see(nullptr, 8000, 8000, 0, 0);
	see(nullptr, 1000, 9000, 0, 0);
	for (int64_t now = 0; now <= 50000; now += 10000) {
		see(nullptr, 1000, 9000, 0, now);
		size_table_expire(&t, now);
	}
	EXPECT_TRUE(may_run(8000, 1, 0));
	see(nullptr, 1000, 9000, 0, 61000);
	size_table_expire(&t, 61000);
	EXPECT_FALSE(may_run(8000, 1, 0));
	EXPECT_TRUE(may_run(1000, 9000, 0));
}

/* The table of a large deployment must stay small, and not be stored again with
 * each look at the same workers. */
TEST_F(SizeTable, KeepsTheLargestOnly)
{
	for (uint32_t i = 0; i < 1000; i++)
		see(nullptr, 60000 + i, 250000 + i, 0);
	EXPECT_EQ(t.count, 1u);
	t.is_changed = false;
	for (uint32_t i = 0; i < 1000; i++)
		see(nullptr, 60000 + i, 250000 + i, 0, 5);
	EXPECT_FALSE(t.is_changed);
	EXPECT_EQ(t.rows[0].seen_ms, 5);
}

TEST_F(SizeTable, IsReadAsItWasWritten)
{
	size_table read;
	buf b;

	see(nullptr, 64000, 1000, 0);
	see("big", 1000, 250000, 2);
	buf_init(&b);
	size_table_write(&t, &b);
	size_table_init(&read);
	ASSERT_EQ(size_table_read(&read, {b.data, b.len}, 7), 0);
	ASSERT_EQ(read.count, 2u);
	EXPECT_EQ(read.rows[1].label, name_hash("big"));
	EXPECT_EQ(read.rows[1].memory_mb, 250000u);
	EXPECT_EQ(read.rows[1].seen_ms, 7);
	EXPECT_LT(size_table_read(&read, str_of("x"), 7), 0);
	EXPECT_EQ(read.count, 2u);
	size_table_finish(&read);
	buf_finish(&b);
}

} // namespace
