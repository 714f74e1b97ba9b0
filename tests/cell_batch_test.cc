#include "tests/cell_world.h"

#include <random>

namespace
{

/* A store that accepts appends and records of a limited size. */
class LimitedWorld : public CellWorld
{
      public:
	void tick() override
	{
		expire_all();
		CellWorld::tick();
	}

	void commit() override
	{
		buf b;

		buf_init(&b);
		if (cell_take_batch(c, &b)) {
			largest = std::max(largest, b.len);
			batches++;
			if (!is_refused(b)) {
				apply(b);
				cell_batch_stored(c);
			}
		}
		buf_finish(&b);
	}

	/* The next owner knows only from these records that the task may run
	 * there. */
	void on_start(const std::string &worker, const order &sent) override
	{
		char key[JOB_KEY_SIZE];

		str k = job_key(sent.ref.job, 'p', key);
		EXPECT_TRUE(newest.count(std::string(k.data, k.len)));
		EXPECT_TRUE(newest.count(WORKER_KEY_PREFIX + worker)) << worker;
	}

	void reply_to_poll(Call &call, const poll_reply &h) override
	{
		if (h.ended_count && !end_heard_ms)
			end_heard_ms = now;
		CellWorld::reply_to_poll(call, h);
	}

	bool is_refused(const buf &b)
	{
		str rest = {b.data, b.len};
		store_record r;

		while (!store_record_take(&rest, &r))
			if (1 + r.key.len + r.value.len > record_max)
				return true;
		return b.len > append_max;
	}

	void limit(size_t append_bytes, size_t record_bytes)
	{
		opt.append_max_bytes = append_max = append_bytes;
		opt.record_max_bytes = record_max = record_bytes;
	}

	bool all_completed(uint64_t first, uint64_t last)
	{
		for (uint64_t id = first; id <= last; id++)
			if (state(id) != (uint32_t)JOB_COMPLETED)
				return false;
		return true;
	}

	size_t append_max = SIZE_MAX;
	size_t record_max = SIZE_MAX;
	size_t largest = 0;
	size_t batches = 0;
	int64_t end_heard_ms = 0;
};

class CellBatch : public testing::Test
{
      protected:
	LimitedWorld w;
};

/* After a takeover, or in a burst, the records of the cell were one batch, of
 * any size. The store refused it for ever, and no task started any more. */
TEST_F(CellBatch, KeepsToTheLargestAppendOfTheStore)
{
	w.limit(1000, 1000);
	w.begin({"w1", "w2"}, 0);
	for (int i = 0; i < 60; i++)
		w.add_worker("worker-with-a-long-name-" + std::to_string(i));
	for (uint64_t id = 1; id <= 200; id++)
		w.submit(id, {CellWorld::task_step(2, 100)});
	w.run(2000);
	EXPECT_LE(w.largest, 1000u);
	EXPECT_EQ(w.starts.size(), 400u);
	for (uint64_t id = 1; id <= 200; id++)
		w.end_all(id, RUN_DONE);
	w.run(2000);
	EXPECT_TRUE(w.all_completed(1, 200));
	EXPECT_TRUE(w.duplicates.empty());
}

/* The same with other records before those of the cell. */
TEST_F(CellBatch, LeavesRoomForTheRecordsThatAreInTheBatchAlready)
{
	const std::string other(700, 'x');
	buf b;

	w.limit(1000, 1000);
	w.begin({"w1"});
	for (uint64_t id = 1; id <= 20; id++)
		w.submit(id, {CellWorld::task_step(1, 100)});
	w.storing = false;
	w.run(200);
	buf_init(&b);
	buf_add(&b, other.data(), other.size());
	ASSERT_TRUE(cell_take_batch(w.c, &b));
	EXPECT_GT(b.len, other.size());
	EXPECT_LE(b.len, 1000u);
	buf_finish(&b);
}

/* The end of a run of a dropped job makes no record, so that there is nothing
 * to store: the worker lists it in every reply until it is acknowledged. */
TEST_F(CellBatch, AcknowledgesAnEndThatLeavesNothingToStore)
{
	task_ref unknown = {};

	w.begin({"w1"});
	w.run(3000);
	unknown.job = 99;
	unknown.run = 1;
	w.workers["w1"].ends = 1;
	w.workers["w1"].ended.push_back({1, unknown, RUN_DONE, ""});
	while (!w.end_heard_ms)
		w.run(5);
	w.run(20);
	EXPECT_TRUE(w.workers["w1"].ended.empty());
}

/* A job of an earlier release may have more progress than one record can hold:
 * its tasks cannot be started safely, but all others must be. */
TEST_F(CellBatch, GivesUpAJobWhoseProgressIsTooLargeAndNoOther)
{
	w.limit(4000, 400);
	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(600, 10)});
	w.submit(8, {CellWorld::task_step(2)});
	w.run(500);
	EXPECT_EQ(w.runs(7), 0u);
	EXPECT_EQ(w.runs(8), 2u);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_FAILED);
	w.end_all(8, RUN_DONE);
	w.run(500);
	EXPECT_EQ(w.state(8), (uint32_t)JOB_COMPLETED);
	w.take_over_on_a_new_host(2);
	w.run(500);
	EXPECT_EQ(w.starts.size(), 2u);
}

/*
 * The record of a job that ended names the runs of its account that are being
 * stopped, for the next owner. When the job was given up because its progress
 * was too large, that record was as large: the store refused it each time, and
 * the cell stored nothing any more.
 */
