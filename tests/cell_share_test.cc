#include <algorithm>

#include "cell_load.h"

namespace
{

const size_t WORKERS = 20;
const uint32_t WORKER_CPU = 16000;
const size_t ACCOUNTS = 10;
const int64_t HOT_FROM_MS = 5000;
const int64_t HOT_MS = 8000;

/* Short tasks that need @percent of the processors of all workers. */
LoadShape short_tasks(double percent)
{
	double cpu_ms = (double)WORKERS * WORKER_CPU * 1000;

	return {percent / 100 * cpu_ms / (8.0 * 2600 * 640),
		1,
		8,
		2600,
		3000,
		640,
		0,
		250,
		1500,
		1,
		0};
}

/* Jobs of ten accounts of equal weight that use a part of the workers; one
 * account sends many times its usual for some seconds. */
class HotAccount : public CellLoad
{
      public:
	HotAccount(unsigned seed, bool named)
	    : CellLoad(WORKERS, WORKER_CPU, seed)
	{
		std::vector<Limit> all;

		for (size_t i = 0; i < ACCOUNTS; i++) {
			Limit l;

			l.name = "t" + std::to_string(i);
			all.push_back(l);
		}
		set_accounts(all);
		has_accounts = named;
	}

	/* Plays jobs of all accounts, @times as many of the first. */
	void play_accounts(double times, int64_t ms)
	{
		const double percent = 70.0 / ACCOUNTS;

		for (int64_t end = now + ms; now < end;) {
			for (size_t i = 0; i < ACCOUNTS; i++) {
				double x = i ? 1 : times;

				account_name = has_accounts
						       ? "t" + std::to_string(i)
						       : "";
				submitter = i;
				arrive(short_tasks(percent * x), 5);
			}
			run(5);
			end_due();
		}
	}

	void on_submitted(uint64_t id, int64_t deadline_ms) override
	{
		sent.push_back({id, submitter, now, deadline_ms});
	}

	/* Share of the jobs of an account that completed in time, of those that
	 * arrived while the first one sent more. */
	double in_time_of(size_t account, int64_t from_ms, int64_t to_ms)
	{
		size_t all = 0, good = 0;

		for (auto &j : sent) {
			const job_entry *e = job_view_get(&view, j.id);

			if (j.account != account || j.at_ms < from_ms ||
			    j.at_ms >= to_ms)
				continue;
			all++;
			good += e->state == JOB_COMPLETED &&
				e->terminal_ms <= j.deadline_ms;
		}
		return all ? (double)good / (double)all : 1;
	}

	bool has_accounts = true;

      private:
	struct Sent {
		uint64_t id;
		size_t account;
		int64_t at_ms;
		int64_t deadline_ms;
	};

	size_t submitter = 0;
	std::vector<Sent> sent;
};

/* Mean share of the jobs in time of the accounts that send their usual, while
 * the first one sends eight times its own. */
double in_time_of_the_others(unsigned seed, bool has_accounts)
{
	HotAccount l(seed, has_accounts);
	double sum = 0;
	int64_t from;

	l.play_accounts(1, HOT_FROM_MS);
	from = l.now;
	l.play_accounts(8, HOT_MS);
	l.play_accounts(1, 4000);
	for (size_t i = 1; i < ACCOUNTS; i++)
		sum += l.in_time_of(i, from, from + HOT_MS);
	EXPECT_TRUE(l.duplicates.empty());
	return sum / (ACCOUNTS - 1);
}

} /* namespace */

/*
 * One account that sends eight times its usual made the jobs of all accounts
 * late: steps were placed by deadline alone, whoever had sent them.
 */
TEST(CellShare, AnAccountThatSendsManyTimesItsUsualMakesItsOwnJobsLate)
{
	double with = 0, without = 0;

	for (unsigned seed = 1; seed <= 3; seed++) {
		with += in_time_of_the_others(seed, true) / 3;
		without += in_time_of_the_others(seed, false) / 3;
	}
	printf("in time: %.3f with accounts, %.3f without\n", with, without);
	EXPECT_GT(with, 0.8);
	EXPECT_GT(with - without, 0.4);
}

