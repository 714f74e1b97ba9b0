#include <random>

#include "cell_world.h"

namespace
{

/* Checks at each start on a worker that the account stays within its limits. A
 * run whose lease has expired on a worker that is cut off is over. */
class QuotaWorld : public CellWorld
{
      public:
	void limit(const std::vector<Limit> &all)
	{
		set_accounts(all);
		for (auto &l : all)
			changes.push_back({now, l});
	}

	void submit_for(const std::string &account, uint64_t id,
			std::vector<job_step> steps)
	{
		account_name = account;
		submit(id, steps);
	}

	/* Processors that the active runs of an account take. */
	uint64_t cpu_of(const std::string &account)
	{
		return taken_by(account).cpu;
	}

	void on_start(const std::string &, const order &sent) override
	{
		const job_spec *s = job_view_get(&view, sent.ref.job)->spec;
		demand d = taken_by(s->account);

		if (!s->account[0] || d.runs == 1)
			return;
		EXPECT_TRUE(is_allowed(s->account, d))
			<< s->account << " takes " << d.cpu << " and "
			<< d.memory_mb << " MB at " << now;
	}

      private:
	struct demand {
		uint64_t cpu = 0;
		uint64_t memory_mb = 0;
		size_t runs = 0;
	};

	struct Change {
		int64_t at;
		Limit limit;
	};

	/* A limit holds from the next tick on. */
	bool is_allowed(const std::string &account, const demand &d)
	{
		bool allowed = false;

		for (size_t i = 0; i < changes.size(); i++) {
			bool is_past = false;

			if (changes[i].limit.name != account)
				continue;
			for (size_t k = i + 1; k < changes.size(); k++)
				is_past |= changes[k].limit.name == account &&
					   changes[k].at < now;
			if (is_past)
				continue;
			allowed |= (!changes[i].limit.cpu ||
				    d.cpu <= changes[i].limit.cpu) &&
				   (!changes[i].limit.memory_mb ||
				    d.memory_mb <= changes[i].limit.memory_mb);
		}
		return allowed;
	}

	demand taken_by(const std::string &account)
	{
		demand d;

		for (auto &w : workers) {
			if (now + w.second.clock_offset >= w.second.lease)
				continue;
			for (auto &r : w.second.running) {
				const job_entry *e =
					job_view_get(&view, r.ref.job);
				const job_spec *j;
				const job_step *s;
				arena a;

				arena_init(&a);
				j = e ? job_entry_spec(e, &a) : NULL;
				if (j && account == j->account) {
					s = job_spec_step(j, r.ref.step);
					d.cpu += s->cpu;
					d.memory_mb += s->memory_mb;
					d.runs++;
				}
				arena_finish(&a);
			}
		}
		return d;
	}

	std::vector<Change> changes;
};

} /* namespace */

