#include "tests/cell_world.h"
#include "tests/log_capture.h"

namespace
{

job_step large_step()
{
	job_step s = CellWorld::task_step(3, 4000);

	s.estimate_ms = 2000;
	return s;
}

/* The largest jobs were served less than half as often as the others, and
 * nothing counted jobs by size. */
TEST(CellJob, CountsShortJobsByDeclaredWork)
{
	LogCapture log;
	CellWorld w;

	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(1)});
	w.submit(8, {large_step()});
	w.run(200);
	EXPECT_EQ(w.counts().short_accepted.count, 2u);
	EXPECT_EQ(w.counts().short_accepted.sum, 25u);
	EXPECT_EQ(w.counts().short_accepted.buckets[0], 1u);
	EXPECT_EQ(w.counts().short_accepted.buckets[5], 1u);
	EXPECT_EQ(w.counts().short_completed.count, 0u);
	w.end_all(7, RUN_DONE);
	w.run(4000);
	w.end_all(8, RUN_DONE);
	w.run(200);
	EXPECT_EQ(w.counts().short_completed.sum, 25u);
	EXPECT_EQ(w.counts().short_in_time.sum, 1u);
	std::string line = log.last("job settled");
	EXPECT_NE(line.find("job=0000000000000008"), std::string::npos) << line;
	EXPECT_NE(line.find(" core_seconds=24 "), std::string::npos) << line;
}

/* A job that is not completed, or is no short work, would hide which sizes of
 * short work are served. */
TEST(CellJob, CountsNoOtherJobsByDeclaredWork)
{
	CellWorld w;

	w.begin({"w1"});
	w.submit(7, {CellWorld::best_effort_step(1, 1000)});
	w.submit(8, {CellWorld::serving_step(1, 1000)});
	w.submit(9, {CellWorld::task_step(1)});
	w.run(200);
	EXPECT_EQ(w.counts().short_accepted.count, 1u);
	w.end_all(7, RUN_DONE);
	w.cancel(9);
	w.run(200);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
	EXPECT_EQ(w.state(9), (uint32_t)JOB_CANCELLED);
	EXPECT_EQ(w.counts().short_completed.count, 0u);
}

/* The next owner takes jobs over; they are not accepted a second time. */
TEST(CellJob, CountsAJobAsAcceptedByOneOwner)
{
	CellWorld w;

	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(1)});
	w.run(200);
	EXPECT_EQ(w.counts().short_accepted.count, 1u);
	w.take_over(2);
	w.run(500);
	w.end_all(7, RUN_DONE);
	w.run(500);
	EXPECT_EQ(w.counts().short_accepted.count, 0u);
	EXPECT_EQ(w.counts().short_completed.count, 1u);
}

/* The record of a job was stored after its cancel, and after a takeover: the
 * job ran for good. */
TEST(CellJob, StartsNoTaskOfAJobThatIsStoredAfterItsCancel)
{
	CellWorld w;

	w.begin({"w1"});
	w.cancel_unknown(7);
	w.run(200);
	w.take_over_on_a_new_host(2);
	w.run(200);
	w.submit(7, {CellWorld::serving_step(1, 1000)});
	w.run(2000);
	EXPECT_EQ(w.runs(7), 0u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_CANCELLED);
}

/* Each cancel without a job would stay in the store and in all hosts. */
TEST(CellJob, DropsACancelWithoutAJob)
{
	CellWorld w;

	w.opt.terminal_retention_ms = 1000;
	w.begin({"w1"});
	w.cancel_unknown(7);
	w.run(500);
	EXPECT_TRUE(job_view_get(&w.view, 7));
	w.run(10000);
	EXPECT_FALSE(job_view_get(&w.view, 7));
}

/* A job whose ID the index of the jobs did not hold was not found by its runs:
 * the capacity of those that had ended stayed taken, and they were started
 * again. */
TEST(CellJob, EndsAJobOfEachId)
{
	const uint64_t ids[] = {0, 1, UINT64_MAX - 1, UINT64_MAX};

	for (uint64_t id : ids) {
		CellWorld w;

		w.begin({"w1"});
		w.submit(id, {CellWorld::task_step(2, 8000)});
		w.run(200);
		EXPECT_EQ(w.runs(id), 2u) << id;
		w.end_all(id, RUN_DONE);
		w.submit(7, {CellWorld::task_step(2, 8000)});
		w.run(5000);
		EXPECT_EQ(w.state(id), (uint32_t)JOB_COMPLETED) << id;
		EXPECT_EQ(w.runs(7), 2u) << id;
		EXPECT_EQ(w.starts.size(), 4u) << id;
	}
}

} // namespace
