#include "tests/cell_world.h"

#include <random>

namespace
{

/* A store that takes some time for an append, and workers whose runs end with
 * their lease. A poll that arrives extends it. */
class SlowStoreWorld : public CellWorld
{
      public:
	~SlowStoreWorld()
	{
		if (is_open)
			buf_finish(&batch);
	}

	void tick() override
	{
		CellWorld::tick();
		for (auto &k : calls)
			if (k.kind == Call::POLL && k.at == now)
				extend_lease(workers[k.worker.id], k.poll);
		expire_all();
	}

	void commit() override
	{
		if (!is_open) {
			buf_init(&batch);
			is_open = cell_take_batch(c, &batch);
			done_at = now + append_ms;
			if (!is_open)
				buf_finish(&batch);
		} else if (now >= done_at) {
			apply(batch);
			is_open = false;
			buf_finish(&batch);
			cell_batch_stored(c);
		}
	}

	int64_t append_ms = 5;

      private:
	static void extend_lease(FakeWorker &w, const poll_request &h)
	{
		if (!w.refuses && h.lease_deadline_ms > w.lease)
			w.lease = h.lease_deadline_ms;
	}

	bool is_open = false;
	buf batch = {};
	int64_t done_at = 0;
};

class CellRecovery : public testing::Test
{
      protected:
	/* Starts one task of job 7 on "w1" under the first owner; "w2" has
	 * capacity as well, and "w3" leaves at once. */
	void start_on_w1(job_step step = CellWorld::task_step(1))
	{
		w.begin({"w1"});
		w.submit(7, {step});
		w.run(200);
		w.add_worker("w2");
		w.add_worker("w3");
		w.run(200);
		ASSERT_EQ(w.workers["w1"].running.size(), step.count);
		leave("w3");
	}

	/* The worker's process has ended, and its registry entry is gone. */
	void leave(const char *id)
	{
		w.workers[id].reachable = false;
		w.entries.erase(id);
		cell_worker_gone(w.c, id);
	}

	/* Whether all tasks of job 7 run within @ms on other workers than "w1".
	 */
	bool runs_elsewhere(size_t count, int64_t ms)
	{
		w.run(ms);
		return w.runs(7) == count && w.workers["w1"].running.empty();
	}

	void drain(const char *id, int64_t leaving_ms)
	{
		w.entries[id].draining = true;
		w.entries[id].leaving_ms = leaving_ms;
		w.announce(id);
	}

	/* 600 tasks have ended on "w1"; the new owner hears of 500 of them and
	 * can neither store nor acknowledge them. */
	void hear_one_page_of_ends()
	{
		w.begin({"w1"});
		w.entries["w1"].cpu = 1000000;
		w.announce("w1");
		w.submit(7, {CellWorld::task_step(600)});
		w.run(400);
		ASSERT_EQ(w.runs(7), 600u);
		w.add_worker("w2", 1000000);
		w.run(200);
		w.storing = false;
		w.end_all(7, RUN_DONE);
		w.take_over(2);
		w.run(50);
	}

	/* The start of the task of job 7 on "w1", the only worker, is held
	 * back. */
	Call hold_start()
	{
		w.begin({"w1"});
		w.submit(7, {CellWorld::task_step(1)});
		for (;;) {
			w.now += 5;
			cell_set_authority(w.c, w.now + 1000);
			w.tick();
			w.commit();
			for (size_t i = 0; i < w.calls.size(); i++)
				if (w.calls[i].kind == Call::START)
					return w.take(i);
			w.answer_all();
		}
	}

	/* The held start gets no answer, and the run is stopped at "w1" and not
	 * listed there: it counts as over. */
	Call hold_start_until_stopped(const std::vector<std::string> &others)
	{
		Call late = hold_start();

		for (auto &id : others)
			w.add_worker(id);
		w.run(200);
		w.answer_as(late, ORDER_UNKNOWN);
		w.storing = false;
		w.run(200);
		EXPECT_EQ(w.counts().placed, others.size());
		late.done = [](void *, const worker_addr *, const task_ref *,
			       const order_reply *) {};
		return late;
	}

	/* A new process of "w1" has its id, and knows of no stop. */
	void restart_w1()
	{
		w.workers["w1"] = FakeWorker();
		w.workers["w1"].born = w.entries["w1"].born = 2000;
		w.workers["w1"].clock_offset = 100 - w.now;
		w.workers["w1"].ignores_stops = true;
		w.announce("w1");
	}