TEST_F(CellBatch, GivesUpAJobOfAnAccountWhoseProgressIsTooLarge)
{
	w.limit(4000, 400);
	w.set_accounts({{"a"}});
	w.account_name = "a";
	w.begin({"w1"});
	w.submit(7,
		 {CellWorld::task_step(40, 10), CellWorld::task_step(40, 10)},
		 200);
	w.run(500);
	ASSERT_EQ(w.runs(7), 80u);
	for (int round = 0; w.state(7) != JOB_FAILED && round < 4; round++) {
		for (uint32_t i = 0; i < 40; i++)
			w.end(7, RUN_FAILED, 0, i);
		w.run(500);
	}
	EXPECT_EQ(w.state(7), (uint32_t)JOB_FAILED);
	w.submit(8, {CellWorld::task_step(2)});
	w.run(500);
	EXPECT_EQ(w.runs(8), 2u);
}

/* Checkpoints must not make the progress of a job too large to be stored. */
TEST_F(CellBatch, LeavesOutCheckpointsThatDoNotFit)
{
	w.limit(4000, 250);
	w.begin({"w1"});
	w.submit(7, {CellWorld::task_step(40, 100)});
	w.run(500);
	ASSERT_EQ(w.runs(7), 40u);
	w.closed_zones.insert("z1");
	w.end_all(7, RUN_STOPPED);
	w.run(500);
	EXPECT_EQ(w.state(7), (uint32_t)JOB_RUNNING);
	w.closed_zones.clear();
	w.run(500);
	EXPECT_EQ(w.runs(7), 40u);
}

/* An end is acknowledged only once it is stored, also when the progress that
 * holds it waits for a later batch: else the worker forgets it, and a task that
 * is done runs again under the next owner. */
TEST_F(CellBatch, AcknowledgesNoEndThatWaitsForALaterBatch)
{
	w.limit(400, 400);
	w.begin({"w1"});
	w.entries["w1"].cpu = 1000000;
	w.announce("w1");
	for (uint64_t id = 1; id <= 60; id++)
		w.submit(id, {CellWorld::task_step(1, 100)});
	w.run(3000);
	ASSERT_EQ(w.starts.size(), 60u);
	for (uint64_t id = 1; id <= 60; id++)
		w.end_all(id, RUN_DONE);
	w.run(20);
	ASSERT_FALSE(w.all_completed(1, 60));
	w.take_over_on_a_new_host(2);
	w.run(3000);
	EXPECT_TRUE(w.all_completed(1, 60));
	EXPECT_EQ(w.starts.size(), 60u);
}

/* Jobs that change all the time must not keep others out of the batches. */
TEST_F(CellBatch, StoresEachJobHoweverOftenOthersChange)
{
	w.limit(300, 300);
	w.begin({"w1"});
	w.entries["w1"].cpu = 1000000;
	w.announce("w1");
	for (uint64_t id = 1; id <= 30; id++) {
		job_step s = CellWorld::task_step(1, 100);
		s.flags = STEP_LONG_RUNNING;
		w.submit(id, {s});
	}
	w.run(2000);
	w.submit(99, {CellWorld::task_step(1, 100)});
	for (int i = 0; i < 100; i++) {
		for (uint64_t id = 1; id <= 30; id++)
			w.end_all(id, RUN_STOPPED);
		w.run(20);
		if (w.runs(99))
			w.end_all(99, RUN_DONE);
	}
	EXPECT_EQ(w.state(99), (uint32_t)JOB_COMPLETED);
}

/* Takeovers, workers that fall silent and batches that are never stored, at
 * random, beside batches that hold a few records only. */
TEST_F(CellBatch, RunsNoTaskTwiceWhateverABatchHolds)
{
	size_t starts = 0;

	for (unsigned seed = 1; seed <= 60; seed++) {
		std::mt19937 rng(seed);
		LimitedWorld x;
		uint64_t epoch = 1, id = 0;

		x.limit(260 + rng() % 600, 260);
		x.opt.renew_after_ms = 2000;
		x.opt.lease_ms = 2000;
		x.opt.takeover_ms = 4500;
		x.begin({"w1", "w2", "w3", "w4", "w5"});
		for (int i = 0; i < 150; i++) {
			unsigned kind = rng() % 100;
			std::string name = "w" + std::to_string(1 + rng() % 5);

			if (kind < 30)
				x.submit(++id,
					 {CellWorld::task_step(1 + rng() % 4,
							       500)});
			else if (kind < 50 && id)
				x.end_all(1 + rng() % id, RUN_DONE);
			else if (kind < 55 && id)
				x.end_all(1 + rng() % id, RUN_STOPPED);
			else if (kind < 70)
				x.workers[name].reachable ^= true;
			else if (kind < 73)
				x.workers[name].refuses ^= true;
			else if (kind < 76)
				x.take_over_on_a_new_host(++epoch);
			else if (kind < 81)
				x.storing ^= true;
			x.run(50 + rng() % 200);
		}
		EXPECT_TRUE(x.duplicates.empty()) << "seed " << seed;
		EXPECT_LE(x.largest, x.append_max) << "seed " << seed;
		starts += x.starts.size();
		x.storing = true;
		for (auto &k : x.workers) {
			k.second.reachable = true;
			k.second.refuses = false;
		}
		x.run(6000);
		for (int i = 0; i < 20 && !x.all_completed(1, id); i++) {
			for (uint64_t k = 1; k <= id; k++)
				x.end_all(k, RUN_DONE);
			x.run(1000);
		}
		EXPECT_TRUE(x.all_completed(1, id)) << "seed " << seed;
	}
	EXPECT_GT(starts, 1000u);
}

} /* namespace */
