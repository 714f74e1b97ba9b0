#include "tests/cell_world.h"

/* What becomes of the first throttle order. */
enum class FirstOrder {
	ARRIVES,
	IS_SLOW,
	IS_LATE_AND_UNANSWERED,
	IS_CARRIED_OUT_AND_UNANSWERED,
};

/* One latency-critical task beside one best-effort task on a worker that
 * reports as the platform's workers do: a figure for the last half second, once
 * each half second, in whole milliseconds and with an error of 2.5 percent. */
class Neighbours : public CellWorld
{
      public:
	/* Headroom that the latency-critical task has by itself, and what the
	 * best-effort task takes of it at full speed. */
	double base = 3;
	const double effect;
	/* Length of the present and of the longest span in which the
	 * latency-critical task is over its target beside work. */
	int64_t over_ms = 0;
	int64_t longest_ms = 0;
	FirstOrder first_order = FirstOrder::ARRIVES;
	/* Greatest number of throttle orders in flight at a time. */
	size_t orders_in_flight = 0;

	explicit Neighbours(double taken, int64_t violation_ms = 4000)
	    : effect(taken)
	{
		job_step serving = serving_step(1, 8000);
		job_step best_effort = best_effort_step(1, 4000);

		opt.violation_ms = violation_ms;
		long_polls = true;
		serving.target_ms = TARGET_MS;
		best_effort.flags = STEP_BEST_EFFORT;
		begin({"w1"});
		submit(SERVING, {serving});
		run(10000);
		submit(BEST_EFFORT, {best_effort}, 3, 2);
		run(500);
	}

	/* Pace at which the best-effort task works; 0 before it runs. */
	uint8_t pace()
	{
		if (!find(BEST_EFFORT))
			return 0;
		return paces.count("w1") ? paces["w1"] : 100;
	}

	double headroom()
	{
		return base - effect * pace() / 100;
	}

	void tick() override
	{
		int64_t at = now / SAMPLE_MS;

		CellWorld::tick();
		deliver_orders();
		over_ms = pace() && headroom() < 1 ? over_ms + 5 : 0;
		if (over_ms > longest_ms)
			longest_ms = over_ms;
		if (at == sampled_at)
			return;
		sampled_at = at;
		for (auto &r : workers["w1"].running) {
			double error = at % 2 ? 1.025 : 0.975;

			r.percent = 100;
			r.measure = r.ref.job == BEST_EFFORT
					    ? 30u * pace()
					    : (uint32_t)(TARGET_MS /
							 headroom() * error);
		}
	}

	static const uint64_t SERVING = 7;
	static const uint64_t BEST_EFFORT = 8;
	static const uint32_t TARGET_MS = 150;
	static const int64_t SAMPLE_MS = 500;
	/* Longer than it takes to decide that a task may work at full pace. */
	static const int64_t UNANSWERED_MS = 60000;

      private:
	/* Takes the first throttle order out of the calls that are answered at
	 * once, and carries it out later. */
	void deliver_orders()
	{
		size_t n = held.size();

		for (size_t i = 0; i < calls.size(); i++) {
			if (calls[i].kind != Call::THROTTLE)
				continue;
			n++;
			if (first_order == FirstOrder::ARRIVES)
				continue;
			held.push_back(calls[i]);
			calls.erase(calls.begin() + (long)i--);
			late = first_order ==
			       FirstOrder::IS_LATE_AND_UNANSWERED;
			unanswered = first_order ==
				     FirstOrder::IS_CARRIED_OUT_AND_UNANSWERED;
			first_order = FirstOrder::ARRIVES;
			held_until = now + (late ? 1500 : 700);
			if (late)
				drop_call(held[0]);
			if (!unanswered)
				continue;
			paces["w1"] = (uint8_t)held[0].sent.speed_percent;
			held_until = now + UNANSWERED_MS;
		}
		if (!late && n > orders_in_flight)
			orders_in_flight = n;
		if (held.empty() || now < held_until)
			return;
		if (late)
			paces["w1"] = (uint8_t)held[0].sent.speed_percent;
		else if (unanswered)
			drop_call(held[0]);
		else
			execute(workers["w1"], held[0]);
		held.clear();
	}

