#include <functional>

#include "base/rng.h"
#include "tests/cell_world.h"

/*
 * Tasks of the jobs in @crashers end the worker's process CRASH_MS after their
 * start; it is back after @absent_ms. All other runs end as done after their
 * job's time in @lasts_ms.
 */
class CrashWorld : public CellWorld
{
      public:
	static const int64_t CRASH_MS = 10;
	static const int64_t RUN_MS = 1000;

	struct Return {
		int64_t at;
		std::string id;
	};

	void on_start(const std::string &worker, const order &sent) override
	{
		uint64_t job = sent.ref.job;

		started[{worker, task_key(sent.ref)}] = now;
		starts_of[job]++;
		if (!is_crasher(sent.ref))
			return;
		crashes_due.push_back({now + CRASH_MS, worker});
		if (answers_crashing_starts)
			return;
		workers[worker].sends_replies = false;
		workers[worker].reachable = false;
	}

	bool is_crasher(const task_ref &r)
	{
		auto i = crashers.find(r.job);

		return i != crashers.end() &&
		       (i->second < 0 || (uint32_t)i->second == r.index);
	}

	bool is_up(const std::string &id)
	{
		return !workers[id].refuses && !workers[id].replaced;
	}

	void crash(const std::string &id)
	{
		FakeWorker &w = workers[id];

		for (auto &r : w.running)
			crashes_of[r.ref.job]++;
		while (!w.running.empty())
			end_at(w, 0, RUN_EXPIRED);
		w.ended.clear();
		w.ends = 0;
		w.fence = 0;
		w.lease = 0;
		w.refuses = true;
		w.reachable = false;
		returns.push_back({now + absent_ms, id});
	}

	void come_back(const std::string &id)
	{
		FakeWorker &w = workers[id];

		if (!keeps_id) {
			w.replaced = true;
			cell_worker_gone(c, id.c_str());
			entries.erase(id);
			add_worker("n" + std::to_string(++added));
			return;
		}
		w.reachable = true;
		w.refuses = false;
		w.sends_replies = true;
		w.born++;
		entries[id].born = w.born;
		if (announces_return)
			announce(id);
	}

	void end_due_runs()
	{
		for (auto &w : workers)
			for (size_t i = w.second.running.size(); i-- > 0;) {
				task_ref r = w.second.running[i].ref;
				int64_t ms = lasts_ms.count(r.job)
						     ? lasts_ms[r.job]
						     : RUN_MS;
				if (!is_crasher(r) &&
				    now - started[{w.first, task_key(r)}] >= ms)
					end_at(w.second, i, RUN_DONE);
			}
	}

	void play(int64_t ms)
	{
		for (int64_t end = now + ms; now < end;) {
			run(5);
			auto due = crashes_due;
			crashes_due.clear();
			for (auto &d : due) {
				if (now < d.at)
					crashes_due.push_back(d);
				else if (is_up(d.id))
					crash(d.id);
			}
			auto back = returns;
			returns.clear();
			for (auto &r : back) {
				if (now < r.at)
					returns.push_back(r);
				else
					come_back(r.id);
			}
			end_due_runs();
		}
	}

	std::string worker_of(uint64_t job)
	{
		for (auto &w : workers)
			for (auto &r : w.second.running)
				if (r.ref.job == job)
					return w.first;
		return "";
	}

	/* Until a worker has replied to the start of the job's only task. */
	void play_until_running(uint64_t job)
	{
		for (int64_t end = now + 20000; !runs(job) && now < end;)
			play(5);
		ASSERT_EQ(runs(job), 1u);
		play(10);
	}

	using CellWorld::expire_lease;

	/* Task that crashes its workers, by job; -1 for all tasks. */
	std::map<uint64_t, int> crashers;
	std::map<uint64_t, int64_t> lasts_ms;
	int64_t absent_ms = 3300;
	bool keeps_id = false;
	bool announces_return = true;
	bool answers_crashing_starts = true;
	std::map<uint64_t, int> starts_of;
	std::map<uint64_t, int> crashes_of;
	std::vector<Return> crashes_due;
	std::vector<Return> returns;
	std::map<std::pair<std::string, TaskKey>, int64_t> started;
	int added = 0;
};

/* Greatest number of starts of a task that crashes its workers, within a
 * minute: fewer than three more after the third crash. From then on, it is
 * started once in STARTS_PERIOD_MS at most. */