/* Starts of an account were bounded by the capacity of the workers only. */
TEST(CellQuota, StartsNoTaskAboveALimit)
{
	QuotaWorld w;
	job_step big = CellWorld::task_step(8);

	big.memory_mb = 300;
	w.limit({{"a", 5000, 0}, {"b", 0, 1000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(4)});
	w.submit_for("a", 2, {CellWorld::task_step(8)});
	w.submit_for("b", 3, {big});
	w.run(1000);
	EXPECT_EQ(w.cpu_of("a"), 5000u);
	EXPECT_EQ(w.runs(3), 3u);
	EXPECT_EQ(w.counts().accounts_blocked, 2u);
	EXPECT_EQ(w.counts().waiting_quota, 7u + 5u);
}

/* The platform says what an account may have running; processors of best-effort
 * tasks are part of it. */
TEST(CellQuota, BestEffortTasksCount)
{
	QuotaWorld w;

	w.limit({{"a", 5000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::best_effort_step(6, 2000)});
	w.run(1000);
	EXPECT_EQ(w.runs(1), 2u);
}

/* A task that waits for the limit of its account waited for the next periodic
 * pass after a run of the account had ended. */
TEST(CellQuota, StartsTheNextTaskAtOnceWhenARunEnds)
{
	QuotaWorld w;
	size_t starts;

	w.limit({{"a", 3000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(9)});
	w.run(200);
	for (uint32_t i = 0; i < 6; i++) {
		starts = w.starts.size();
		w.end(1, RUN_DONE, 0, i);
		w.run(30);
		EXPECT_EQ(w.starts.size(), starts + 1);
	}
}

/*
 * A step that waits for its limit was recorded as one that no worker takes, and
 * had a worker reserved: a step of the same demand of another account waited as
 * well, and a large task was kept from a worker that nothing ran on.
 */
TEST(CellQuota, AStepThatWaitsForItsLimitKeepsNoOtherWaiting)
{
	QuotaWorld w;
	job_step lasting = CellWorld::task_step(4, 2000);

	lasting.flags = STEP_LONG_RUNNING;
	w.limit({{"a", 2000}, {"b", 0}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {lasting});
	w.run(6000);
	ASSERT_EQ(w.runs(1), 1u);
	w.submit_for("b", 2, {lasting});
	w.submit_for("b", 3, {CellWorld::task_step(1, 12000)});
	w.run(60);
	EXPECT_EQ(w.runs(2), 4u);
	EXPECT_EQ(w.runs(3), 1u);
}

TEST(CellQuota, AGangStartsWholeOrNotAtAll)
{
	QuotaWorld w;
	job_step gang = CellWorld::task_step(4);

	gang.flags = STEP_GANG;
	w.limit({{"a", 5000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(2)});
	w.run(200);
	w.submit_for("a", 2, {gang});
	w.run(1000);
	EXPECT_EQ(w.runs(2), 0u);
	EXPECT_EQ(w.counts().accounts_blocked, 1u);
	w.end(1, RUN_DONE, 0, 0);
	w.run(100);
	EXPECT_EQ(w.runs(2), 4u);
}

/* The members of a gang that were sent before the limit was reached waited for
 * the others in vain. */
TEST(CellQuota, TakesTheStartsOfAGangBackTogether)
{
	QuotaWorld w;
	job_step gang = CellWorld::task_step(4);

	gang.flags = STEP_GANG;
	w.limit({{"a", 4000}});
	w.begin({"w1", "w2"});
	w.storing = false;
	w.submit_for("a", 1, {gang});
	w.run(200);
	w.limit({{"a", 3000}});
	w.storing = true;
	w.run(300);
	EXPECT_TRUE(w.starts.empty());
	w.limit({{"a", 4000}});
	w.run(300);
	EXPECT_EQ(w.runs(1), 4u);
}

/* A start is sent once its intent is stored. A limit that is lowered meanwhile
 * was exceeded by all starts that waited for a slow store. */
TEST(CellQuota, ChecksALoweredLimitBeforeAStartIsSent)
{
	QuotaWorld w;

	w.limit({{"a", 6000}});
	w.begin({"w1", "w2"});
	w.storing = false;
	w.submit_for("a", 1, {CellWorld::task_step(6)});
	w.run(200);
	w.limit({{"a", 2000}});
	w.run(100);
	w.storing = true;
	w.run(300);
	EXPECT_EQ(w.runs(1), 2u);
}

/* A lowered limit stops no run, and a raised one holds without a new owner. */
TEST(CellQuota, FollowsTheConfiguration)
{
	QuotaWorld w;

	w.limit({{"a", 4000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(12)});
	w.run(200);
	ASSERT_EQ(w.runs(1), 4u);
	w.limit({{"a", 2000}});
	w.run(300);
	EXPECT_EQ(w.runs(1), 4u);
	w.end(1, RUN_DONE, 0, 0);
	w.run(300);
	EXPECT_EQ(w.runs(1), 3u);
	w.limit({{"a", 7000}});
	w.run(200);
	EXPECT_EQ(w.runs(1), 7u);
	/* An account that is no longer listed keeps its limit. */
	w.limit({{"b", 1000}});
	w.end(1, RUN_DONE, 0, 1);
	w.run(200);
	EXPECT_EQ(w.runs(1), 7u);
}

/* A host that becomes the owner before it has read a configuration knew no
 * limits, and started all. */
TEST(CellQuota, StartsNoTaskOfAnAccountBeforeTheConfigurationIsRead)
{
	QuotaWorld w;

	w.config_read = false;
	w.limit({{"a", 2000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(4)});
	w.submit_for("", 2, {CellWorld::task_step(4)});
	w.run(500);
	EXPECT_EQ(w.runs(1), 0u);
	EXPECT_EQ(w.runs(2), 4u);
	w.config_read = true;
	w.run(100);
	EXPECT_EQ(w.runs(1), 2u);
}

/* Runs that a former owner started on a worker that does not answer may be
 * active until its leases have ended: the next owner started as many again. */
TEST(CellQuota, TasksInDoubtCountAfterATakeover)
{
	QuotaWorld w;

	w.limit({{"a", 4000}});
	w.begin({"w1"});
	w.submit_for("a", 1, {CellWorld::task_step(3)});
	w.run(200);
	ASSERT_EQ(w.runs(1), 3u);
	w.workers["w1"].reachable = false;
	w.take_over_on_a_new_host(2);
	w.add_worker("w2");
	w.submit_for("a", 2, {CellWorld::task_step(4)});
	w.run(1000);
	EXPECT_EQ(w.runs(2), 1u);
	w.run(15000);
	/* The leases have ended: the account has its limit again. */
	EXPECT_EQ(w.runs(1) - 3 + w.runs(2), 4u);
}

/* The runs of a job that is cancelled while its worker does not answer go on:
 * the owner, and the next one, forgot them with the job. */
TEST(CellQuota, RunsOfACancelledJobCountUntilTheyHaveEnded)
{
	for (int takeover = 0; takeover < 3; takeover++) {
		QuotaWorld w;

		w.limit({{"a", 4000}});
		w.begin({"w1"});
		w.submit_for("a", 1, {CellWorld::task_step(3)});
		w.run(200);
		w.workers["w1"].reachable = false;
		if (takeover == 1)
			w.take_over_on_a_new_host(2);
		w.cancel(1);
		w.run(100);
		if (takeover == 2)
			w.take_over_on_a_new_host(2);
		w.add_worker("w2");
		w.submit_for("a", 2, {CellWorld::task_step(4)});
		w.run(500);
		EXPECT_EQ(w.runs(2), 1u) << takeover;
		w.run(15000);
		EXPECT_EQ(w.runs(2), 4u) << takeover;
	}
}

/* The registry told the next owner of a new process of the worker before it was
 * heard. What the former owner had been stopping was taken for runs of the
 * former process, though the new one may have started them. */
TEST(CellQuota, RunsThatMayBeOnANewProcessCountUntilItIsHeard)
{
	QuotaWorld w;

	w.limit({{"a", 4000}});
	w.long_polls = true;
	w.begin({"w1"});
	w.submit_for("a", 1, {CellWorld::task_step(3)});
	w.run(200);
	ASSERT_EQ(w.runs(1), 3u);
	w.workers["w1"].born = w.entries["w1"].born = 2000;
	w.workers["w1"].reachable = false;
	w.cancel(1);
	w.run(100);
	w.take_over_on_a_new_host(2);
	w.add_worker("w2");
	w.submit_for("a", 2, {CellWorld::task_step(4)});
	w.run(500);
	EXPECT_EQ(w.runs(2), 1u);
	w.run(15000);
	EXPECT_EQ(w.runs(2), 4u);
}

/* A run is done, its worker is cut off before it says so, and the task runs
 * again elsewhere: the end of the first run, reported late, let the second one
 * be forgotten though its worker had not been heard. */
TEST(CellQuota, ATaskThatIsDoneCountsWhileALaterRunIsInDoubt)
{
	QuotaWorld w;

	w.limit({{"a", 1000}});
	w.begin({"w1"});
	w.submit_for("a", 1, {CellWorld::task_step(1)});
	w.run(200);
	ASSERT_EQ(w.runs(1), 1u);
	w.workers["w1"].reachable = false;
	w.end(1, RUN_DONE);
	w.add_worker("w2");
	w.run(10000);
	ASSERT_EQ(w.runs(1), 1u);
	w.workers["w2"].reachable = false;
	w.take_over_on_a_new_host(2);
	w.workers["w1"].reachable = true;
	w.submit_for("a", 2, {CellWorld::task_step(1)});
	w.run(1000);
	EXPECT_EQ(w.state(1), (uint32_t)JOB_COMPLETED);
	EXPECT_EQ(w.runs(2), 0u);
	w.run(15000);
	EXPECT_EQ(w.runs(2), 1u);
}

/* A run that no task stands for is stopped, and counts until it is gone: a
 * worker may take its time, and the owner started another task meanwhile. */
TEST(CellQuota, RunsThatTheCellHasNotPlacedCount)
{
	QuotaWorld w;
	Row row;

	w.limit({{"a", 2000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(1)});
	w.run(200);
	ASSERT_EQ(w.runs(1), 1u);
	row.ref = w.find(1)->ref;
	w.end(1, RUN_DONE);
	w.run(200);
	row.ref.run = 7;
	w.workers["w1"].ignores_stops = true;
	w.workers["w1"].running.push_back(row);
	w.run(2000);
	w.submit_for("a", 2, {CellWorld::task_step(3)});
	w.run(1000);
	EXPECT_EQ(w.runs(2), 1u);
	w.workers["w1"].ignores_stops = false;
	w.run(1000);
	EXPECT_EQ(w.runs(2), 2u);
}

/* Runs are adopted as they are, also above a limit lowered meanwhile. */
TEST(CellQuota, AdoptsRunsAboveTheLimit)
{
	QuotaWorld w;

	w.limit({{"a", 4000}});
	w.begin({"w1", "w2"});
	w.submit_for("a", 1, {CellWorld::task_step(6)});
	w.run(200);
	w.limit({{"a", 3000}});
	w.take_over_on_a_new_host(2);
	w.run(1000);
	EXPECT_EQ(w.runs(1), 4u);
	w.end(1, RUN_DONE, 0, 0);
	w.run(200);
	EXPECT_EQ(w.runs(1), 3u);
}

namespace
{

/* Random jobs, faults, takeovers and limits. */
class QuotaModel : public QuotaWorld
{
      public:
	explicit QuotaModel(unsigned seed) : rng(seed)
	{
		change_limits();
		take_over(epoch);
		for (int i = 0; i < 5; i++)
			add_worker("w" + std::to_string(i));
		run(100);
	}

	void act()
	{
		switch (pick(14)) {
		case 0:
		case 1:
		case 2:
			submit_random();
			break;
		case 3:
		case 4:
			end_random();
			break;
		case 5:
			if (last_id)
				cancel(1 + pick(last_id));
			break;
		case 6:
			any_worker().reachable ^= true;
			break;
		case 7:
			any_worker().sends_replies ^= true;
			break;
		case 8:
			storing ^= true;
			break;
		case 9:
			/* Orders on their way count by the former limits. */
			answer_all();
			change_limits();
			break;
		case 10:
			take_over_on_a_new_host(++epoch);
			break;
		case 11:
			restart_random();
			break;
		default:
			break;
		}
		run(5 * (1 + (int64_t)pick(40)));
	}

	/* All faults end; what runs ends as done. */
	void finish()
	{
		storing = true;
		for (auto &w : workers) {
			w.second.reachable = true;
			w.second.sends_replies = true;
		}
		for (int i = 0; i < 400; i++) {
			run(100);
			for (uint64_t id = 1; id <= last_id; id++)
				end_all(id, RUN_DONE);
		}
	}

      private:
	size_t pick(size_t n)
	{
		return rng() % n;
	}

	FakeWorker &any_worker()
	{
		return workers["w" + std::to_string(pick(5))];
	}

	void change_limits()
	{
		std::vector<Limit> all;

		for (auto &name : {"a", "b", "c"}) {
			Limit l;

			l.name = name;
			l.cpu = pick(4) ? 8000 + 1000 * pick(20) : 0;
			l.memory_mb = pick(2) ? 1000 + 100 * pick(20) : 0;
			all.push_back(l);
		}
		limit(all);
	}

	void submit_random()
	{
		static const char *const names[] = {"a", "b", "c", ""};
		std::vector<job_step> steps;

		for (size_t i = 0, n = 1 + pick(2); i < n; i++) {
			job_step s = task_step(1 + (uint32_t)pick(8),
					       100 + 100 * (uint32_t)pick(20));
			size_t kind = pick(5);

			s.memory_mb = 10 + (uint32_t)pick(200);
			s.after = i;
			if (kind == 0)
				s.flags = STEP_BEST_EFFORT;
			if (kind == 1 && s.count * s.cpu <= 8000 &&
			    s.count * s.memory_mb <= 1000)
				s.flags = STEP_GANG;
			steps.push_back(s);
		}
		submit_for(names[pick(4)], ++last_id, steps);
	}

	/* The members of a gang end as done together. */
	void end_random()
	{
		FakeWorker &w = any_worker();
		bool done = pick(4);
		size_t i;

		expire_lease(w);
		if (w.running.empty())
			return;
		i = pick(w.running.size());
		if (done && is_gang(w.running[i].ref))
			end_all(w.running[i].ref.job, RUN_DONE);
		else
			end_at(w, i, done ? RUN_DONE : RUN_FAILED);
	}

	bool is_gang(const task_ref &r)
	{
		const job_entry *e = job_view_get(&view, r.job);
		bool gang;
		arena a;

		arena_init(&a);
		gang = e &&
		       job_spec_step(job_entry_spec(e, &a), r.step)->flags &
			       STEP_GANG;
		arena_finish(&a);
		return gang;
	}

	/* Its process is replaced; the registry tells. */
	void restart_random()
	{
		std::string id = "w" + std::to_string(pick(5));
		FakeWorker &w = workers[id];

		while (!w.running.empty())
			end_at(w, 0, RUN_EXPIRED);
		w.ended.clear();
		w.ended_runs.clear();
		w.ends = 0;
		w.fence = 0;
		w.lease = 0;
		entries[id].born = ++w.born;
		announce(id);
	}

	std::mt19937 rng;
	uint64_t epoch = 1;
	uint64_t last_id = 0;
};

} /* namespace */

/*
 * Whatever fails, no start brings an account above its limits, and nothing that
 * is held for runs that have ended keeps tasks waiting in the end.
 */
TEST(CellQuota, HoldsUnderRandomFaults)
{
	for (unsigned seed = 1; seed <= 100; seed++) {
		QuotaModel m(seed);

		for (int i = 0; i < 150 && !::testing::Test::HasFailure(); i++)
			m.act();
		ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
		m.finish();
		ASSERT_EQ(m.counts().waiting, 0u) << "seed " << seed;
		ASSERT_EQ(m.counts().accounts_blocked, 0u) << "seed " << seed;
	}
}
