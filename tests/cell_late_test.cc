#include "tests/cell_world.h"

extern "C" {
#include "cell/cell_late.h"
}

namespace
{

void ignore_answer(void *, const worker_addr *, const task_ref *,
		   const order_reply *)
{
}

/* Ends the starts that are on their way without an answer, and returns them to
 * be carried out later. */
std::vector<Call> lose_starts(CellWorld *w)
{
	order_reply lost = {ORDER_UNKNOWN, 0};
	std::vector<Call> out, others;

	for (auto &call : w->calls)
		(call.kind == Call::START ? out : others).push_back(call);
	w->calls = others;
	for (auto &call : out) {
		call.done(call.ctx, &call.worker, &call.sent.ref, &lost);
		call.done = ignore_answer;
	}
	return out;
}

/* Advances the time until starts are sent, without an answer to them. */
std::vector<Call> lose_next_starts(CellWorld *w)
{
	for (int i = 0; i < 20; i++) {
		w->now += 5;
		cell_set_authority(w->c, w->now + 1000);
		w->tick();
		w->commit();
		auto out = lose_starts(w);
		if (!out.empty())
			return out;
		w->answer_all();
	}
	return {};
}

/* A worker with room for any number of small tasks. */
void add_large_worker(CellWorld *w, const std::string &id,
		      const std::string &zone)
{
	w->add_worker(id, UINT32_MAX, zone);
	w->entries[id].memory_mb = UINT32_MAX;
	w->announce(id);
}

} /* namespace */

/* Only the newest 256 starts without an answer were stopped at a new process:
 * it carried out an older one, whose task ran twice. */
TEST(CellLate, StopsEachOfManyLateStartsAtTheNewProcess)
{
	const uint32_t count = 300;

	for (bool raised : {false, true}) {
		CellWorld w;

		if (raised)
			w.raise_fences();
		w.take_over(1);
		add_large_worker(&w, "w1", "z1");
		w.run(100);
		w.submit(7, {CellWorld::task_step(count)});
		auto late = lose_next_starts(&w);
		ASSERT_EQ(late.size(), count);
		w.closed_zones.insert("z1");
		add_large_worker(&w, "w2", "z2");
		w.run(1000);
		ASSERT_EQ(w.workers["w2"].running.size(), count);
		w.replace_process("w1");
		w.announce("w1");
		w.run(50);
		for (auto &call : late)
			w.answer(call);
		EXPECT_TRUE(w.duplicates.empty());
		EXPECT_EQ(w.runs(7), count);
		EXPECT_EQ(w.counts().late_stops, raised ? 0u : count);
	}
}

/* A worker restarted while a start was on its way, and its new process had
 * confirmed a stop of it when the start timed out. The next process carried it
 * out while the task ran elsewhere. */
TEST(CellLate, StopsAStartThatOutlastsTwoProcesses)
{
	for (int i = 0; i < 4; i++) {
		bool times_out_first = i & 1;
		CellWorld w;

		if (i & 2)
			w.raise_fences();
		w.begin({"w1"}, 30);
		w.submit(7, {CellWorld::task_step(1)});
		w.now += 5;
		w.tick();
		w.commit();
		ASSERT_EQ(w.calls.back().kind, Call::START);
		Call start = w.take(w.calls.size() - 1);
		w.replace_process("w1");
		w.add_worker("w2", 16000, "z2");
		w.closed_zones.insert("z1");
		w.announce("w1");
		w.run(500);
		ASSERT_EQ(w.workers["w2"].running.size(), 1u);
		if (times_out_first)
			w.answer_as(start, ORDER_UNKNOWN);
		w.replace_process("w1");
		w.announce("w1");
		w.run(50);
		if (!times_out_first)
			w.answer_as(start, ORDER_UNKNOWN);
		start.done = ignore_answer;
		w.run(50);
		w.answer(start);
		EXPECT_TRUE(w.duplicates.empty());
		EXPECT_EQ(w.runs(7), 1u);
	}
}

/* Nothing says what becomes of a start beyond the limit: it must not be sent.
 */