static const int STARTS_MAX = 5;
static const int64_t STARTS_MAX_MS = 60000;
static const int64_t STARTS_PERIOD_MS = 48000;

/* Within this time, a task that has become sound ends, however many workers
 * have crashed under it: the longest pause, and 10 s. */
static const int64_t CONTAINED_MAX_MS = 70000;

static const std::vector<std::string> EIGHT = {"w1", "w2", "w3", "w4",
					       "w5", "w6", "w7", "w8"};

static int starts_max(int64_t ms)
{
	if (ms <= STARTS_MAX_MS)
		return STARTS_MAX;
	return STARTS_MAX + (int)((ms - STARTS_MAX_MS) / STARTS_PERIOD_MS);
}

/* The jobs are not shown as failed, as no run of them has, and their tasks take
 * few workers. Once they are sound, they end. */
static void expect_contained(CrashWorld &w, const std::vector<uint64_t> &jobs,
			     int tasks = 1)
{
	for (uint64_t job : jobs) {
		int64_t ms = w.now - job_view_get(&w.view, job)->added_ms;

		EXPECT_FALSE(job_state_is_terminal(w.state(job))) << job;
		EXPECT_GE(w.crashes_of[job], 2) << job;
		EXPECT_LE(w.starts_of[job], starts_max(ms) * tasks)
			<< job << " in " << ms;
	}
	w.crashers.clear();
	w.play(CONTAINED_MAX_MS);
	for (uint64_t job : jobs)
		EXPECT_EQ(w.state(job), (uint32_t)JOB_COMPLETED) << job;
}

/*
 * A task that crashed its worker was started again and again: the end of its
 * run counted as lost, and lost runs have no limit.
 */
TEST(CellCrash, ContainsATaskThatCrashesItsWorkers)
{
	CrashWorld w;

	w.begin(EIGHT);
	w.crashers[7] = -1;
	w.submit(7, {CellWorld::task_step(1)});
	w.play(40000);
	expect_contained(w, {7});
}

TEST(CellCrash, ContainsATaskWhoseWorkersReturnUnderTheirId)
{
	for (bool announces : {true, false}) {
		CrashWorld w;

		w.keeps_id = true;
		w.announces_return = announces;
		w.begin(EIGHT);
		w.crashers[7] = -1;
		w.submit(7, {CellWorld::task_step(1)});
		w.play(40000);
		expect_contained(w, {7});
	}
}

/* The lease of a worker that stays away expires before another process listens
 * at its address. */
TEST(CellCrash, ContainsATaskWhoseWorkersStayAwayLong)
{
	CrashWorld w;

	w.absent_ms = 30000;
	w.begin(EIGHT);
	w.crashers[7] = -1;
	w.submit(7, {CellWorld::task_step(1)});
	w.play(60000);
	expect_contained(w, {7});
}

/* The worker crashes before it replies to the start. */
TEST(CellCrash, ContainsATaskWhoseStartsAreNotAnswered)
{
	/* The reply to a stop or to a poll tells first that the worker has been
	 * replaced. */
	for (int64_t absent_ms = 3000; absent_ms < 3500; absent_ms += 50) {
		CrashWorld w;

		w.answers_crashing_starts = false;
		w.absent_ms = absent_ms;
		w.begin(EIGHT);
		w.crashers[7] = -1;
		w.submit(7, {CellWorld::task_step(1)});
		int64_t end = w.now + 60000;
		while (w.now < end && !w.counts().contained)
			w.play(100);
		EXPECT_LE(w.crashes_of[7], 3);
		w.play(end - w.now);
		expect_contained(w, {7});
	}
}

/* Longest wait for a restart of a long-running task, from its last run on, and
 * shortest time between the crashes of one that has crashed many workers. */
static const int64_t RESTART_MAX_MS = 6000;
static const int64_t CRASH_PERIOD_MIN_MS = 2000;

/*
 * Against a job that is shown as failed though none of its runs has failed: a
 * long-running task was given up after two workers had crashed soon after its
 * starts. It has to be restarted however it ends, but must not crash one worker
 * after another without a pause.
 */