/*
 * Bound: an account that holds less than its share gets what other accounts
 * above theirs release, whatever their deadlines, until it has its share.
 */
TEST(CellShare, WhatIsReleasedGoesToTheAccountBelowItsShare)
{
	CellWorld w;
	CellWorld::Limit a, b;

	a.name = "a";
	b.name = "b";
	b.weight = 3;
	w.set_accounts({a, b});
	w.begin({"w1"});
	w.account_name = "a";
	w.submit(1, {CellWorld::task_step(200)}, 3, 0, 50000);
	w.run(100);
	ASSERT_EQ(w.runs(1), 16u);
	w.account_name = "b";
	w.submit(2, {CellWorld::task_step(200)}, 3, 0, 100000);
	for (size_t n = 1; n <= 12; n++) {
		w.end_at(w.workers["w1"], 0, RUN_DONE);
		w.run(100);
		ASSERT_EQ(w.runs(2), n);
		ASSERT_EQ(w.runs(1), 16 - n);
	}
	/* Both have their shares: what a run releases goes to its account. */
	for (int n = 0; n < 40; n++) {
		w.end_at(w.workers["w1"], (size_t)n * 7 % 16, RUN_DONE);
		w.run(100);
		ASSERT_EQ(w.runs(2), 12u);
		ASSERT_EQ(w.runs(1), 4u);
	}
}

/* Free processors that no waiting task can use made the shares so large that no
 * account was above its own. */
TEST(CellShare, CapacityThatNoTaskCanUseIsNotDivided)
{
	job_step step = CellWorld::task_step(200);
	CellWorld::Limit a, b;
	CellWorld w;

	a.name = "a";
	b.name = "b";
	w.set_accounts({a, b});
	w.begin({"w1", "w2"});
	name_set(step.worker_label, "a");
	name_set(w.entries["w2"].labels[0], "b");
	w.announce("w2");
	w.account_name = "a";
	w.submit(1, {step}, 3, 0, 50000);
	w.run(100);
	w.account_name = "b";
	w.submit(2, {step}, 3, 0, 100000);
	for (int n = 0; n < 8; n++) {
		w.end_at(w.workers["w1"], 0, RUN_DONE);
		w.run(100);
	}
	EXPECT_EQ(w.runs(1), 8u);
	EXPECT_EQ(w.runs(2), 8u);
}

/* What the others do not ask for is not left free. */
TEST(CellShare, AnAccountTakesWhatTheOthersLeave)
{
	CellWorld w;
	CellWorld::Limit a, b;

	a.name = "a";
	b.name = "b";
	b.weight = 15;
	w.set_accounts({a, b});
	w.begin({"w1"});
	w.account_name = "b";
	w.submit(1, {CellWorld::task_step(2)});
	w.account_name = "a";
	w.submit(2, {CellWorld::task_step(200)});
	w.run(200);
	EXPECT_EQ(w.runs(1), 2u);
	EXPECT_EQ(w.runs(2), 14u);
}

/* A more urgent queue goes before the shares of the accounts. */
TEST(CellShare, SharesHoldWithinAPriority)
{
	CellWorld w;
	CellWorld::Limit a, b;

	a.name = "a";
	b.name = "b";
	w.set_accounts({a, b});
	w.begin({"w1"});
	w.account_name = "a";
	w.submit(1, {CellWorld::task_step(100)}, 3, 0, 100000);
	w.run(100);
	w.account_name = "b";
	w.submit(2, {CellWorld::task_step(100)}, 3, 2, 100000);
	for (int n = 0; n < 10; n++) {
		w.end_at(w.workers["w1"], 0, RUN_DONE);
		w.run(100);
	}
	EXPECT_EQ(w.runs(1), 16u);
}
