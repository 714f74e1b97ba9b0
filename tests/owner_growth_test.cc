#include "tests/cell_world.h"

#include "cell/cell_types.h"

/* Work of the owner that must not grow with the number of workers, or not with
 * its square, counted at 3,000 workers. */

namespace
{

void begin(CellWorld *w, size_t workers)
{
	w->long_polls = true;
	w->take_over(1);
	for (size_t i = 0; i < workers; i++)
		w->add_worker("w" + std::to_string(i));
	w->run(300);
}

/* Each tick looked at all workers, 600,000 a second with 3,000 of them. */
TEST(OwnerGrowth, LooksAtABoundedNumberOfWorkersInEachTick)
{
	for (size_t workers : {300, 3000}) {
		CellWorld w;
		uint64_t before;

		begin(&w, workers);
		before = w.c->workers_seen;
		w.run(500);
		before = w.c->workers_seen - before;
		EXPECT_LE(before, 100 * 500u) << workers;
		/* Each of them within 50 ms. */
		EXPECT_GE(before, workers * 9) << workers;
	}
}

/* A poll must not wait for the pass over all workers. */
TEST(OwnerGrowth, SendsDuePollsOfManyWorkersAtOnce)
{
	CellWorld w;
	size_t before;

	begin(&w, 3000);
	w.run(1500);
	before = w.polls;
	for (int i = 0; i < 3000; i += 10)
		w.submit((uint64_t)i + 1, {CellWorld::task_step(10, 16000)});
	w.run(100);
	EXPECT_GE(w.polls - before, 3000u);
	EXPECT_GE(w.counts().starts, 3000u);
}

/* Each step examined all workers: jobs times workers. */
TEST(OwnerGrowth, ExaminesABoundedNumberOfWorkersForAStep)
{
	CellWorld w;
	uint64_t before;

	begin(&w, 3000);
	before = w.counts().examined;
	for (uint64_t i = 1; i <= 50; i++)
		w.submit(i, {CellWorld::task_step(10)});
	w.run(100);
	EXPECT_EQ(w.counts().placed, 500u);
	/* And the workers that are full, 31 at most. */
	EXPECT_LE(w.counts().examined - before, 50 * (1010u + 31));
}

/* A step with more tasks than the workers that are always examined, of which
 * each takes up one. */
TEST(OwnerGrowth, PlacesAStepThatNeedsMostWorkers)
{
	CellWorld w;

	begin(&w, 3000);
	w.submit(1, {CellWorld::task_step(2500, 16000)});
	w.run(15);
	EXPECT_EQ(w.counts().placed, 2500u);
}

/* All tasks of all jobs were looked at 20 times a second. */
TEST(OwnerGrowth, SumsUpTheTimesOfManyJobsLessOften)
{
	int64_t last = 0;
	size_t sums = 0;
	CellWorld w;

	w.take_over(1);
	for (uint64_t i = 1; i <= 3000; i++)
		w.submit(i, {CellWorld::task_step(1)});
	for (int i = 0; i < 200; i++) {
		w.run(5);
		sums += w.c->accounted_ms != last;
		last = w.c->accounted_ms;
	}
	EXPECT_LE(sums, 6u);
	EXPECT_GE(sums, 4u);
}

/* Each look at the clock takes a millisecond, as on a slow machine. */
class SlowWorld : public CellWorld
{
      public:
	SlowWorld()
	{
		ops.now = [](void *ctx) { return ++((SlowWorld *)ctx)->now; };
	}
};

/* A pass over the steps of a long queue took seconds on a machine that is short
 * of processor time. No worker was polled meanwhile, and leases ended. */
TEST(OwnerGrowth, BreaksOffAPlacementPassThatTakesTooLong)
{
	SlowWorld w;
	int64_t before;

	w.begin({"w1", "w2"}, 300);
	for (uint64_t i = 1; i <= 2000; i++)
		w.submit(i, {CellWorld::task_step(1, 10)});
	for (int i = 0; i < 20; i++) {
		cell_set_authority(w.c, w.now + 60000);
		before = w.now;
		w.tick();
		EXPECT_LE(w.now - before, 300);
		w.commit();
		w.answer_all();
		w.now += 200;
	}
	EXPECT_EQ(w.counts().placed, 1280u);
}

} /* namespace */