	void expect_the_late_run_only()
	{
		ASSERT_EQ(w.runs(7), 1u);
		w.storing = true;
		w.run(500);
		EXPECT_TRUE(w.duplicates.empty());
		EXPECT_EQ(w.starts.size(), 1u);
		w.end_all(7, RUN_DONE);
		w.run(500);
		EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
		EXPECT_EQ(w.starts.size(), 1u);
	}

	CellWorld w;
};

/* A worker that left kept all tasks of the previous owner waiting for the end
 * of all leases, also those whose own worker had answered. */
TEST_F(CellRecovery, RestartsATaskOnceItsOwnWorkerHasAnswered)
{
	start_on_w1();
	w.storing = false;
	w.end_all(7, RUN_STOPPED);
	w.take_over(2);
	w.storing = true;
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_TRUE(w.duplicates.empty());
}

/* The same for a gang, which waits for all its members. */
TEST_F(CellRecovery, RestartsAGangOnceItsOwnWorkersHaveAnswered)
{
	job_step gang = CellWorld::task_step(3);

	gang.flags = STEP_GANG;
	start_on_w1(gang);
	w.storing = false;
	w.end_all(7, RUN_STOPPED);
	w.take_over(2);
	w.storing = true;
	w.run(500);
	EXPECT_EQ(w.runs(7), 3u);
	EXPECT_TRUE(w.duplicates.empty());
}

/* The previous owner had heard that a run was stopped and acknowledged it. It
 * stored nothing of that, and the worker, which alone could have told, left. */
TEST_F(CellRecovery, KnowsOfAStoppedRunThatThePreviousOwnerHeardOf)
{
	start_on_w1();
	w.closed_zones.insert("z1");
	w.end_all(7, RUN_STOPPED);
	w.run(200);
	leave("w1");
	w.take_over(2);
	w.closed_zones.clear();
	EXPECT_TRUE(runs_elsewhere(1, 500));
}

/* What one owner has found out is not asked again by the next one. */
TEST_F(CellRecovery, KnowsThatThePreviousOwnerFoundARunEnded)
{
	start_on_w1();
	w.storing = false;
	w.closed_zones.insert("z1");
	w.end_all(7, RUN_STOPPED);
	w.take_over(2);
	w.storing = true;
	w.run(200);
	leave("w1");
	w.take_over(3);
	w.closed_zones.clear();
	EXPECT_TRUE(runs_elsewhere(1, 500));
}

/* The wait for a silent worker began anew with each owner, although no owner
 * after the first had renewed its lease: two takeovers doubled it. */
TEST_F(CellRecovery, CountsTheWaitForASilentWorkerFromTheFirstTakeover)
{
	start_on_w1();
	w.workers["w1"].reachable = false;
	w.take_over(2);
	w.run(w.opt.takeover_ms - 2000);
	EXPECT_EQ(w.starts.size(), 1u);
	w.take_over(3);
	w.workers["w1"].running.clear(); /* its lease has expired */
	EXPECT_TRUE(runs_elsewhere(1, 2500));
}

/*
 * Against a long-running task that waits though there is capacity: its worker
 * was lost, and a second later the group gave the cell to another host, which
 * waited for the longest leases that the former owner could have granted.
 */
TEST_F(CellRecovery, WaitsNoLongerThanTheLeaseOfAWorkerThatWasSilentAtAHandover)
{
	for (int64_t silent_ms : {700, 1200, 1700, 2200}) {
		SlowStoreWorld x;

		x.begin({"w1"});
		x.submit(7, {CellWorld::serving_step(1, 2000)});
		x.run(400);
		x.add_worker("w2");
		x.run(200);
		ASSERT_EQ(x.workers["w1"].running.size(), 1u);
		x.workers["w1"].reachable = false;
		x.run(silent_ms);
		x.hand_over();
		x.run(100);
		x.take_over_on_a_new_host(2);
		int64_t until = x.now + x.opt.lease_ms + 1000 - silent_ms;
		while (x.workers["w2"].running.empty() && x.now < until)
			x.run(10);
		EXPECT_EQ(x.workers["w2"].running.size(), 1u) << silent_ms;
		EXPECT_TRUE(x.workers["w1"].running.empty()) << silent_ms;
		x.run(x.opt.takeover_ms);
		EXPECT_EQ(x.starts.size(), 2u) << silent_ms;
	}
}

/*
 * The owner was paused, and hands over as soon as it goes on. Replies that have
 * arrived meanwhile must not leave its workers silent, whose leases it would
 * not renew any more.
 */
TEST_F(CellRecovery, RenewsLeasesThroughAHandoverAfterAPause)
{
	SlowStoreWorld x;
	int64_t before;

	x.begin({"w1"});
	x.submit(7, {CellWorld::task_step(1)});
	x.run(400);
	before = x.workers["w1"].lease;
	x.now += 2500;
	x.append_ms = 2000;
	x.hand_over();
	x.run(300);
	EXPECT_GT(x.workers["w1"].lease, before);
	x.run(x.opt.lease_ms);
	EXPECT_EQ(x.runs(7), 1u);
}

/* A worker that answers again while its owner hands over keeps its run. */
TEST_F(CellRecovery, KeepsTheRunOfAWorkerThatIsSilentOnlyForAHandover)
{
	SlowStoreWorld x;

	x.begin({"w1"});
	x.submit(7, {CellWorld::serving_step(1, 2000)});
	x.run(400);
	x.workers["w1"].reachable = false;
	x.run(1700);
	x.hand_over();
	x.run(100);
	x.workers["w1"].reachable = true;
	x.run(400);
	x.take_over_on_a_new_host(2);
	x.run(x.opt.takeover_ms);
	EXPECT_EQ(x.runs(7), 1u);
	EXPECT_EQ(x.starts.size(), 1u);
}

/* While hosts are restarted in turn, each owner is a process that has read the
 * records only a moment ago. */
TEST_F(CellRecovery, CountsTheWaitForASilentWorkerAcrossHostsThatRestart)
{
	start_on_w1();
	w.workers["w1"].reachable = false;
	w.take_over(2);
	w.run(w.opt.takeover_ms / 2);
	w.take_over_on_a_new_host(3);
	w.run(w.opt.takeover_ms / 2 - 2000);
	EXPECT_EQ(w.starts.size(), 1u);
	w.take_over_on_a_new_host(4);
	w.workers["w1"].running.clear(); /* its lease has expired */
	EXPECT_TRUE(runs_elsewhere(1, 4500));
}

/* Nothing of a live worker's silence was stored, and its leases were extended
 * again, only after a slow append: the leases ran out meanwhile. A worker that
 * refuses polls for a moment, as when a host that relays them stops, keeps its
 * runs while the store takes seconds for an append. */
TEST_F(CellRecovery, KeepsTheRunsOfAWorkerThatRefusesPollsForAMoment)
{
	for (int64_t phase = 0; phase < 2000; phase += 100) {
		SlowStoreWorld x;
		job_step s = CellWorld::task_step(1);

		s.flags = STEP_LONG_RUNNING;
		x.long_polls = true;
		x.begin({"w1"});
		x.submit(7, {s});
		x.run(3000 + phase);
		ASSERT_EQ(x.starts.size(), 1u);
		x.append_ms = 2500;
		x.workers["w1"].refuses = true;
		x.run(600);
		x.workers["w1"].refuses = false;
		x.run(x.append_ms);
		x.append_ms = 5;
		x.run(9000);
		EXPECT_EQ(x.starts.size(), 1u) << "phase " << phase;
	}
}

/* A single missed poll, as when the host that relays it stops, does not hold up
 * the leases of the worker. */
TEST_F(CellRecovery, ExtendsLeasesAfterASingleMissedPoll)
{
	int64_t before;

	start_on_w1();
	w.workers["w1"].refuses = true;
	w.run(10);
	w.workers["w1"].refuses = false;
	w.storing = false;
	before = w.workers["w1"].lease;
	w.run(300);
	EXPECT_GT(w.workers["w1"].lease, before);
}

/* A worker that answers again gets no longer lease before the store says so:
 * the next owner counts on the end that it read there. */
TEST_F(CellRecovery, ExtendsAFrozenLeaseOnlyOnceThatIsStored)
{
	int64_t before;

	start_on_w1();
	w.workers["w1"].reachable = false;
	w.run(3000);
	before = w.workers["w1"].lease;
	w.storing = false;
	w.workers["w1"].reachable = true;
	w.run(500);
	EXPECT_EQ(w.workers["w1"].lease, before);
	w.storing = true;
	w.run(500);
	EXPECT_GT(w.workers["w1"].lease, before);
	w.run(5000);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_EQ(w.starts.size(), 1u);
}

/* The store fails just before the owner would store that a worker is silent.
 * The record was never sent, but the worker, back again, got no longer lease.
 */
TEST_F(CellRecovery, ExtendsALeaseAgainWhenItsFreezeWasNeverSent)
{
	start_on_w1();
	w.workers["w1"].reachable = false;
	w.run(2200);
	w.storing = false;
	w.run(600);
	w.workers["w1"].reachable = true;
	w.run(3500);
	EXPECT_EQ(w.runs(7), 1u);
	w.storing = true;
	w.run(200);
	w.take_over_on_a_new_host(2);
	w.run(3000);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_EQ(w.starts.size(), 1u);
}

/* A worker that does not answer was chosen again and again: the start was held
 * back for the missed poll, and the next pass chose the same worker. */
TEST_F(CellRecovery, StartsElsewhereWhenTheBestWorkerHasMissedAPoll)
{
	job_step step = CellWorld::task_step(1);

	start_on_w1();
	name_set(w.entries["w2"].labels[1], "r2");
	w.announce("w2");
	name_set(step.data_rack, "r1");
	w.workers["w1"].reachable = false;
	w.run(300);
	w.submit(8, {step});
	w.run(500);
	EXPECT_EQ(w.runs(8), 1u);
}

/* An end that was heard of a task that has no place yet was acknowledged and
 * not stored: the next owner asked the worker again, which had left. */
TEST_F(CellRecovery, KnowsOfAnEndThoughTheTaskHadNoPlace)
{
	start_on_w1(CellWorld::task_step(3));
	w.entries["w2"].cpu = 500;
	w.announce("w2");
	w.run(100);
	w.storing = false;
	w.entries["w1"].draining = true;
	w.announce("w1");
	w.end_all(7, RUN_STOPPED);
	w.take_over(2);
	w.storing = true;
	w.run(1000);
	leave("w1");
	w.add_worker("w4");
	w.take_over(3);
	w.run(500);
	EXPECT_EQ(w.runs(7), 3u);
}

/* An owner of an older release starts a task again without storing where, so
 * that the record still names the worker of a former run. */
TEST_F(CellRecovery, TrustsNoReferenceAfterAnOwnerThatStoresNone)
{
	cell_owner old = {"a", "a:1"};
	buf b;

	start_on_w1();
	w.workers["w2"].reachable = false;
	buf_init(&b);
	cell_owner_write(&old, &b);
	job_view_apply(&w.view, str_of(OWNER_KEY), {b.data, b.len}, w.now);
	buf_finish(&b);
	w.workers["w1"].running.clear();
	w.take_over(2);
	w.run(1000);
	EXPECT_EQ(w.starts.size(), 1u); /* "w2" may run it */
	w.workers["w2"].reachable = true;
	w.run(1000);
	leave("w3");
	w.run(w.opt.takeover_ms);
	EXPECT_EQ(w.starts.size(), 2u);
}

/* A run that is found on another worker than the stored one is stored. */
TEST_F(CellRecovery, StoresWhereItFoundARun)
{
	task_ref ref;

	start_on_w1();
	ref = w.workers["w1"].running[0].ref;
	w.workers["w2"].running = w.workers["w1"].running;
	w.workers["w2"].lease = w.workers["w1"].lease;
	w.workers["w1"].running.clear();
	w.take_over(2);
	w.run(300);
	EXPECT_EQ(w.runs(7), 1u);
	w.workers["w2"].reachable = false;
	w.take_over(3);
	w.run(1000);
	EXPECT_EQ(w.starts.size(), 1u);
	EXPECT_EQ(ref.job, 7u);
}

/* A task that was started again elsewhere is looked for where it runs now, and
 * not on the worker of its first run. */
TEST_F(CellRecovery, WaitsForTheWorkerOfTheLatestRun)
{
	start_on_w1();
	w.closed_zones.insert("z1");
	w.end_all(7, RUN_FAILED);
	w.run(200);
	w.entries["w1"].draining = true;
	w.announce("w1");
	w.closed_zones.clear();
	w.run(300);
	ASSERT_EQ(w.workers["w2"].running.size(), 1u);
	w.workers["w2"].reachable = false;
	w.add_worker("w4");
	w.take_over(2);
	w.run(6000);
	EXPECT_EQ(w.starts.size(), 2u);
	w.run(w.opt.takeover_ms);
	EXPECT_EQ(w.starts.size(), 3u);
}

/* The next owner looks for the task where the store says that it was sent. */
TEST_F(CellRecovery, RestartsOnAnotherWorkerOnlyOnceThatIsStored)
{
	start_on_w1();
	w.entries["w1"].draining = true;
	w.announce("w1");
	w.end_all(7, RUN_FAILED);
	w.storing = false;
	w.run(500);
	EXPECT_EQ(w.starts.size(), 1u);
	w.storing = true;
	w.run(200);
	EXPECT_EQ(w.starts.size(), 2u);
}

/* A reply lists 500 ends at most. The end of a task on a later page was not
 * known yet when the first page ended the doubt about it: it ran again. */
TEST_F(CellRecovery, WaitsForAllPagesOfEnds)
{
	hear_one_page_of_ends();
	w.run(400);
	w.storing = true;
	w.run(1000);
	EXPECT_EQ(w.starts.size(), 600u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
}

/* The worker that had listed a first page of ends was taken for one that had
 * told all. When it then left, its record was freed while the cell still
 * counted it, and the owner crashed. */
TEST_F(CellRecovery, ForgetsAWorkerThatLeavesAfterItsFirstPageOfEnds)
{
	hear_one_page_of_ends();
	leave("w1");
	w.storing = true;
	w.run(12000);
	EXPECT_EQ(w.counts().unheard, 0u);
}

/* The wait for its other pages must not end by time: the worker answers, and
 * its leases are extended. */
TEST_F(CellRecovery, WaitsForAllPagesOfEndsThroughAnOutageOfTheStore)
{
	hear_one_page_of_ends();
	w.run(w.opt.takeover_ms + 500);
	w.storing = true;
	w.run(1000);
	EXPECT_EQ(w.starts.size(), 600u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
}

/* A start was under way when its worker restarted under the same id. The owner
 * started the task elsewhere, and the new process then carried the order out.
 */
TEST_F(CellRecovery, StopsAStartThatIsUnderWayToAWorkerThatRestarts)
{
	std::vector<Call> late;

	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(1)});
	while (late.empty()) {
		w.now += 5;
		cell_set_authority(w.c, w.now + 1000);
		cell_tick(w.c, w.now, w.now);
		w.commit();
		for (size_t i = 0; i < w.calls.size(); i++)
			if (w.calls[i].kind == Call::START) {
				late.push_back(w.calls[i]);
				w.calls.erase(w.calls.begin() + (long)i);
				break;
			}
		w.answer_all();
	}
	w.add_worker("w2");
	w.workers["w1"] = FakeWorker();
	w.workers["w1"].born = w.entries["w1"].born = 2000;
	w.announce("w1");
	w.run(20);
	w.answer(late[0]);
	w.run(1000);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_TRUE(w.duplicates.empty());
}

/* An order of the former owner was under way while the next one took over and
 * started the task elsewhere: the worker carried it out. */
TEST_F(CellRecovery, FencesAStartOfTheFormerOwnerThatArrivesLate)
{
	std::vector<Call> late;

	w.begin({"w1", "w2"});
	w.submit(7, {CellWorld::task_step(1)});
	while (late.empty()) {
		w.now += 5;
		cell_set_authority(w.c, w.now + 1000);
		w.tick();
		w.commit();
		for (size_t i = 0; i < w.calls.size(); i++)
			if (w.calls[i].kind == Call::START) {
				late.push_back(w.calls[i]);
				w.calls.erase(w.calls.begin() + (long)i);
				break;
			}
		w.answer_all();
	}
	w.take_over(2);
	w.run(2000);
	ASSERT_EQ(w.runs(7), 1u);
	w.answer(late[0]);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_TRUE(w.duplicates.empty());
	EXPECT_EQ(w.workers["w1"].fence, 2u);
	EXPECT_EQ(w.workers["w2"].fence, 2u);
}

/* An owner that had been paused went on after a worker had seen the next one.
 * Each kind of call tells it. */
TEST_F(CellRecovery, StopsOnceAWorkerHasSeenTheNextOwner)
{
	for (Call::Kind kind : {Call::START, Call::STOP, Call::POLL}) {
		CellWorld x;

		x.begin({"w1"});
		x.submit(7, {CellWorld::task_step(1)});
		if (kind == Call::STOP) {
			x.run(200);
			x.cancel(7);
		}
		for (int i = 0; i < 400 && !x.fenced; i++) {
			x.now += 5;
			cell_set_authority(x.c, x.now + 1000);
			x.tick();
			x.commit();
			auto out = x.calls;
			x.calls.clear();
			for (auto &call : out) {
				x.workers["w1"].fence =
					call.kind == kind ? 2 : 1;
				x.answer(call);
			}
		}
		EXPECT_TRUE(x.fenced) << (int)kind;
	}
}

/* The registry entry that a new owner reads first is up to a heartbeat old. It
 * counted the time left from its own reading, so the stop came too late and the
 * run ended with the worker, unreported. */
TEST_F(CellRecovery, StopsTasksInTimeOnAWorkerWhoseEntryIsOld)
{
	const int64_t left_ms = 3000, stop_takes_ms = 900;
	job_step step = CellWorld::task_step(1);

	step.flags = STEP_LONG_RUNNING;
	w.opt.heartbeat_ms = 1100;
	start_on_w1(step);
	drain("w1", left_ms + w.opt.heartbeat_ms);
	w.take_over(2);
	w.run(left_ms - stop_takes_ms);
	EXPECT_TRUE(w.workers["w1"].running.empty());
}

/* A later entry may be older relative to its reading than the one before. */
TEST_F(CellRecovery, KeepsTheEarliestEstimateOfTheTimeAtWhichAWorkerLeaves)
{
	job_step step = CellWorld::task_step(1);

	step.flags = STEP_LONG_RUNNING;
	start_on_w1(step);
	drain("w1", 3000);
	w.run(1000);
	drain("w1", 3000);
	w.run(1000);
	EXPECT_TRUE(w.workers["w1"].running.empty());
}

/* A task was stopped on a worker that leaves. The owner that had heard of its
 * checkpoint went before the task started again, and it began from zero. */
TEST_F(CellRecovery, ResumesFromTheCheckpointThatThePreviousOwnerHeardOf)
{
	start_on_w1(CellWorld::task_step(3));
	w.closed_zones.insert("z1");
	w.end(7, RUN_STOPPED, 0, 1);
	w.run(200);
	leave("w1");
	w.workers["w1"].running.clear();
	w.take_over_on_a_new_host(2);
	w.run(200);
	w.take_over_on_a_new_host(3);
	w.closed_zones.clear();
	w.checkpoints.clear();
	w.run(w.opt.takeover_ms + 1000);
	ASSERT_EQ(w.runs(7), 3u);
	EXPECT_EQ(w.checkpoints[1], "saved");
	EXPECT_EQ(w.checkpoints[0], "");
	EXPECT_EQ(w.checkpoints[2], "");
}

/* The progress of a step as releases before the checkpoints wrote it. */
const field old_rows[] = {
	FIELD_OF(U32, step_progress, occurrence),
	FIELD_OF(U32, step_progress, step),
	FIELD_OF(U32, step_progress, all_done),
	FIELD_OF(STR, step_progress, done),
	FIELD_OF(STR, step_progress, failures),
	FIELD_OF(STR, step_progress, ordered),
	FIELD_OF(STR, step_progress, workers),
	FIELD_OF(STR, step_progress, crashes),
};
const shape old_shape = SHAPE_OF(old_rows, step_progress);
const field old_progress_rows[] = {
	FIELD_OF(U64, job_progress, epoch),
	FIELD_OF(U32, job_progress, state),
	FIELD_LIST_OF(job_progress, steps, &old_shape),
};
const shape old_progress_shape = SHAPE_OF(old_progress_rows, job_progress);

/* During an update, owners of both releases read each other's records. */
TEST_F(CellRecovery, ReadsProgressWithoutCheckpointsAndIsReadWithThem)
{
	step_progress row = {};
	job_progress p = {1, JOB_RUNNING, {&row, 1}}, back = {};
	char key[JOB_KEY_SIZE];
	arena a;
	buf b;

	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(2)});
	row.done = row.ordered = {"\x01", 1};
	row.crashes = {"\x00\x01", 2};
	buf_init(&b);
	shape_write(&old_progress_shape, &p, &b);
	job_view_apply(&w.view, job_key(7, 'p', key), {b.data, b.len}, w.now);
	w.take_over(2);
	w.run(w.opt.takeover_ms + 1000);
	EXPECT_EQ(w.runs(7), 1u);
	row.checkpoints = {"\x01\x00\x02ok", 5};
	buf_clear(&b);
	job_progress_write(&p, &b);
	arena_init(&a);
	ASSERT_EQ(shape_read(&old_progress_shape, {b.data, b.len}, &back, &a),
		  0);
	ASSERT_EQ(back.steps.count, 1u);
	EXPECT_EQ(((step_progress *)back.steps.items)[0].crashes.len, 2u);
	arena_finish(&a);
	buf_finish(&b);
}

