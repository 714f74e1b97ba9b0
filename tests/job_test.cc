#include <gtest/gtest.h>

#include "core/claim.h"
#include "core/job.h"

static struct record rec(uint32_t kind, uint64_t job, uint32_t attempt)
{
	struct record r = {};

	r.kind = kind;
	r.job = job;
	r.attempt = attempt;
	name_set(r.service, "s");
	name_set(r.key, "k");
	return r;
}

class JobTable : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		job_table_init(&t);
	}
	void TearDown() override
	{
		job_table_finish(&t);
	}

	struct job *apply(const struct record &r)
	{
		return job_table_apply(&t, &r);
	}

	struct job_table t;
};

TEST_F(JobTable, AttemptsFollowEachOther)
{
	struct record over = rec(RECORD_OVER, 1, 1);

	ASSERT_NE(apply(rec(RECORD_ACCEPT, 1, 0)), nullptr);
	EXPECT_EQ(apply(rec(RECORD_ACCEPT, 1, 0)), nullptr) << "a duplicate";
	EXPECT_EQ(apply(rec(RECORD_START, 1, 2)), nullptr) << "a gap";
	ASSERT_NE(apply(rec(RECORD_START, 1, 1)), nullptr);
	EXPECT_EQ(apply(rec(RECORD_START, 1, 2)), nullptr) << "1 is open";
	over.state = TASK_STOPPED;
	over.progress = 40;
	ASSERT_NE(apply(over), nullptr);
	EXPECT_EQ(apply(over), nullptr) << "a duplicate";
	EXPECT_EQ(job_table_get(&t, 1)->progress, 40u);
	ASSERT_NE(apply(rec(RECORD_START, 1, 2)), nullptr);
}

TEST_F(JobTable, CountsUsageOnce)
{
	struct record over = rec(RECORD_OVER, 1, 1);
	struct record finish = rec(RECORD_FINISH, 1, 2);

	over.cpu_ms = 30;
	over.state = TASK_STOPPED;
	finish.cpu_ms = 12;
	apply(rec(RECORD_ACCEPT, 1, 0));
	apply(rec(RECORD_START, 1, 1));
	apply(over);
	apply(over);
	apply(rec(RECORD_START, 1, 2));
	apply(finish);
	apply(finish);
	EXPECT_EQ(job_table_get(&t, 1)->cpu_ms, 42u);
	EXPECT_TRUE(job_table_get(&t, 1)->done);
}

TEST_F(JobTable, SnapshotRestoresAJobWhoseRecordsAreGone)
{
	struct job_table late;
	struct record snapshot, start = rec(RECORD_START, 1, 1);
	struct job *j;

	start.worker = 5;
	start.boot = 6;
	apply(rec(RECORD_ACCEPT, 1, 0));
	apply(start);
	job_to_record(job_table_get(&t, 1), &snapshot);
	job_table_init(&late);
	EXPECT_EQ(job_table_apply(&late, &start), nullptr);
	ASSERT_NE(job_table_apply(&late, &snapshot), nullptr);
	j = job_table_get(&late, 1);
	EXPECT_TRUE(j->accepted);
	EXPECT_TRUE(j->attempt_open);
	EXPECT_EQ(j->worker, 5u);
	EXPECT_EQ(j->boot, 6u);
	job_table_finish(&late);
}

TEST_F(JobTable, CountsTheOpenJobsOfATeam)
{
	struct job *j = apply(rec(RECORD_ACCEPT, 1, 0));

	job_table_set_team(&t, j, 9);
	job_table_set_team(&t, j, 9);
	EXPECT_EQ(job_table_team_open(&t, 9), 1u);
	apply(rec(RECORD_FINISH, 1, 0));
	EXPECT_EQ(job_table_team_open(&t, 9), 0u);
}

TEST_F(JobTable, ExpiresOldAnswers)
{
	struct record finish = rec(RECORD_FINISH, 1, 0);

	finish.at_ms = 100;
	apply(rec(RECORD_ACCEPT, 1, 0));
	apply(finish);
	job_table_expire(&t, 100);
	EXPECT_NE(job_table_get(&t, 1), nullptr);
	job_table_expire(&t, 101);
	EXPECT_EQ(job_table_get(&t, 1), nullptr);
}

static struct record claim_of(uint64_t epoch, uint64_t owner)
{
	struct record r = {};

	r.kind = RECORD_CLAIM;
	r.epoch = epoch;
	r.owner = owner;
	return r;
}

TEST(Claim, FirstClaimOfAnEpochWins)
{
	struct claim c = {};
	struct record a = claim_of(0, 1), b = claim_of(0, 2);

	EXPECT_EQ(claim_apply(&c, &a), CLAIM_WON);
	EXPECT_EQ(claim_apply(&c, &b), CLAIM_VOID);
	EXPECT_EQ(c.owner, 1u);
	EXPECT_EQ(c.epoch, 1u);
}

TEST(Claim, AcceptsEachBatchOfTheOwnerOnce)
{
	struct claim c = {};
	struct record a = claim_of(0, 1), b = claim_of(1, 2);
	struct batch mine = {1, 1, 1, {}}, again = mine, theirs = {2, 1, 2, {}};

	claim_apply(&c, &a);
	EXPECT_TRUE(claim_accept_batch(&c, &mine));
	EXPECT_FALSE(claim_accept_batch(&c, &again)) << "a duplicate append";
	claim_apply(&c, &b);
	mine.seq = 2;
	EXPECT_FALSE(claim_accept_batch(&c, &mine)) << "the previous owner";
	EXPECT_TRUE(claim_accept_batch(&c, &theirs));
}

TEST(Claim, OwnerPastRetentionIsNotTakenAsReleased)
{
	struct claim late = {}, first = {};
	struct record a = claim_of(6, 1), b = claim_of(0, 1);

	EXPECT_EQ(claim_apply(&late, &a), CLAIM_WON);
	EXPECT_EQ(late.previous_owner, CLAIM_OWNER_UNKNOWN);
	EXPECT_EQ(claim_apply(&first, &b), CLAIM_WON);
	EXPECT_EQ(first.previous_owner, 0u);
}

TEST(Claim, OnlyTheOwnerReleases)
{
	struct claim c = {};
	struct record a = claim_of(0, 1), r = {};

	claim_apply(&c, &a);
	r.kind = RECORD_RELEASE;
	r.epoch = 1;
	r.owner = 2;
	EXPECT_EQ(claim_apply(&c, &r), CLAIM_VOID);
	r.owner = 1;
	EXPECT_EQ(claim_apply(&c, &r), CLAIM_RELEASED);
	EXPECT_EQ(c.owner, 0u);
}
