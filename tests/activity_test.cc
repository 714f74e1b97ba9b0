#include <gtest/gtest.h>

#include <unistd.h>

#include "base/activity.h"

TEST(Activity, CountsTimeByWhatItWasSpentOn)
{
	activity_meter m;
	enum activity before;

	activity_init(&m);
	activity_enter(&m, ACTIVITY_WAIT);
	usleep(20000);
	activity_enter(&m, ACTIVITY_IO);
	before = activity_enter(&m, ACTIVITY_STORE);
	EXPECT_EQ(before, ACTIVITY_IO);
	usleep(10000);
	activity_enter(&m, before);
	activity_enter(&m, ACTIVITY_WAIT);
	EXPECT_GE(m.spent_ns[ACTIVITY_WAIT], 20000000u);
	EXPECT_GE(m.spent_ns[ACTIVITY_STORE], 10000000u);
	EXPECT_LT(m.spent_ns[ACTIVITY_PEERS], 1u);
	EXPECT_GE(activity_take_longest(&m), 10000000);
	EXPECT_EQ(activity_take_longest(&m), 0);
	EXPECT_STREQ(activity_name(ACTIVITY_SCHEDULE), "schedule");
}