TEST(CellCrash, RestartsALongRunningTaskThatCrashesItsWorkers)
{
	const int64_t ms = 60000;

	for (bool keeps_id : {false, true}) {
		CrashWorld w;

		w.keeps_id = keeps_id;
		w.absent_ms = keeps_id ? 200 : 3300;
		w.begin(EIGHT);
		w.crashers[7] = -1;
		w.submit(7, {CellWorld::serving_step(1, 2000)});
		w.submit(8, {CellWorld::serving_step(6, 2000)});
		w.lasts_ms[8] = 1000000;
		w.play(ms);
		EXPECT_NE(w.state(7), (uint32_t)JOB_FAILED);
		EXPECT_GE(w.starts_of[7], ms / RESTART_MAX_MS);
		EXPECT_LE(w.crashes_of[7], 3 + ms / CRASH_PERIOD_MIN_MS);
		w.crashers.clear();
		w.lasts_ms[7] = 1000000;
		w.play(RESTART_MAX_MS);
		EXPECT_EQ(w.runs(7), 1u);
		EXPECT_EQ(w.runs(8), 6u);
		EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
	}
}

/* The same with workers that are lost for causes of their own, each soon after
 * the start, and an owner that is replaced between them. */
TEST(CellCrash, RestartsALongRunningTaskThatLosesItsWorkers)
{
	for (bool replaced : {false, true}) {
		CrashWorld w;

		w.begin(EIGHT);
		w.lasts_ms[7] = 1000000;
		w.submit(7, {CellWorld::serving_step(1, 2000)});
		for (int i = 0; i < 5; i++) {
			w.play_until_running(7);
			w.crash(w.worker_of(7));
			int64_t lost_ms = w.now;
			if (replaced)
				w.take_over((uint64_t)i + 2);
			w.play_until_running(7);
			EXPECT_TRUE(replaced ||
				    w.now - lost_ms <= RESTART_MAX_MS)
				<< w.now - lost_ms;
		}
		EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
	}
}

TEST(CellCrash, ContainsAGangWithATaskThatCrashesItsWorkers)
{
	CrashWorld w;
	job_step gang = CellWorld::task_step(3);

	gang.flags = STEP_GANG;
	w.begin(EIGHT);
	w.crashers[7] = 1;
	w.submit(7, {gang});
	w.submit(8, {gang});
	w.play(60000);
	EXPECT_EQ(w.state(8), (uint32_t)JOB_COMPLETED);
	expect_contained(w, {7}, 3);
}

/* The owner is killed after each crash, once before and once after the crash
 * has been noticed. */
TEST(CellCrash, RemembersCrashesAcrossOwners)
{
	for (int64_t notice_ms : {200, 5500}) {
		CrashWorld w;
		uint64_t epoch = 2;
		int crashes = 0;

		w.begin(EIGHT);
		w.crashers[7] = -1;
		w.submit(7, {CellWorld::task_step(1)});
		while (w.now < 160000 && w.starts_of[7] <= STARTS_MAX) {
			w.play(5);
			if (w.crashes_of[7] == crashes)
				continue;
			/* An owner that has not noticed the crash yet does not
			 * know of it: only the first one is killed so early. */
			if (crashes && notice_ms < w.absent_ms)
				continue;
			crashes = w.crashes_of[7];
			w.play(notice_ms);
			w.take_over(epoch++);
		}
		expect_contained(w, {7});
	}
}

TEST(CellCrash, StoresACrashBeforeTheTaskStartsAgain)
{
	CrashWorld w;

	w.begin(EIGHT);
	w.crashers[7] = -1;
	w.submit(7, {CellWorld::task_step(1)});
	w.play(1000);
	ASSERT_EQ(w.starts_of[7], 1);
	w.storing = false;
	w.play(10000);
	EXPECT_EQ(w.starts_of[7], 1);
	w.storing = true;
	w.play(20000);
	expect_contained(w, {7});
}

/*
 * All runs of a crashed worker are lost, and one of them has crashed it. The
 * others must be neither given up nor delayed until they have run one by one.
 */
TEST(CellCrash, CompletesTheNeighboursOfTasksThatCrashWorkers)
{
	CrashWorld w;
	uint64_t id = 100;

	w.begin(EIGHT);
	for (uint64_t job : {7, 8, 9}) {
		w.crashers[job] = -1;
		w.submit(job, {CellWorld::task_step(1)});
		for (int i = 0; i < 60; i++) {
			w.submit(id++, {CellWorld::task_step(2, 500)});
			w.play(25);
		}
	}
	w.play(30000);
	expect_contained(w, {7, 8, 9});
	for (uint64_t job = 100; job < id; job++)
		EXPECT_EQ(w.state(job), (uint32_t)JOB_COMPLETED) << job;
}

