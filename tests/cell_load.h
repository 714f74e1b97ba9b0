#ifndef TESTS_CELL_LOAD_H
#define TESTS_CELL_LOAD_H

#include <queue>
#include <random>

#include "cell_world.h"

/**
 * struct LoadShape - jobs of one kind that arrive at random
 * @per_s: mean arrivals per second
 * @run_ms: mean run time of a task; 0 for one that runs until it is cancelled
 * @uses: share of its declared processors that a best-effort task uses
 */
struct LoadShape {
	double per_s;
	uint32_t steps;
	uint32_t tasks;
	uint32_t cpu;
	uint32_t memory_mb;
	double run_ms;
	uint32_t flags;
	uint32_t objective_ms;
	uint32_t stretch_milli;
	uint32_t images;
	uint32_t priority;
};

/* Thousandths of a core of each worker of a large site. */
static const uint32_t SITE_WORKER_CPU = 75000;

/* Shares of a large site's processors that its short and its best-effort tasks
 * declare. The latency-critical tasks declare the rest of what is in use. */
static const double SITE_SHORT_SHARE = 0.1;
static const double SITE_BEST_EFFORT_SHARE = 0.1;

/* Latency-critical jobs that arrive within @ms, so that @percent of the
 * processors of the site are in use beside site_arrivals(). */
static inline std::vector<LoadShape> site_serving(size_t workers,
						  int64_t percent, int64_t ms)
{
	double share = (double)percent / 100 - SITE_SHORT_SHARE -
		       SITE_BEST_EFFORT_SHARE;
	double jobs = share * (double)workers * SITE_WORKER_CPU / (6 * 13000);

	return {{jobs * 1000 / (double)ms, 1, 6, 13000, 8000, 0,
		 STEP_LONG_RUNNING, 2500, 2200, 16, 0}};
}

/* Jobs of 1.6 steps of 9 to 10 short tasks, and jobs of two steps of 20
 * best-effort tasks. */
static inline std::vector<LoadShape> site_arrivals(size_t workers)
{
	double cpu_ms = (double)workers * SITE_WORKER_CPU * 1000;
	double short_s = SITE_SHORT_SHARE * cpu_ms /
			 ((0.4 * 9 + 0.6 * 2 * 10) * 5000 * 640);
	double best_effort_s =
		SITE_BEST_EFFORT_SHARE * cpu_ms / (2 * 20 * 7000 * 1700.0);

	return {{0.4 * short_s, 1, 9, 5000, 8000, 640, 0, 250, 1500, 1, 0},
		{0.6 * short_s, 2, 10, 5000, 8000, 640, 0, 250, 1500, 1, 0},
		{best_effort_s, 2, 20, 7000, 8000, 1700,
		 STEP_BEST_EFFORT | STEP_CHECKPOINTS, 1000, 2000, 30, 2}};
}

/*
 * Plays arrivals on many workers whose tasks end by themselves. All times are
 * virtual and drawn from a seed.
 */
class CellLoad : public CellWorld
{
      public:
	CellLoad(size_t count, uint32_t cpu, unsigned seed)
	    : CellLoad(count, std::vector<uint32_t>{cpu}, seed)
	{
	}

	/* Workers of the sizes @cpus in turn. */
	CellLoad(size_t count, const std::vector<uint32_t> &cpus, unsigned seed)
	    : rng(seed)
	{
		long_polls = true;
		take_over(1);
		for (size_t i = 0; i < count; i++) {
			std::string id = "w" + std::to_string(i);
			std::string rack = "r" + std::to_string(i / 20);
			add_worker(id, cpus[i % cpus.size()],
				   "z" + std::to_string(i % 5));
			name_set(entries[id].labels[1], rack.c_str());
			entries[id].memory_mb = 256000;
			announce(id);
		}
		run(2000);
	}

	/* Plays arrivals of @shapes for @ms. */
	void play(const std::vector<LoadShape> &shapes, int64_t ms)
	{
		for (int64_t end = now + ms; now < end;) {
			for (auto &s : shapes)
				arrive(s, 5);
			run(5);
			end_due();
		}
	}

	/* Jobs that completed, and of these the ones in time. */
	size_t completed = 0;
	size_t in_time = 0;
	size_t submitted = 0;

