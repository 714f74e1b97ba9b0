#include <cerrno>

#include "cell/effect_model.h"
#include "tests/cell_world.h"

TEST(Cell, RunsAJobToCompletion)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(2)});
	w.run(50);
	EXPECT_EQ(w.runs(7), 2u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
	w.end_all(7, RUN_DONE);
	w.run(100);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
	w.run(2000);
	EXPECT_TRUE(w.workers["w1"].ended.empty());
	EXPECT_EQ(w.starts.size(), 2u);
}

TEST(Cell, AcknowledgesAnEndOnlyOnceItIsStored)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(1)});
	w.run(50);
	w.storing = false;
	w.end_all(7, RUN_DONE);
	w.run(3000);
	EXPECT_EQ(w.workers["w1"].ended.size(), 1u);
	w.storing = true;
	w.run(3000);
	EXPECT_TRUE(w.workers["w1"].ended.empty());
}

TEST(Cell, StartsAStepOnceTheStepsBeforeItAreDone)
{
	CellWorld w;
	job_step second = CellWorld::task_step(1);

	second.after = 1;
	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(2), second});
	w.run(200);
	EXPECT_FALSE(w.find(7, 1));
	w.end(7, RUN_DONE, 0, 0);
	w.run(200);
	EXPECT_FALSE(w.find(7, 1));
	w.end(7, RUN_DONE, 0, 1);
	w.run(200);
	EXPECT_TRUE(w.find(7, 1));
}

TEST(Cell, FailsAJobAfterItsLastAttempt)
{
	CellWorld w;

	w.begin({"w1", "w2"}, 50);
	w.submit(7, {CellWorld::task_step(1)}, 2);
	w.run(200);
	w.end_all(7, RUN_FAILED);
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
	w.end_all(7, RUN_FAILED);
	w.run(500);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_FAILED);
	EXPECT_EQ(w.runs(7), 0u);
	EXPECT_EQ(w.starts.size(), 2u);
}

TEST(Cell, StopsACancelledJob)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(3)});
	w.run(200);
	EXPECT_EQ(w.runs(7), 3u);
	w.cancel(7);
	w.run(200);
	EXPECT_EQ(w.runs(7), 0u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_CANCELLED);
}

TEST(Cell, DoesNotPlaceWithoutAuthority)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.authority = false;
	w.submit(7, {CellWorld::task_step(1)});
	w.run(500);
	EXPECT_EQ(w.runs(7), 0u);
	w.authority = true;
	w.run(100);
	EXPECT_EQ(w.runs(7), 1u);
}

TEST(Cell, DoesNotPlaceInAClosedZoneOrOnADrainingWorker)
{
	CellWorld w;

	w.take_over(1);
	w.add_worker("w1", 16000, "z1");
	w.add_worker("w2", 16000, "z2");
	w.entries["w2"].draining = true;
	w.announce("w2");
	w.closed_zones.insert("z1");
	w.run(50);
	w.submit(7, {CellWorld::task_step(1)});
	w.run(500);
	EXPECT_EQ(w.runs(7), 0u);
	w.closed_zones.clear();
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
}

/*
 * A host that was paused between storing an intent and its reply acted on the
 * time of its last tick: the reply was handled first after the pause, and the
 * tasks were started although another host could own the cell by then.
 */
TEST(Cell, StartsNothingAfterAPauseThatOutlastsItsAuthority)
{
	CellWorld w;
	buf b;

	w.begin({"w1"}, 50);
	w.storing = false;
	w.submit(7, {CellWorld::task_step(1)});
	w.run(100);
	buf_init(&b);
	ASSERT_TRUE(cell_take_batch(w.c, &b));
	w.now += 5000;
	cell_batch_stored(w.c);
	w.answer_all();
	buf_finish(&b);
	EXPECT_EQ(w.starts.size(), 0u);
}

/* The same for a pause within a placement pass, whose intents are stored after
 * it, and for a task that has run before. */
TEST(Cell, RestartsNothingAfterAPauseWithinAPass)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(1)});
	w.run(200);
	w.end(7, RUN_FAILED);
	w.closed_zones.insert("z1");
	w.run(200); /* it waits to be placed again */
	ASSERT_EQ(w.starts.size(), 1u);
	w.closed_zones.clear();
	w.pause_in_pass_ms = 5000;
	while (w.pause_in_pass_ms) {
		w.now += 5;
		cell_set_authority(w.c, w.now + 1000);
		cell_tick(w.c, w.now, w.now);
		if (w.pause_in_pass_ms)
			w.answer_all();
	}
	w.commit();
	w.answer_all();
	EXPECT_EQ(w.starts.size(), 1u);
}

/*
 * The time between two placement passes follows the duration of a pass. A host
 * that was frozen for four seconds within one placed nothing for 16 s: tasks
 * that run until they are cancelled stayed down although there was room.
 */
TEST(Cell, PlacesAgainSoonAfterAPauseWithinAPass)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.pause_in_pass_ms = 4000;
	w.run(5000);
	w.submit(7, {CellWorld::task_step(1)});
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
}

TEST(Cell, NeverCommitsAWorkerBeyondItsCapacity)
{
	CellWorld w;

	w.take_over(1);
	w.add_worker("w1", 4000);
	w.run(50);
	w.submit(7, {CellWorld::task_step(9)});
	w.run(500);
	EXPECT_EQ(w.runs(7), 4u);
	w.end(7, RUN_DONE, 0, w.workers["w1"].running[0].ref.index);
	w.run(500);
	EXPECT_EQ(w.runs(7), 4u);
}