/* A crash long after the start of a run is not charged: else the next one, soon
 * after the restart, would seem to be the second in a row. */
TEST(CellCrash, ChargesNoRunThatHasLastedOnItsWorker)
{
	for (job_step step :
	     {CellWorld::serving_step(1, 2000), CellWorld::task_step(1)}) {
		CrashWorld w;

		w.begin(EIGHT);
		w.lasts_ms[7] = 1000000;
		w.submit(7, {step});
		for (int i = 0; i < 4; i++) {
			w.play(6000);
			ASSERT_EQ(w.runs(7), 1u);
			w.crash(w.worker_of(7));
			w.play_until_running(7);
			w.crash(w.worker_of(7));
		}
		w.play(6000);
		EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
	}
}

/* A task that two workers have crashed under may have had the same neighbour
 * each time. */
TEST(CellCrash, KeepsATaskThatSharedItsCrashes)
{
	CrashWorld w;

	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(1)});
	for (uint64_t other : {8, 9}) {
		w.play_until_running(7);
		w.submit(other, {CellWorld::task_step(1)});
		w.play_until_running(other);
		ASSERT_EQ(w.runs(7), 1u);
		w.crash(w.worker_of(7));
		w.play(20);
	}
	w.play(20000);
	for (uint64_t job : {7, 8, 9})
		EXPECT_EQ(w.state(job), (uint32_t)JOB_COMPLETED);
}

/*
 * Two workers are killed alone, each soon after the start of the same task. Any
 * worker that is lost marks the tasks that it had just started, so the first
 * crash tells nothing, and the second one may be a coincidence. The job of the
 * sound task was shown as failed (soak, seed 4020).
 */
TEST(CellCrash, KeepsATaskWhoseWorkersAreKilledTwice)
{
	for (bool keeps_id : {false, true}) {
		CrashWorld w;

		w.keeps_id = keeps_id;
		w.begin({"w1", "w2", "w3", "w4"});
		w.submit(7, {CellWorld::task_step(1)});
		for (int i = 0; i < 2; i++) {
			w.play_until_running(7);
			w.crash(w.worker_of(7));
			w.play(20);
		}
		w.play(20000);
		EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED) << keeps_id;
	}
}

/* A worker that crashes again and again for a cause of its own, and that is the
 * only one for the task, must not fail its job. */
TEST(CellCrash, KeepsATaskWhoseOnlyWorkerCrashesRepeatedly)
{
	CrashWorld w;

	w.keeps_id = true;
	w.begin({"w1"});
	w.add_worker("big", 64000);
	w.play(100);
	w.submit(7, {CellWorld::task_step(1, 32000)});
	for (int i = 0; i < 3; i++) {
		w.play_until_running(7);
		w.crash("big");
		w.play(20);
	}
	w.play(20000);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
}

/* One worker of nine is large, and comes back under its id after a crash. */
void begin_with_big_worker(CrashWorld &w)
{
	w.keeps_id = true;
	w.absent_ms = 400;
	w.begin(EIGHT);
	w.add_worker("big", 64000);
	w.play(100);
}

/*
 * The process of a worker ends again and again, whatever it runs, and no other
 * worker suits one of the jobs. That job was shown as failed after four ends
 * (review/7).
 */
TEST(CellCrash, KeepsATaskWhoseOnlyWorkerRestartsInALoop)
{
	for (int64_t life : {300, 500, 650, 900})
		for (int crashes : {10, 40, 60}) {
			CrashWorld w;

			begin_with_big_worker(w);
			w.lasts_ms[7] = 3000;
			w.submit(7, {CellWorld::task_step(1, 32000)});
			w.submit(8, {CellWorld::task_step(4)});
			for (int i = 0; i < crashes; i++) {
				w.play(life);
				w.crash("big");
				w.play(w.absent_ms);
			}
			w.play(14000);
			EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED)
				<< life << " ms, " << crashes << " crashes";
			EXPECT_EQ(w.state(8), (uint32_t)JOB_COMPLETED);
		}
}

/* A task that ends the only worker that suits it leaves that to others for most
 * of the time. */
