#include <memory>
#include <random>

#include "cell/cell_explain.h"
#include "tests/cell_world.h"

namespace
{

class ExplainWorld : public CellWorld
{
      public:
	/* Explains what submit() with the same arguments would submit. */
	std::unique_ptr<explanation> explain(std::vector<job_step> steps,
					     uint32_t priority = 0,
					     uint64_t id = 999,
					     const char *queue = "q")
	{
		std::unique_ptr<explanation> e(new explanation);
		job_spec s = {};

		s.id = id;
		name_set(s.queue, queue);
		name_set(s.service, "pool");
		name_set(s.account, account_name.c_str());
		s.attempts_max = 3;
		s.priority = priority;
		s.stretch_milli = 1500;
		s.objective_ms = 250;
		s.steps.items = steps.data();
		s.steps.count = steps.size();
		cell_explain(c, &s, e.get());
		return e;
	}

	std::string worker_of(uint64_t job, uint32_t step, uint32_t index)
	{
		for (auto &w : workers)
			for (auto &r : w.second.running)
				if (r.ref.job == job && r.ref.step == step &&
				    r.ref.index == index)
					return w.first;
		return "";
	}
};

job_step random_step(std::mt19937 &random)
{
	uint32_t count = 1 + random() % 6, cpu = 500 + random() % 6000;
	job_step s = CellWorld::task_step(count, cpu);

	switch (random() % 5) {
	case 0:
		s = CellWorld::serving_step(count, cpu);
		break;
	case 1:
		s = CellWorld::best_effort_step(count, cpu);
		break;
	case 2:
		s.flags = STEP_GANG | (random() % 2 ? STEP_SAME_RACK : 0);
		break;
	case 3:
		s.per_worker = 1;
		break;
	}
	return s;
}

/* Fails if the explanation names another worker, or another number of tasks,
 * than placement then starts; or if explaining changes what is placed, which
 * the second cell shows: it sees the same load and explains nothing. */
TEST(CellExplain, TellsWhatPlacementThenDoesAndChangesNothing)
{
	size_t compared = 0;

	for (uint32_t seed = 1; seed <= 20; seed++) {
		ExplainWorld a, b;
		std::mt19937 random(seed);

		for (auto w : {&a, &b}) {
			w->take_over(1);
			for (uint32_t i = 0; i < 8; i++) {
				std::string id = "w" + std::to_string(i);
				w->add_worker(id, 8000 + i % 3 * 8000);
				name_set(w->entries[id].labels[1],
					 i % 2 ? "r1" : "r2");
				w->announce(id);
			}
			w->run(100);
		}
		for (uint64_t id = 1; id <= 40; id++) {
			std::vector<job_step> steps = {random_step(random)};
			uint32_t priority = random() % 3;
			cell_counts before = a.counts(), after;

			auto e = a.explain(steps, priority, id);
			auto again = a.explain(steps, priority, id);
			after = a.counts();
			ASSERT_EQ(memcmp(e.get(), again.get(), sizeof(*e)), 0);
			ASSERT_EQ(memcmp(&before, &after, sizeof(after)), 0);
			for (auto w : {&a, &b}) {
				w->submit(id, steps, 3, priority);
				w->run(30);
			}
			const explain_step &s = e->steps[0];
			ASSERT_EQ(e->step_count, 1u);
			if (!s.ahead) {
				EXPECT_EQ(a.runs(id), s.starts)
					<< "job " << id << " seed " << seed;
				EXPECT_EQ(a.worker_of(id, 0, 0),
					  s.starts ? s.best[0].id : "")
					<< "job " << id << " seed " << seed;
				compared++;
			}
			if (id % 3 == 0)
				for (auto w : {&a, &b}) {
					w->end_all(id / 2, RUN_DONE);
					w->run(100);
				}
		}
		ASSERT_EQ(a.starts.size(), b.starts.size());
		for (uint64_t id = 1; id <= 40; id++)
			for (uint32_t i = 0; i < 6; i++)
				ASSERT_EQ(a.worker_of(id, 0, i),
					  b.worker_of(id, 0, i));
	}
	EXPECT_GT(compared, 200u);
}

/* Fails if the reason against a worker is not the one that keeps it out. */
TEST(CellExplain, NamesTheObstacleOfEachWorker)
{
	ExplainWorld w;
	job_step step = CellWorld::task_step(1, 6000);

	w.begin({"small", "drains", "far", "silent", "plain"});
	w.entries["small"].cpu = 4000;
	w.entries["drains"].draining = true;
	name_set(w.entries["far"].zone, "z2");
	for (auto id : {"small", "drains", "far"})
		w.announce(id);
	w.closed_zones = {"z2"};
	w.workers["silent"].reachable = false;
	w.run(3000);
	auto e = w.explain({step});
	EXPECT_EQ(e->steps[0].verdict, EXPLAIN_STARTS);
	EXPECT_STREQ(e->steps[0].best[0].id, "plain");
	EXPECT_EQ(e->steps[0].best_count, 1u);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_CAPACITY], 1u);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_DRAINING], 1u);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_ZONE], 1u);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_SILENT], 1u);

	name_set(step.worker_label, "ssd");
	e = w.explain({step});
	EXPECT_EQ(e->steps[0].verdict, EXPLAIN_NO_WORKER);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_LABEL], 1u);
	w.authority = false;
	w.run(50);
	EXPECT_EQ(w.explain({step})->steps[0].verdict, EXPLAIN_PAUSED);
}

