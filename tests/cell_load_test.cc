#include <gtest/gtest.h>

#include "cell_load.h"

namespace
{

/* The shapes of a deployment of 890 workers of 75 processors, for @share of it:
 * latency-critical tasks on seven eighths of the processors, large tasks, and
 * many best-effort ones. */
std::vector<LoadShape> serving(double share)
{
	return {{173 * share, 1, 24, 13000, 26000, 0, STEP_LONG_RUNNING, 2500,
		 2200, 16, 0}};
}

std::vector<LoadShape> mixed(double share, double best_effort = 1)
{
	return {{17.3 * share, 2, 9, 20000, 40000, 640, 0, 250, 1500, 1, 0},
		{24.3 * share * best_effort, 2, 39, 7000, 13000, 1700,
		 STEP_BEST_EFFORT | STEP_CHECKPOINTS, 1000, 2000, 30, 2},
		{1 * share, 1, 24, 13000, 26000, 0, STEP_LONG_RUNNING, 2500,
		 2200, 16, 0}};
}

/* Workers that placement looks at for each start, in a burst on @workers. */
double examined_per_start(size_t workers)
{
	double share = (double)workers / 890;
	CellLoad l(workers, 75000, 1);
	struct cell_counts before, after;

	l.play(serving(share), 1000);
	before = l.counts();
	l.play(mixed(share, 2.6), 4000);
	after = l.counts();
	EXPECT_TRUE(l.duplicates.empty());
	return (double)(after.examined - before.examined) /
	       (double)(after.starts - before.starts);
}

/* Workers that placement looks at for each task on a large site of which
 * @percent are in use. */
double examined_per_task(size_t workers, int64_t percent)
{
	CellLoad l(workers, SITE_WORKER_CPU, 1);
	struct cell_counts before, after;

	l.play(site_serving(workers, percent, 1000), 1000);
	l.play(site_arrivals(workers), 2500);
	before = l.counts();
	l.play(site_arrivals(workers), 1000);
	after = l.counts();
	EXPECT_GT(after.starts, before.starts + 1000);
	EXPECT_TRUE(l.duplicates.empty());
	return (double)(after.examined - before.examined) /
	       (double)(after.starts - before.starts);
}

} /* namespace */

/*
 * Each task looked at all workers, and each waiting step again in every pass
 * once the demands that wait outnumbered a cache of 64: the owner of 890
 * workers spent its whole processor on placement, and hosts took it for dead.
 */
TEST(CellLoad, PlacementLooksAtFewWorkersForEachTask)
{
	double small = examined_per_start(65), large = examined_per_start(890);

	EXPECT_LT(large, 890 / 2);
	EXPECT_LT(large, small * 890 / 65);
}

/*
 * Placing a task takes longer than 20 us on a site of 890 workers. A pass takes
 * less than 0.15 us for each worker that it examines (cell_bench, ns_examined).
 */
TEST(CellLoad, PlacementOfOneTaskStaysWithinItsTimeOnALargeSite)
{
	const double task_max_us = 20, examine_us = 0.15;

	EXPECT_LT(examined_per_task(890, 60), task_max_us / examine_us);
	EXPECT_LT(examined_per_task(890, 95), task_max_us / examine_us);
}

/*
 * A store that is slow lets the owner store a batch each 400 ms only. The
 * backlog of a burst must not stop the starts: those that were stored are sent,
 * and large tasks still find room.
 */
TEST(CellLoad, StartsGoOnWhileTheStoreIsSlowInABurst)
{
	CellLoad l(890, 75000, 1);
	size_t starts;

	l.play(serving(1), 1000);
	l.play(mixed(1), 1000);
	for (int i = 0; i < 10; i++) {
		starts = l.starts.size();
		l.storing = false;
		l.play(mixed(1, 2.6), 395);
		l.storing = true;
		l.play(mixed(1, 2.6), 5);
		EXPECT_GT(l.starts.size(), starts + 100);
	}
	EXPECT_TRUE(l.duplicates.empty());
}
