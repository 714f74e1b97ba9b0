#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>

#include "tests/cell_load.h"

/*
 * Cost of placement and of a takeover in the cell. The workers are fake, and
 * what they do is not timed.
 */

namespace
{

const uint32_t TAKEOVER_CPU = 5000; /* thousandths of a core */
const double TAKEOVER_RUN_MS = 1e6;
const int64_t FILL_MS = 1000;
const int64_t WARM_UP_MS = 2500;
const int64_t SEGMENT_MS = 500;
const int SEGMENTS = 6;
const int64_t TAKEOVER_MAX_MS = 2000;
/* Adopted tasks and resolved workers are stored in this time. */
const int64_t TAKEOVER_SETTLE_MS = 100;
const double US_PER_S = 1e6;
const double NS_PER_S = 1e9;

typedef std::chrono::steady_clock Clock;

double seconds_since(Clock::time_point from)
{
	return std::chrono::duration<double>(Clock::now() - from).count();
}

/* Times the calls into the cell. */
class TimedLoad : public CellLoad
{
      public:
	explicit TimedLoad(size_t count) : CellLoad(count, SITE_WORKER_CPU, 1)
	{
	}

	/* Spreads the jobs over @count client accounts without limits. */
	void use_accounts(size_t count)
	{
		std::vector<Limit> all(count);

		for (size_t i = 0; i < count; i++)
			all[i].name = "account" + std::to_string(i);
		set_accounts(all);
		account_count = count;
	}

	void on_submitted(uint64_t id, int64_t) override
	{
		if (account_count)
			account_name =
				"account" + std::to_string(id % account_count);
	}

	void tick() override
	{
		struct cell_counts before = counts(), after;
		Clock::time_point from = Clock::now();
		double s;

		CellLoad::tick();
		s = seconds_since(from);
		after = counts();
		tick_s += s;
		longest_s = std::max(longest_s, s);
		if (after.placed > before.placed) {
			placed += after.placed - before.placed;
			place_s += s;
			examined += after.examined - before.examined;
			passes++;
		} else {
			idle_s += s;
			idle++;
		}
	}

	void reply_to_poll(Call &call, const poll_reply &h) override
	{
		Clock::time_point from = Clock::now();

		CellLoad::reply_to_poll(call, h);
		reply_s += seconds_since(from);
	}

	void commit() override
	{
		Clock::time_point from = Clock::now();
		bool taken;
		buf b;

		buf_init(&b);
		taken = cell_take_batch(c, &b);
		store_s += seconds_since(from);
		if (taken) {
			apply(b);
			from = Clock::now();
			cell_batch_stored(c);
			store_s += seconds_since(from);
		}
		buf_finish(&b);
	}

	void clear()
	{
		placed = examined = passes = idle = 0;
		place_s = idle_s = tick_s = longest_s = reply_s = store_s = 0;
	}

	/* Declared processors of all active runs, percent of the workers'. */
	double percent_in_use()
	{
		double used = 0;

		for (auto &w : workers)
			for (auto &r : w.second.running) {
				const job_entry *e =
					job_view_get(&view, r.ref.job);
				arena a;

				arena_init(&a);
				used += job_spec_step(job_entry_spec(e, &a),
						      r.ref.step)
						->cpu;
				arena_finish(&a);
			}
		return used * 100 / ((double)workers.size() * SITE_WORKER_CPU);
	}