	/* Counts the jobs of a priority that arrived from @from_ms to @to_ms
	 * and were completed within their objective. */
	double share_in_time(uint32_t priority, int64_t from_ms, int64_t to_ms)
	{
		size_t all = 0, good = 0;

		for (auto &j : jobs) {
			const job_entry *e = job_view_get(&view, j.id);

			if (j.priority != priority || j.at_ms < from_ms ||
			    j.at_ms >= to_ms)
				continue;
			all++;
			good += e->state == JOB_COMPLETED &&
				e->terminal_ms <= j.deadline_ms;
		}
		return all ? (double)good / (double)all : 1;
	}

      protected:
	/* How long a task of a step with this declared run time runs. */
	virtual double run_time(const order &sent, double mean_ms)
	{
		(void)sent;
		return mean_ms *
		       std::uniform_real_distribution<>(0.6, 1.4)(rng);
	}

	/* Called for each job that has arrived. */
	virtual void on_submitted(uint64_t id, int64_t deadline_ms)
	{
		(void)id;
		(void)deadline_ms;
	}

	void on_start(const std::string &worker, const order &sent) override
	{
		const job_entry *e = job_view_get(&view, sent.ref.job);
		const job_step *s = job_spec_step(e->spec, sent.ref.step);

		for (auto &r : workers[worker].running)
			if (r.ref.job == sent.ref.job &&
			    r.ref.step == sent.ref.step &&
			    r.ref.index == sent.ref.index)
				r.measure = s->target_ms ? s->target_ms / 3
							 : s->cpu * 3 / 4;
		if (s->flags & STEP_LONG_RUNNING) {
			for (auto &r : workers[worker].running)
				if (r.ref.job == sent.ref.job)
					r.percent = 100;
			return;
		}
		ends.push({now + (int64_t)run_time(sent, s->estimate_ms),
			   worker, sent.ref});
	}

	void arrive(const LoadShape &s, int64_t ms)
	{
		int n = std::poisson_distribution<>(s.per_s * (double)ms /
						    1000)(rng);

		while (n-- > 0)
			submit_one(s);
	}

	void end_due()
	{
		while (!ends.empty() && ends.top().at <= now) {
			DueEnd e = ends.top();
			FakeWorker &w = workers[e.worker];

			ends.pop();
			for (size_t i = 0; i < w.running.size(); i++)
				if (w.running[i].ref.job == e.ref.job &&
				    w.running[i].ref.step == e.ref.step &&
				    w.running[i].ref.index == e.ref.index &&
				    w.running[i].ref.run == e.ref.run) {
					end_at(w, i, RUN_DONE);
					break;
				}
		}
	}

      private:
	struct DueEnd {
		int64_t at;
		std::string worker;
		task_ref ref;
		bool operator<(const DueEnd &o) const
		{
			return at > o.at;
		}
	};

	struct Arrived {
		uint64_t id;
		uint32_t priority;
		int64_t at_ms;
		int64_t deadline_ms;
	};

	/* Jobs of one kind differ in what they demand. */
	uint32_t vary(uint32_t mean)
	{
		return (uint32_t)(mean *
				  std::uniform_real_distribution<>(0.7,
								   1.3)(rng));
	}

	void submit_one(const LoadShape &s)
	{
		std::vector<job_step> steps;
		uint64_t id = ++last_id;
		std::string image =
			(s.flags & STEP_LONG_RUNNING ? "serve" : "image") +
			std::to_string(rng() % (s.images ? s.images : 1));

		for (uint32_t i = 0; i < s.steps; i++) {
			job_step st = task_step(s.tasks, vary(s.cpu));
			st.memory_mb = vary(s.memory_mb);
			st.flags = s.flags;
			st.after = i ? 1u << (i - 1) : 0;
			st.estimate_ms = (uint32_t)s.run_ms;
			name_set(st.image, image.c_str());
			if (s.flags & STEP_LONG_RUNNING)
				st.target_ms = 50;
			steps.push_back(st);
		}
		submit(id, steps, 4, s.priority, s.objective_ms,
		       s.stretch_milli);
		submitted++;
		jobs.push_back({id, s.priority, now,
				now + s.objective_ms +
					(int64_t)(s.run_ms * s.steps *
						  s.stretch_milli / 1000)});
		on_submitted(id, jobs.back().deadline_ms);
	}

	std::mt19937 rng;
	std::priority_queue<DueEnd> ends;
	std::vector<Arrived> jobs;
	uint64_t last_id = 1000;
};

#endif