/* A new owner used nothing but the name of a run in the first report that it
 * got of it: a task whose worker crashed before the second began from zero. */
TEST_F(CellRecovery, KnowsTheCheckpointOfARunOnceItIsReported)
{
	start_on_w1(CellWorld::task_step(1));
	w.find(7)->checkpoint = "later";
	w.take_over_on_a_new_host(2);
	while (!w.counts().placed)
		w.run(5);
	w.workers["w1"].running.clear();
	w.workers["w1"].born++;
	w.entries["w1"].born++;
	w.announce("w1");
	w.checkpoints.clear();
	w.run(3000);
	ASSERT_EQ(w.runs(7), 1u);
	EXPECT_EQ(w.checkpoints[0], "later");
}

/* Bytes that name no task, or are cut off, are skipped. */
TEST_F(CellRecovery, SkipsCheckpointsThatNameNoTask)
{
	const char bytes[] = "\x01\x00\x02ok"
			     "\x09\x00\x02no"
			     "\x00\x00\x7fno";
	step_progress row = {};
	job_progress p = {1, JOB_RUNNING, {&row, 1}};
	char key[JOB_KEY_SIZE];
	buf b;

	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(2)});
	row.ordered = {"\x03", 1};
	row.checkpoints = {bytes, sizeof(bytes) - 1};
	buf_init(&b);
	job_progress_write(&p, &b);
	job_view_apply(&w.view, job_key(7, 'p', key), {b.data, b.len}, w.now);
	buf_finish(&b);
	w.take_over(2);
	w.run(w.opt.takeover_ms + 1000);
	ASSERT_EQ(w.runs(7), 2u);
	EXPECT_EQ(w.checkpoints[0], "");
	EXPECT_EQ(w.checkpoints[1], "ok");
}