	size_t account_count = 0;
	uint64_t placed = 0;
	uint64_t examined = 0;
	uint64_t passes = 0;
	uint64_t idle = 0;
	double place_s = 0;
	double idle_s = 0;
	double tick_s = 0;
	double longest_s = 0;
	double reply_s = 0;
	double store_s = 0;
};

/* One iteration plays SEGMENT_MS; its time is that of one task placed. Above
 * 100 percent, tasks wait for workers. */
void place(benchmark::State &state)
{
	size_t workers = (size_t)state.range(0);
	TimedLoad l(workers);
	double least = 0, examined_least = 0, s = 0, idle_s = 0, in_use = 0;
	double placed = 0, examined = 0, passes = 0, idle = 0;

	l.play(site_serving(workers, state.range(1), FILL_MS), FILL_MS);
	if (state.range(2))
		l.use_accounts((size_t)state.range(2));
	l.play(site_arrivals(workers), WARM_UP_MS);
	for (auto _ : state) {
		double per_task, per_worker;

		l.clear();
		l.play(site_arrivals(workers), SEGMENT_MS);
		per_task = l.place_s / (double)std::max<uint64_t>(l.placed, 1);
		state.SetIterationTime(per_task);
		per_worker =
			l.place_s / (double)std::max<uint64_t>(l.examined, 1);
		least = least ? std::min(least, per_task) : per_task;
		examined_least = examined_least
					 ? std::min(examined_least, per_worker)
					 : per_worker;
		s += l.place_s;
		idle_s += l.idle_s;
		placed += (double)l.placed;
		examined += (double)l.examined;
		passes += (double)l.passes;
		idle += (double)l.idle;
		in_use += l.percent_in_use();
	}
	state.counters["us_task_least"] = least * US_PER_S;
	state.counters["us_task"] = s * US_PER_S / placed;
	state.counters["examined_task"] = examined / placed;
	state.counters["ns_examined_least"] = examined_least * NS_PER_S;
	state.counters["ns_examined"] = s * NS_PER_S / examined;
	state.counters["tasks_pass"] = placed / passes;
	state.counters["us_idle_tick"] = idle ? idle_s * US_PER_S / idle : 0;
	state.counters["in_use_percent"] = in_use / (double)state.iterations();
}
BENCHMARK(place)
	->ArgNames({"workers", "percent", "accounts"})
	->ArgsProduct({{65, 890, 6500}, {60, 95, 110}, {0, 20, 1000}})
	->Iterations(SEGMENTS)
	->UseManualTime()
	->Unit(benchmark::kMicrosecond);

/* Long-running tasks, @count of them on average. */
std::vector<LoadShape> takeover_load(double count)
{
	double jobs = count / 20;

	return {{0.6 * jobs * 1000 / FILL_MS, 1, 20, TAKEOVER_CPU, 8000, 0,
		 STEP_LONG_RUNNING, 2500, 2200, 16, 0},
		{0.4 * jobs * 1000 / FILL_MS, 1, 20, TAKEOVER_CPU, 8000,
		 TAKEOVER_RUN_MS, STEP_BEST_EFFORT | STEP_CHECKPOINTS, 1000,
		 2000, 30, 2}};
}

/* A new owner on a new host, until it has heard all workers and stored what
 * they report. */
void takeover(benchmark::State &state)
{
	TimedLoad l((size_t)state.range(0));
	uint64_t epoch = 1;

	l.play(takeover_load((double)state.range(1)), FILL_MS);
	l.run(WARM_UP_MS);
	for (auto _ : state) {
		uint32_t tasks = l.counts().placed;
		Clock::time_point from;
		double view_s, new_s;
		int64_t at;

		l.stop();
		from = Clock::now();
		l.rebuild_view();
		view_s = seconds_since(from);
		from = Clock::now();
		l.take_over(++epoch);
		new_s = seconds_since(from);
		l.clear();
		at = l.now;
		while (l.counts().unheard && l.now - at < TAKEOVER_MAX_MS)
			l.run(5);
		state.counters["heard_after_ms"] = (double)(l.now - at);
		l.run(TAKEOVER_SETTLE_MS);
		state.SetIterationTime(new_s + l.tick_s + l.reply_s +
				       l.store_s);
		state.counters["tasks"] = tasks;
		state.counters["adopted"] = l.counts().placed;
		state.counters["unheard"] = l.counts().unheard;
		state.counters["ms_view"] = view_s * 1000;
		state.counters["ms_new"] = new_s * 1000;
		state.counters["ms_ticks"] = l.tick_s * 1000;
		state.counters["ms_longest_tick"] = l.longest_s * 1000;
		state.counters["ms_replies"] = l.reply_s * 1000;
		state.counters["ms_store"] = l.store_s * 1000;
	}
}
BENCHMARK(takeover)
	->ArgNames({"workers", "tasks"})
	->Args({890, 10000})
	->Iterations(1)
	->Repetitions(5)
	->UseManualTime()
	->Unit(benchmark::kMillisecond);

} /* namespace */

BENCHMARK_MAIN();