TEST(CellCrash, PausesATaskThatCrashesItsOnlyWorker)
{
	CrashWorld w;

	begin_with_big_worker(w);
	w.crashers[7] = -1;
	w.submit(7, {CellWorld::task_step(1, 32000)});
	w.play(60000);
	EXPECT_LE(w.starts_of[7], 30);
	w.submit(8, {CellWorld::task_step(1, 24000)});
	w.play(14000);
	EXPECT_EQ(w.state(8), (uint32_t)JOB_COMPLETED);
}

/*
 * Workers are killed alone, each in the middle of a run of the same task. None
 * of its runs ended as failed, but its job was shown as failed after the third
 * crash (review/11). Any number of crashes may have other causes.
 */
TEST(CellCrash, KeepsATaskWhateverTheNumberOfCrashes)
{
	for (uint32_t flags : {0u, (uint32_t)STEP_GANG})
		for (int crashes : {3, 10, 30}) {
			CrashWorld w;
			job_step step = CellWorld::task_step(flags ? 3 : 1);

			step.flags = flags;
			w.begin(EIGHT);
			w.lasts_ms[7] = 600;
			w.submit(7, {step});
			for (int i = 0; i < crashes; i++) {
				for (int64_t end = w.now + CONTAINED_MAX_MS;
				     !w.runs(7) && w.now < end;)
					w.play(5);
				ASSERT_GT(w.runs(7), 0u) << i;
				w.play(300);
				w.crash(w.worker_of(7));
				w.play(20);
			}
			w.play(CONTAINED_MAX_MS);
			EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED)
				<< crashes << " crashes, flags " << flags;
		}
}

/* Tasks that crash each worker that starts them would, as they are never ended,
 * take one worker after the other from ordinary work. */
TEST(CellCrash, LosesFewWorkersAtATimeToContainedTasks)
{
	const size_t workers = 40, lost_max = workers / 20;
	const uint64_t deadly = 20;
	uint64_t id = 100;
	size_t most = 0;
	CrashWorld w;

	w.begin({});
	for (size_t i = 1; i <= workers; i++)
		w.add_worker("w" + std::to_string(i));
	for (uint64_t job = 1; job <= deadly; job++) {
		w.crashers[job] = -1;
		w.submit(job, {CellWorld::task_step(2, 4000)});
	}
	w.play(60000);
	for (int i = 0; i < 600; i++) {
		size_t lost = 0;

		if (i % 4 == 0)
			w.submit(id++, {CellWorld::task_step(20, 4000)});
		w.play(100);
		for (auto &k : w.workers)
			lost += k.second.refuses && !k.second.replaced;
		most = std::max(most, lost);
	}
	EXPECT_LE(most, lost_max);
	w.play(14000);
	for (uint64_t job = 100; job < id; job++)
		EXPECT_EQ(w.state(job), (uint32_t)JOB_COMPLETED) << job;
	for (uint64_t job = 1; job <= deadly; job++)
		EXPECT_FALSE(job_state_is_terminal(w.state(job))) << job;
}

/* Single workers are killed at random times while short jobs come. */
TEST(CellCrash, FailsNoJobByKillsOfSingleWorkers)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		CrashWorld w;
		rng r = {seed};
		uint64_t last = 100;

		w.absent_ms = 300;
		w.begin({"w1", "w2", "w3", "w4"});
		for (int64_t end = w.now + 60000; w.now < end;) {
			w.submit(last++, {CellWorld::task_step(2, 4000)});
			w.play(200);
			if (rng_below(&r, 10))
				continue;
			std::vector<std::string> up;
			for (auto &i : w.workers)
				if (w.is_up(i.first))
					up.push_back(i.first);
			w.crash(up[rng_below(&r, up.size())]);
		}
		w.play(30000);
		for (uint64_t job = 100; job < last; job++)
			EXPECT_EQ(w.state(job), (uint32_t)JOB_COMPLETED)
				<< "seed " << seed << " job " << job;
	}
}

/* Runs on a worker that cannot be reached end with its lease; its process may
 * be well. */
TEST(CellCrash, CountsNoWorkerThatIsCutOff)
{
	CrashWorld w;

	w.begin(EIGHT);
	w.lasts_ms[7] = 1000000;
	w.submit(7, {CellWorld::task_step(1)});
	for (int i = 0; i < 6; i++) {
		w.play_until_running(7);
		std::string id = w.worker_of(7);
		w.workers[id].reachable = false;
		w.run(3000);
		ASSERT_EQ(w.starts_of[7], i + 1);
		while (w.workers[id].running.size() && w.now < 200000) {
			w.run(5);
			w.expire_lease(w.workers[id]);
		}
	}
	w.play(6000);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
}