/*
 * A progress record that names a step twice counted its tasks twice: the count
 * of waiting tasks fell below zero.
 */
TEST_F(CellRecovery, AppliesTheProgressOfAStepOnce)
{
	step_progress rows[2] = {};
	job_progress p = {1, JOB_RUNNING, {rows, 2}};
	char key[JOB_KEY_SIZE];
	buf b;

	rows[0].done = rows[1].done = {"\x01", 1};
	rows[0].ordered = rows[1].ordered = {"\x01", 1};
	buf_init(&b);
	job_progress_write(&p, &b);
	w.submit(7, {CellWorld::task_step(2)});
	job_view_apply(&w.view, job_key(7, 'p', key), {b.data, b.len}, w.now);
	buf_finish(&b);
	w.take_over(2);
	EXPECT_EQ(w.counts().waiting, 1u);
	EXPECT_NE(w.state(7), (uint32_t)JOB_COMPLETED);
}

/* A run that counted as over was listed while a start of its task was being
 * stored for another worker: the start was sent all the same. */
TEST_F(CellRecovery, SendsNoStoredStartBesideARunThatAnotherWorkerLists)
{
	Call late = hold_start_until_stopped({"w2"});

	restart_w1();
	w.answer(late);
	w.run(100);
	expect_the_late_run_only();
}