	int64_t sampled_at = 0;
	std::vector<Call> held;
	int64_t held_until = 0;
	bool late = false;
	bool unanswered = false;
};

/* The task's own load rises until it has 3.5 percent of headroom, less than the
 * task beside it takes. */
static void raise_own_load(Neighbours *w)
{
	w->run(20000);
	ASSERT_EQ(w->pace(), 100);
	while (w->base > 1.035) {
		w->base -= 0.02;
		w->run(100);
	}
	w->base = 1.035;
	w->longest_ms = 0;
	w->run(20000);
}

/*
 * A latency-critical task with little headroom of its own stayed over its
 * target beside a best-effort task that takes a few percent of it. Its
 * measurements alternated around the target, so that the time over the target
 * began anew with each that was under it, and the task beside it worked on.
 */
TEST(CellPace, PausesBesideATaskThatIsOverItsTargetInEverySecondMeasurement)
{
	Neighbours w(0.05);

	raise_own_load(&w);
	EXPECT_LT(w.longest_ms, 4000);
}

/* The time to the pause was a constant that a deployment's bound may undercut.
 */
TEST(CellPace, PausesWithinTheBoundOfTheDeployment)
{
	Neighbours w(0.05, 2500);

	raise_own_load(&w);
	EXPECT_LT(w.longest_ms, 2500);
}

/* The load of the latency-critical task rises until it has next
 * to no headroom to spare: a first order throttles the task beside it, later
 * ones pause it. */
static void raise_load(Neighbours *w)
{
	w->run(20000);
	ASSERT_EQ(w->pace(), 100);
	w->longest_ms = 0;
	while (w->base > 1.02) {
		w->base -= 0.04;
		w->run(150);
	}
	w->base = 1.02;
	w->run(20000);
}

/* Orders on different connections may overtake each other: a worker that got a
 * pause before the order to throttle that was sent earlier worked on at the
 * earlier pace, and the owner counted on the later one. */
TEST(CellPace, SendsOneThrottleOrderOfATaskAtATime)
{
	Neighbours w(0.8);

	w.first_order = FirstOrder::IS_SLOW;
	raise_load(&w);
	EXPECT_EQ(w.first_order, FirstOrder::ARRIVES);
	EXPECT_EQ(w.orders_in_flight, 1u);
	EXPECT_LT(w.longest_ms, 4000);
}

/* An order without a reply may be carried out seconds later, after newer ones:
 * a paused task worked on at the pace of the late order, and as the pause had
 * been acknowledged it was not sent again. */
TEST(CellPace, PausesAgainATaskThatWorksThoughItIsPaused)
{
	Neighbours w(0.8);

	w.first_order = FirstOrder::IS_LATE_AND_UNANSWERED;
	raise_load(&w);
	EXPECT_EQ(w.first_order, FirstOrder::ARRIVES);
	EXPECT_LT(w.longest_ms, 4000);
}

/* A task that an order without an answer may have slowed stays slow if the
 * order counts as not carried out, and the pace from before it is wanted again.
 */
TEST(CellPace, SpeedsUpATaskThatAnUnansweredOrderMayHaveSlowed)
{
	Neighbours w(0.8);

	w.first_order = FirstOrder::IS_CARRIED_OUT_AND_UNANSWERED;
	raise_load(&w);
	ASSERT_LT(w.pace(), 100);
	w.base = 3;
	w.run(Neighbours::UNANSWERED_MS + 20000);
	EXPECT_EQ(w.pace(), 100);
}

/* A new owner does not know since when a task has been over its target: it
 * allowed the tasks beside it the whole time anew. */
TEST(CellPace, PausesWithinTheBoundAcrossAChangeOfTheOwner)
{
	const int64_t gap_ms = 700;
	Neighbours w(0.05);

	w.run(20000);
	ASSERT_EQ(w.pace(), 100);
	while (w.base > 1.035) {
		w.base -= 0.02;
		w.run(100);
	}
	w.base = 1.035;
	w.longest_ms = 0;
	while (w.over_ms < 1500)
		w.run(5);
	ASSERT_EQ(w.pace(), 100);
	w.stop();
	w.now += gap_ms;
	w.over_ms += gap_ms;
	w.take_over_on_a_new_host(2);
	w.run(10000);
	EXPECT_LT(w.longest_ms, 4000);
}