/* Fails if a worker that is reserved for a long-running task counts as one that
 * short work may use, or if the tasks that go first are not counted. */
TEST(CellExplain, NamesReservationsAndTasksThatGoFirst)
{
	ExplainWorld w;
	job_step large = CellWorld::task_step(1, 16000);

	large.flags = STEP_LONG_RUNNING;
	w.begin({"w1"});
	w.submit(1, {CellWorld::task_step(1, 8000)}, 3, 0, 60000);
	w.run(50);
	w.submit(2, {large});
	w.run(4200);
	auto e = w.explain({CellWorld::task_step(1, 4000)});
	EXPECT_EQ(e->steps[0].verdict, EXPLAIN_NO_WORKER);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_RESERVED], 1u);
	EXPECT_EQ(e->steps[0].cpu_free_max, 8000u);
	EXPECT_EQ(e->steps[0].ahead, 1u);
	EXPECT_EQ(e->steps[0].ahead_cpu, 16000u);
}

/* Fails if a best-effort task is said to fit where another one has left it too
 * few processors. */
TEST(CellExplain, NamesInterference)
{
	ExplainWorld w;

	w.begin({"w1"});
	w.submit(1, {CellWorld::best_effort_step(1, 18000)}, 3, 2);
	w.run(100);
	auto e = w.explain({CellWorld::best_effort_step(1, 4000)}, 2);
	EXPECT_EQ(e->steps[0].verdict, EXPLAIN_NO_WORKER);
	EXPECT_EQ(e->steps[0].workers[OBSTRUCTED_BY_INTERFERENCE], 1u);
}

/* Fails if the runs that an account has, or its configured limits, do not
 * count, or if explaining adds the account to the cell. */
TEST(CellExplain, NamesTheLimitOfAnAccount)
{
	ExplainWorld w;

	w.set_accounts({{"scouts", 5000}, {"rovers", 1000}});
	w.begin({"w1"});
	w.account_name = "rovers";
	auto e = w.explain({CellWorld::task_step(2, 1000)});
	EXPECT_EQ(e->steps[0].starts, 1u);
	w.account_name = "scouts";
	w.submit(1, {CellWorld::task_step(4, 1000)});
	w.run(100);
	e = w.explain({CellWorld::task_step(1, 2000)});
	EXPECT_EQ(e->steps[0].verdict, EXPLAIN_LIMIT);
	EXPECT_EQ(e->quota.taken.cpu, 4000u);
	EXPECT_EQ(e->quota.max.cpu, 5000u);
	w.config_read = false;
	w.account_name = "rovers";
	e = w.explain({CellWorld::task_step(1, 1000)});
	EXPECT_EQ(e->steps[0].verdict, EXPLAIN_LIMIT);
	EXPECT_EQ(w.counts().accounts_blocked, 0u);
}

/* Fails if a step is said to start before those that it depends on, or if steps
 * of one job are said to share capacity that only one of them gets. */
TEST(CellExplain, TakesTheStepsOfAJobTogether)
{
	ExplainWorld w;
	job_step gang = CellWorld::task_step(3, 6000);
	job_step last = CellWorld::task_step(2);

	gang.flags = STEP_GANG;
	last.after = 3;
	w.begin({"w1"});
	auto e = w.explain({CellWorld::task_step(2, 2000), gang, last});
	ASSERT_EQ(e->step_count, 3u);
	EXPECT_EQ(e->steps[0].starts, 2u);
	EXPECT_EQ(e->steps[1].verdict, EXPLAIN_GANG);
	EXPECT_EQ(e->steps[1].cpu_free_max, 12000u);
	EXPECT_EQ(e->steps[2].verdict, EXPLAIN_DEPENDS);
}

} // namespace