TEST(CellCrash, CountsNoWorkerThatLeavesAsAnnounced)
{
	CrashWorld w;

	w.begin(EIGHT);
	w.lasts_ms[7] = 1000000;
	w.submit(7, {CellWorld::task_step(1)});
	for (int i = 0; i < 6; i++) {
		w.play_until_running(7);
		std::string id = w.worker_of(7);
		w.entries[id].draining = true;
		w.announce(id);
		w.crash(id);
		w.play(20);
	}
	w.play(6000);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
}

/* A worker that crashes after it has announced to leave, but long before it
 * would, was taken for one that has left: its crash was not charged. */
TEST(CellCrash, ContainsATaskThatCrashesDrainingWorkers)
{
	for (bool keeps_id : {false, true}) {
		CrashWorld w;
		int starts = 0;

		w.keeps_id = keeps_id;
		w.begin(EIGHT);
		w.crashers[7] = -1;
		w.submit(7, {CellWorld::task_step(1)});
		for (int64_t end = w.now + 60000; w.now < end;) {
			w.play(5);
			if (w.starts_of[7] == starts)
				continue;
			starts = w.starts_of[7];
			std::string id = w.worker_of(7);
			w.entries[id].draining = true;
			w.entries[id].leaving_ms = 6000;
			w.announce(id);
		}
		expect_contained(w, {7});
	}
}

/*
 * Jobs with the numbers 100 and up, one task each, that keep all workers busy:
 * each worker has a run of one of them.
 */
class BusyWorld : public CrashWorld
{
      public:
	void fill(int n)
	{
		for (int i = 0; i < n; i++)
			submit(last++, {task_step(1, 6000)});
	}

	/* The worker of the job's task, and all others that @too accepts. */
	void
	crash_with_others(uint64_t job,
			  const std::function<bool(const std::string &)> &too)
	{
		std::vector<std::string> ids;

		ASSERT_NE(worker_of(job), "");
		for (auto &w : workers)
			if (is_up(w.first) &&
			    (w.first == worker_of(job) || too(w.first)))
				ids.push_back(w.first);
		for (auto &id : ids)
			crash(id);
	}

	void expect_all_completed(uint64_t first)
	{
		for (uint64_t job = first; job < last; job++)
			EXPECT_EQ(state(job), (uint32_t)JOB_COMPLETED) << job;
	}

	uint64_t last = 100;
};

static bool any_worker(const std::string &)
{
	return true;
}

/*
 * A cause that many workers have in common crashes them twice, each time soon
 * after the start of a short task that has its worker to itself the second
 * time. Both crashes were charged to the task, and its sound job failed.
 */
TEST(CellCrash, KeepsATaskWhenManyWorkersRestartTwice)
{
	for (bool keeps_id : {false, true}) {
		for (int busy : {0, 8}) {
			BusyWorld w;

			w.keeps_id = keeps_id;
			w.begin(EIGHT);
			w.submit(7, {CellWorld::task_step(1)});
			w.fill(busy);
			w.play_until_running(7);
			for (int i = 0; i < 2; i++) {
				int n = 0;

				w.crash_with_others(7,
						    [&](const std::string &) {
							    return n++ < 5;
						    });
				w.play(50);
				w.play_until_running(7);
			}
			w.play(20000);
			EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED)
				<< keeps_id << busy;
			w.expect_all_completed(100);
		}
	}
}

/* The workers of a zone end together, those of the other zone live on. */
TEST(CellCrash, KeepsATaskWhenTwoZonesLosePowerInTurn)
{
	BusyWorld w;

	w.begin({});
	for (const char *zone : {"z1", "z2", "z3"})
		for (int i = 1; i < 5; i++)
			w.add_worker(zone + std::to_string(i), 16000, zone);
	w.run(100);
	w.submit(7, {CellWorld::task_step(1)});
	w.fill(12);
	for (int i = 0; i < 2; i++) {
		w.play_until_running(7);
		std::string zone = w.entries[w.worker_of(7)].zone;

		w.crash_with_others(7, [&](const std::string &id) {
			return w.entries[id].zone == zone;
		});
		w.play(50);
	}
	w.play(20000);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
	w.expect_all_completed(100);
}