TEST(CellLate, SendsNoMoreStartsThanItCanRemember)
{
	const uint32_t per_job = 1000, jobs = 30;
	size_t sent = 0;
	CellWorld w;

	static_assert(per_job * jobs > LATE_STARTS_MAX, "exceeds the limit");
	w.take_over(1);
	for (int i = 1; i <= 4; i++)
		add_large_worker(&w, "w" + std::to_string(i), "z1");
	w.run(100);
	for (uint32_t i = 0; i < jobs; i++)
		w.submit(7 + i, {CellWorld::task_step(per_job)});
	for (int64_t end = w.now + LATE_MAX_MS - 1000; w.now < end;) {
		sent += lose_next_starts(&w).size();
		EXPECT_LE(w.counts().late_starts, (uint64_t)LATE_STARTS_MAX);
	}
	EXPECT_EQ(sent, (size_t)LATE_STARTS_MAX);
	EXPECT_EQ(w.counts().late_starts, (uint64_t)LATE_STARTS_MAX);
	EXPECT_GT(w.counts().starts_held_back, 0u);
	w.run(2000);
	EXPECT_EQ(w.counts().late_starts, 0u);
	EXPECT_EQ(w.starts.size(), per_job * jobs);
	EXPECT_TRUE(w.duplicates.empty());
}

/* A worker that restarts and cannot be reached is known by its new entry. The
 * task waits 2 s for it, and the start is carried out there later. */
TEST(CellLate, WaitsForANewProcessThatMayCarryTheStartOutUnreached)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(1)});
	auto late = lose_next_starts(&w);
	ASSERT_EQ(late.size(), 1u);
	w.closed_zones.insert("z1");
	w.run(1000); /* the former process confirms a stop */
	w.replace_process("w1");
	w.workers["w1"].reachable = false;
	w.announce("w1");
	w.add_worker("w2", 16000, "z2");
	w.run(5000);
	w.workers["w1"].reachable = true;
	w.answer(late[0]);
	w.workers["w1"].reachable = false;
	w.run(500);
	EXPECT_TRUE(w.duplicates.empty());
	EXPECT_EQ(w.runs(7), 1u);
}

/* With 3,000 workers, the starts of 2 s without answers held back all further
 * ones for 10 s. */
TEST(CellLate, RemembersMoreStartsOfMoreWorkers)
{
	const size_t workers = 600, max = workers * LATE_STARTS_PER_WORKER;
	CellWorld w;

	w.take_over(1);
	w.add_worker("w0");
	EXPECT_TRUE(cell_late_has_room(w.c, LATE_STARTS_MAX));
	EXPECT_FALSE(cell_late_has_room(w.c, LATE_STARTS_MAX + 1));
	for (size_t i = 1; i < workers; i++)
		w.add_worker("w" + std::to_string(i));
	EXPECT_TRUE(cell_late_has_room(w.c, max));
	EXPECT_FALSE(cell_late_has_room(w.c, max + 1));
}

/* The limit was reached among the members of a gang: one was started, and
 * waited in vain for the others, which were taken back. */
TEST(CellLate, StartsNoGangThatItCannotRememberAsAWhole)
{
	const uint32_t before = LATE_STARTS_MAX - 1;
	job_step gang = CellWorld::task_step(3);
	CellWorld w;

	gang.flags = STEP_GANG;
	w.take_over(1);
	add_large_worker(&w, "w1", "z1");
	w.run(100);
	w.submit(7, {CellWorld::task_step(before)});
	ASSERT_EQ(lose_next_starts(&w).size(), before);
	w.cancel(7);
	w.run(100);
	for (int i = 2; i <= 4; i++)
		add_large_worker(&w, "w" + std::to_string(i), "z1");
	w.submit(8, {gang});
	w.run(1000);
	ASSERT_EQ(w.counts().late_starts, (uint64_t)before);
	EXPECT_EQ(w.runs(8), 0u);
	w.run(LATE_MAX_MS);
	EXPECT_EQ(w.runs(8), 3u);
}

/* What a start without an answer holds must not outlast the start. */
TEST(CellLate, ForgetsAStartThatCanNoLongerBeCarriedOut)
{
	CellWorld w;

	w.begin({"w1"}, 50);
	w.submit(7, {CellWorld::task_step(1)});
	ASSERT_EQ(lose_next_starts(&w).size(), 1u);
	w.closed_zones.insert("z1");
	w.run(1000);
	EXPECT_EQ(w.counts().late_starts, 1u);
	w.run(LATE_MAX_MS);
	EXPECT_EQ(w.counts().late_starts, 0u);
	w.replace_process("w1");
	w.announce("w1");
	w.run(500);
	EXPECT_EQ(w.counts().late_stops, 0u);
	w.closed_zones.clear();
	w.run(100);
	EXPECT_EQ(w.runs(7), 1u);
}