/* The same with a start that was being stored for the same worker. */
TEST_F(CellRecovery, SendsNoStoredStartBesideARunThatItsWorkerLists)
{
	Call late = hold_start_until_stopped({});

	/* The stop of a start without an answer is repeated for 12 s. */
	w.closed_zones.insert("z1");
	w.run(12500);
	restart_w1();
	w.storing = true;
	w.run(1000); /* its record is stored */
	w.storing = false;
	w.closed_zones.clear();
	w.run(2000);
	ASSERT_EQ(w.counts().placed, 1u);
	w.answer(late);
	w.run(2000);
	expect_the_late_run_only();
}

/* The same with a task that had no place yet. */
TEST_F(CellRecovery, PlacesNoTaskBesideARunThatAWorkerLists)
{
	Call late = hold_start_until_stopped({});

	restart_w1();
	w.answer(late);
	w.run(100);
	w.add_worker("w2");
	w.run(100);
	expect_the_late_run_only();
}

/* A run that counted as over ended as done while a start of its task was being
 * stored: the end was dropped and acknowledged, and the task ran again. */
TEST_F(CellRecovery, StartsNoTaskWhoseFormerRunIsReportedDone)
{
	Call late = hold_start_until_stopped({"w2"});

	restart_w1();
	w.answer(late);
	w.end_all(7, RUN_DONE);
	w.run(100);
	w.storing = true;
	w.run(500);
	EXPECT_EQ(w.starts.size(), 1u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
}

/* Ends were stored late. Their worker had restarted under its id meanwhile: the
 * new process, unknown to the owner, took the acknowledgement for its own ends
 * and forgot them, and a task that was done ran again. */
TEST_F(CellRecovery, AcknowledgesNoEndToAProcessThatMayBeNew)
{
	Call late = hold_start();

	w.submit(8, {CellWorld::task_step(1)});
	w.run(200);
	ASSERT_EQ(w.runs(8), 1u);
	w.storing = false;
	w.end_all(8, RUN_DONE);
	w.run(100);
	w.workers["w1"] = FakeWorker();
	w.workers["w1"].born = w.entries["w1"].born = 2000;
	w.answer(late);
	w.end_all(7, RUN_DONE);
	w.storing = true;
	w.run(2000);
	EXPECT_EQ(w.starts.size(), 2u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_COMPLETED);
	EXPECT_EQ(w.state(8), (uint32_t)JOB_COMPLETED);
}

/* After a run of a former owner, the next one had the number that follows. That
 * owner may have used it: a worker that had seen it refused the start. */
TEST_F(CellRecovery, NumbersNoRunAsAFormerOwnerMayHave)
{
	start_on_w1();
	w.workers["w2"].ended_runs[{7, 0, 0, 0}] = 3;
	w.take_over(2);
	w.run(200);
	ASSERT_EQ(w.counts().placed, 1u);
	w.entries["w1"].draining = true;
	w.announce("w1");
	w.end_all(7, RUN_STOPPED);
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_EQ(w.counts().starts, 1u);
}

/* A task that a former owner had started more often than an epoch has numbers
 * got numbers again that its workers had seen, and refused. */
TEST_F(CellRecovery, NumbersNoRunAsAnOwnerOfManyRunsMayHave)
{
	const size_t runs = 1200;
	job_step lasting = CellWorld::task_step(1);

	lasting.flags = STEP_LONG_RUNNING;
	w.begin({"w1"});
	w.submit(7, {lasting});
	w.run(100);
	w.take_over_on_a_new_host(2);
	w.run(200);
	while (w.starts.size() < runs && w.now < 1000000) {
		w.end_all(7, RUN_FAILED);
		w.run(100);
	}
	ASSERT_EQ(w.starts.size(), runs);
	w.closed_zones.insert("z1");
	w.end_all(7, RUN_FAILED);
	w.run(500);
	ASSERT_EQ(w.counts().placed, 0u);
	w.take_over_on_a_new_host(3);
	w.closed_zones.clear();
	w.run(500);
	EXPECT_EQ(w.runs(7), 1u);
	EXPECT_EQ(w.counts().starts, 1u);
}

/* Runs end with their lease, also on a worker that nobody calls. */
class ExpiringWorld : public CellWorld
{
      public:
	void tick() override
	{
		expire_all();
		CellWorld::tick();
	}
};

/* The stored end of a silent worker's leases is that of its former process. The
 * new one, never heard, had carried out a late start of the former owner, and
 * its lease lasted longer. */
TEST_F(CellRecovery, CountsNoStoredEndOfLeasesForANewProcess)
{
	std::vector<Call> late;
	ExpiringWorld x;

	x.begin({"w1"});
	x.submit(7, {CellWorld::task_step(1)});
	while (late.empty()) {
		x.now += 5;
		cell_set_authority(x.c, x.now + 1000);
		x.tick();
		x.commit();
		for (size_t i = 0; i < x.calls.size() && late.empty(); i++)
			if (x.calls[i].kind == Call::START)
				late.push_back(x.take(i));
		x.answer_all();
	}
	x.workers["w1"].reachable = false;
	x.add_worker("w2");
	x.run(3000);
	x.take_over(2);
	x.workers["w1"] = FakeWorker();
	x.workers["w1"].born = x.entries["w1"].born = 2000;
	x.workers["w1"].clock_offset = -x.now;
	x.announce("w1");
	x.answer(late[0]);
	x.workers["w1"].reachable = false;
	x.run(x.opt.takeover_ms - 1000);
	EXPECT_TRUE(x.duplicates.empty());
	x.run(2000);
	EXPECT_EQ(x.runs(7), 1u);
	EXPECT_EQ(x.starts.size(), 2u);
}

/* Whatever is stored of the leases of a silent worker must hold until something
 * else is stored: workers that come and go, owners that change and a store that
 * stops, at random. */
TEST(CellRecoveryModel, RunsNoTaskTwice)
{
	size_t starts = 0;

	for (unsigned seed = 1; seed <= 150; seed++) {
		std::mt19937 rng(seed);
		ExpiringWorld x;
		uint64_t epoch = 1;

		x.opt.renew_after_ms = 4000;
		x.opt.takeover_ms = 8500;
		x.begin({"w1", "w2", "w3"});
		for (uint64_t id = 1; id <= 6; id++) {
			job_step s = CellWorld::task_step(1, 2000);
			s.flags = STEP_LONG_RUNNING;
			x.submit(id, {s});
		}
		x.run(300);
		for (int i = 0; i < 120; i++) {
			unsigned kind = rng() % 100;
			auto &worker =
				x.workers["w" + std::to_string(1 + rng() % 3)];

			if (kind < 30)
				worker.reachable ^= true;
			else if (kind < 40)
				worker.refuses ^= true;
			else if (kind < 55)
				x.storing ^= true;
			else if (kind < 70)
				x.take_over(++epoch);
			else if (kind < 75)
				x.take_over_on_a_new_host(++epoch);
			x.run(rng() % 2 ? rng() % 300 : rng() % 2500);
		}
		EXPECT_TRUE(x.duplicates.empty()) << "seed " << seed;
		starts += x.starts.size();
	}
	EXPECT_GT(starts, 1000u);
}

} /* namespace */