TEST(CellTakeover, WaitsForTheLeaseOfThePreviousOwner)
{
	CellWorld w;

	w.begin({"w1", "w2"}, 50);
	w.submit(7, {CellWorld::task_step(1)});
	w.run(200);
	ASSERT_EQ(w.runs(7), 1u);
	w.submit(8, {CellWorld::task_step(1)});
	w.run(200);
	w.end_all(8, RUN_DONE);
	w.storing = false; /* the unstored end of job 8 delays the next poll */
	w.take_over(2);
	w.run(400);
	EXPECT_TRUE(w.duplicates.empty());
	EXPECT_EQ(w.starts.size(), 2u);
}

TEST(CellTakeover, AdoptsRunsInProgress)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(2)});
	w.run(200);
	w.take_over(5);
	w.run(3000);
	EXPECT_EQ(w.runs(7), 2u);
	EXPECT_EQ(w.starts.size(), 2u);
	w.end_all(7, RUN_DONE);
	w.run(200);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
}

TEST(CellTakeover, CountsAStoredButUnacknowledgedFailureOnce)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(2)}, 2);
	w.run(200);
	w.end(7, RUN_FAILED, 0, 0);
	auto ended = w.workers["w1"].ended;
	w.run(30);
	/* The end is stored; its acknowledgement is lost. */
	w.workers["w1"].ended = ended;
	w.take_over(2);
	w.run(500);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
	EXPECT_EQ(w.runs(7), 2u);
}

TEST(CellTakeover, CountsAFailureReportedAfterALaterRun)
{
	CellWorld w;

	w.begin({"w1", "w2"});
	w.submit(7, {CellWorld::task_step(1)}, 2);
	w.run(100);
	std::string first = w.workers["w1"].running.empty() ? "w2" : "w1";
	/* The owner does not hear of the failure: it takes the run for lost and
	 * starts the task on the other worker. */
	w.workers[first].reachable = false;
	w.end_all(7, RUN_FAILED);
	w.run(6000);
	ASSERT_TRUE(w.workers[first].running.empty());
	ASSERT_EQ(w.runs(7), 1u);
	w.take_over(2);
	w.run(200);
	w.workers[first].reachable = true;
	w.run(500);
	w.end_all(7, RUN_FAILED);
	w.run(500);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_FAILED);
	EXPECT_EQ(w.starts.size(), 2u);
}

TEST(CellTakeover, WaitsForAnUnreachableWorkerWithRuns)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(1)});
	w.run(200);
	ASSERT_EQ(w.runs(7), 1u);
	w.add_worker("w2");
	w.workers["w1"].reachable = false;
	w.take_over(2);
	w.run(6000);
	EXPECT_EQ(w.starts.size(), 1u);
	w.run(8000);
	EXPECT_EQ(w.starts.size(), 2u);
}

TEST(CellTakeover, DoesNotWaitForAWorkerThatLeftLongAgo)
{
	CellWorld w;

	w.begin({"w1", "w2"}, 200);
	w.workers["w2"].reachable = false;
	cell_worker_gone(w.c, "w2");
	w.entries.erase("w2");
	w.run(8000);
	w.authority = false;
	w.submit(7, {CellWorld::task_step(1)});
	w.take_over(2);
	w.authority = true;
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
}

TEST(Cell, StartsATaskOnlyOnceItsIntentIsStored)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.storing = false;
	w.submit(7, {CellWorld::task_step(1)});
	w.run(300);
	EXPECT_EQ(w.starts.size(), 0u);
	w.storing = true;
	w.run(100);
	EXPECT_EQ(w.starts.size(), 1u);
}

TEST(CellTakeover, StartsTasksWithoutAStoredIntentAtOnce)
{
	CellWorld w;

	w.begin({"w1", "w2"}, 200);
	w.closed_zones.insert("z1");
	w.submit(7, {CellWorld::task_step(2)});
	w.run(200);
	w.closed_zones.clear();
	w.workers["w1"].reachable = false;
	w.take_over(2);
	w.run(300);
	EXPECT_EQ(w.runs(7), 2u);
}

TEST(CellTakeover, KeepsTheEffectModel)
{
	CellWorld w;
	effect_neighbour n = {2, 0.2};
	load_curve curve;
	double stddev;
	effect_model m;

	effect_model_init(&m);
	effect_model_curve_init(&m, 1, &curve);
	for (int i = 0; i < 50; i++)
		effect_model_learn(&m, 1, &curve, i / 10.0, 0.4, &n, 1);
	double effect = effect_model_estimate(&m, 1, 2, &stddev);
	buf b;
	buf_init(&b);
	effect_model_write(&m, &b);
	effect_model_finish(&m);
	effect_model_init(&m);
	ASSERT_EQ(effect_model_read(&m, {b.data, b.len}), 0);
	EXPECT_NEAR(effect_model_estimate(&m, 1, 2, NULL), effect, 1e-3);
	EXPECT_LT(stddev, 3.0);
	EXPECT_EQ(effect_model_read(&m, str_of("no record")), -EBADMSG);
	effect_model_finish(&m);
	buf_finish(&b);
}