/*
 * A start that is sent to a worker whose process has ended gets no answer. It
 * was charged with the crash, and the next crash that it had no part in was the
 * second.
 */
TEST(CellCrash, KeepsATaskWhoseStartCameAfterTheCrash)
{
	BusyWorld w;

	w.begin(EIGHT);
	w.fill(8);
	w.play(20);
	for (auto &id : EIGHT) {
		w.workers[id].reachable = false;
		w.workers[id].sends_replies = false;
	}
	w.submit(7, {CellWorld::task_step(1)});
	w.play(30);
	for (auto &id : EIGHT) {
		w.crash(id);
		w.workers[id].refuses = false;
	}
	w.returns.clear();
	for (auto &id : EIGHT)
		w.returns.push_back({w.now + 1500, id});
	w.play(1500);
	w.play_until_running(7);
	w.crash_with_others(7, any_worker);
	w.play(30000);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
	w.expect_all_completed(100);
}

/* The owner changes between two crashes of a common cause. */
TEST(CellCrash, KeepsATaskWhenManyWorkersRestartAcrossOwners)
{
	for (int64_t notice_ms = 0; notice_ms < 800; notice_ms += 50) {
		BusyWorld w;

		w.begin(EIGHT);
		w.submit(7, {CellWorld::task_step(1)});
		w.fill(8);
		w.play_until_running(7);
		w.crash_with_others(7, any_worker);
		w.play(w.absent_ms + notice_ms);
		w.take_over(2);
		w.play_until_running(7);
		w.crash_with_others(7, any_worker);
		w.play(30000);
		EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED) << notice_ms;
		w.expect_all_completed(100);
	}
}

/* Workers that a common cause crashes must not excuse a task that crashes its
 * workers again and again. */
TEST(CellCrash, ContainsATaskBesideCrashesOfACommonCause)
{
	for (int64_t after_ms : {0, 5, 50, 500, 1500, 3000}) {
		BusyWorld w;

		w.begin(EIGHT);
		w.crashers[7] = -1;
		w.fill(8);
		w.submit(7, {CellWorld::task_step(1)});
		for (int crashes = 1; crashes < 3; crashes++) {
			for (int64_t end = w.now + 20000;
			     w.crashes_of[7] < crashes && w.now < end;)
				w.play(5);
			w.play(after_ms);
			for (auto &id : EIGHT)
				if (w.is_up(id))
					w.crash(id);
			w.fill(4);
		}
		w.play(60000);
		expect_contained(w, {7});
		w.expect_all_completed(100);
	}
}

/* Tasks of several jobs that crash their workers at the same time: each worker
 * that ends has run one of them, so the ends have no common cause. */
TEST(CellCrash, ContainsSeveralJobsThatCrashWorkersAtOnce)
{
	BusyWorld w;

	w.begin(EIGHT);
	for (uint64_t job : {1, 2, 3, 4, 5}) {
		w.crashers[job] = -1;
		w.submit(job, {CellWorld::task_step(1, 9000)});
	}
	w.play(60000);
	expect_contained(w, {1, 2, 3, 4, 5});
}

/* All tasks of a step crash their workers, so several workers end at a time. */
TEST(CellCrash, ContainsAStepWhoseTasksAllCrashTheirWorkers)
{
	BusyWorld w;

	w.begin(EIGHT);
	w.crashers[7] = -1;
	w.submit(7, {CellWorld::task_step(6, 9000)});
	w.fill(4);
	w.play(60000);
	w.expect_all_completed(100);
	expect_contained(w, {7}, 6);
}

/* A worker that does not answer for a while, and whose process lives on, is no
 * evidence of a cause that ends processes. */
TEST(CellCrash, ContainsATaskBesideWorkersThatAreCutOff)
{
	BusyWorld w;
	int starts = 0;

	w.begin(EIGHT);
	w.crashers[7] = -1;
	w.submit(7, {CellWorld::task_step(1)});
	for (int64_t end = w.now + 60000; w.now < end;) {
		w.play(5);
		if (w.starts_of[7] == starts)
			continue;
		starts = w.starts_of[7];
		for (auto &id : {"w7", "w8"})
			if (w.worker_of(7) != id && w.is_up(id))
				w.workers[id].reachable = false;
		w.play(3000);
		for (auto &id : {"w7", "w8"})
			if (w.is_up(id))
				w.workers[id].reachable = true;
	}
	expect_contained(w, {7});
}
