#include <gtest/gtest.h>

#include "cell/quota.h"

static account limits(uint64_t cpu, uint64_t memory_mb, uint64_t accelerators)
{
	account a = {};

	a.weight = 1;
	a.cpu_max = cpu;
	a.memory_max_mb = memory_mb;
	a.accelerators_max = accelerators;
	return a;
}

static const demand TASK = {1000, 200, 1};

/* A start that is let through at the limit of one kind because the others have
 * room brings the account above it. */
TEST(Quota, EachLimitHolds)
{
	const account all[] = {limits(3000, 0, 0), limits(0, 600, 0),
			       limits(0, 0, 3), limits(3999, 799, 3)};

	for (auto &a : all) {
		quota q = {};

		quota_set_limits(&q, &a);
		for (int i = 0; i < 3; i++) {
			EXPECT_TRUE(quota_fits(&q, &TASK, 1));
			quota_add_run(&q, &TASK);
		}
		EXPECT_FALSE(quota_fits(&q, &TASK, 1));
		EXPECT_FALSE(quota_is_exceeded(&q));
		quota_remove_run(&q, &TASK);
		EXPECT_TRUE(quota_fits(&q, &TASK, 1));
		EXPECT_FALSE(quota_fits(&q, &TASK, 2));
	}
}

/* An account without limits was kept from starting: 0 is no limit. */
TEST(Quota, ZeroIsNoLimit)
{
	account a = limits(0, 0, 0);
	quota q = {};

	quota_set_limits(&q, &a);
	for (int i = 0; i < 100; i++)
		quota_add_run(&q, &TASK);
	EXPECT_TRUE(quota_fits(&q, &TASK, 1000));
	EXPECT_FALSE(quota_is_exceeded(&q));
}

/* A task without accelerators waited for ever once the account's accelerators
 * were all taken. */
TEST(Quota, ALimitThatTheTaskDoesNotTouchDoesNotBlockIt)
{
	account a = limits(0, 0, 1);
	demand plain = {1000, 200, 0};
	quota q = {};

	quota_set_limits(&q, &a);
	quota_add_run(&q, &TASK);
	quota_add_run(&q, &TASK);
	EXPECT_FALSE(quota_fits(&q, &TASK, 1));
	EXPECT_TRUE(quota_fits(&q, &plain, 5));
}

/* A task that is larger than the limit would otherwise never run. A gang that
 * is larger would bring the account above it by more than one task. */
TEST(Quota, ATaskLargerThanTheLimitRunsAlone)
{
	account a = limits(500, 0, 0);
	quota q = {};

	quota_set_limits(&q, &a);
	EXPECT_TRUE(quota_fits(&q, &TASK, 1));
	EXPECT_FALSE(quota_fits(&q, &TASK, 2));
	quota_add_run(&q, &TASK);
	EXPECT_FALSE(quota_fits(&q, &TASK, 1));
}

/* Accounts come and go with the configuration, and an owner may last for
 * months: those without jobs and runs are freed, the others stay. */
TEST(Quota, TableKeepsAccountsInUseOnly)
{
	quota_table t;
	quota *a, *b;

	quota_table_init(&t);
	a = quota_table_get(&t, "a");
	b = quota_table_get(&t, "b");
	quota_table_get(&t, "c");
	EXPECT_EQ(quota_table_get(&t, "a"), a);
	a->jobs = 1;
	quota_add_run(b, &TASK);
	quota_table_drop_unused(&t);
	EXPECT_EQ(t.count, 2u);
	EXPECT_EQ(quota_table_get(&t, "a"), a);
	EXPECT_EQ(quota_table_get(&t, "b"), b);
	EXPECT_EQ(t.count, 2u);
	quota_table_finish(&t);
}
