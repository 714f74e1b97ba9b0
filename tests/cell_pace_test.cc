#include "tests/cell_world.h"

/* One latency-critical task beside one best-effort task on a worker that
 * reports as the platform's workers do: a figure for the last half second, once
 * each half second, in whole milliseconds and with an error of 2.5 percent. */
class Neighbours : public CellWorld
{
      public:
	/* Headroom that the latency-critical task has by itself, and what the
	 * best-effort task takes of it at full speed. */
	double base = 3;
	double effect = 0.05;
	/* Length of the present and of the longest span in which the
	 * latency-critical task is over its target beside work. */
	int64_t over_ms = 0;
	int64_t longest_ms = 0;
	int64_t worked_ms = 0;

	Neighbours()
	{
		job_step serving = serving_step(1, 8000);

		long_polls = true;
		serving.target_ms = TARGET_MS;
		begin({"w1"});
		submit(SERVING, {serving});
		run(500);
		submit(BEST_EFFORT, {best_effort_step(1, 4000)}, 3, 2);
		run(500);
	}

	uint8_t pace()
	{
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
		over_ms = pace() && headroom() < 1 ? over_ms + 5 : 0;
		if (over_ms > longest_ms)
			longest_ms = over_ms;
		worked_ms += 5 * pace() / 100;
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

      private:
	int64_t sampled_at = 0;
};

/*
 * A latency-critical task with little headroom of its own stayed over its
 * target beside a best-effort task that takes a few percent of it. Its
 * measurements alternated around the target, so that the time over the target
 * began anew with each that was under it, and the task beside it worked on.
 */
TEST(CellPace, PausesBesideATaskThatIsOverItsTargetInEverySecondMeasurement)
{
	Neighbours w;

	w.run(20000);
	ASSERT_EQ(w.pace(), 100);
	while (w.base > 1.035) {
		w.base -= 0.02;
		w.run(100);
	}
	w.base = 1.035;
	w.longest_ms = 0;
	w.run(20000);
	EXPECT_LT(w.longest_ms, 4000);
}
