#include <gtest/gtest.h>

#include <cerrno>

#include "cell/job_view.h"

namespace
{

class JobView : public testing::Test
{
      protected:
	void SetUp() override
	{
		ops.accepted = [](void *ctx, job_entry *) {
			((JobView *)ctx)->accepted++;
		};
		ops.cancelled = [](void *ctx, job_entry *) {
			((JobView *)ctx)->cancelled++;
		};
		ops.dropped = [](void *ctx, job_entry *) {
			((JobView *)ctx)->dropped++;
		};
		job_view_init(&v, &ops, this);
	}

	void TearDown() override
	{
		job_view_finish(&v);
	}

	int put(uint64_t id, char kind, const std::string &value)
	{
		char key[JOB_KEY_SIZE];

		return job_view_apply(&v, job_key(id, kind, key),
				      {value.data(), value.size()}, now);
	}

	static std::string spec(uint64_t id, uint32_t repeat = 0,
				const char *account = "", size_t payload = 0)
	{
		std::string text = payload ? std::string(payload, 'x') : "text";
		job_step st = {};
		job_spec s = {};
		buf b;

		st.count = 3;
		st.cpu = 700;
		st.memory_mb = 60;
		st.accelerators = 1;
		st.flags = STEP_GANG;
		name_set(st.image, "img");
		s.id = id;
		name_set(s.queue, "q");
		s.repeat = repeat;
		s.payload = {text.data(), text.size()};
		name_set(s.account, account);
		s.steps.items = &st;
		s.steps.count = 1;
		buf_init(&b);
		job_spec_write(&s, &b);
		std::string out(b.data, b.len);
		buf_finish(&b);
		return out;
	}

	static std::string progress(uint32_t state, const char *ordered = "",
				    const char *done = "")
	{
		step_progress step = {};
		job_progress p = {7, state, {NULL, 0}};
		buf b;

		step.ordered = str_of(ordered);
		step.done = str_of(done);
		if (ordered[0])
			p.steps = {&step, 1};

		buf_init(&b);
		job_progress_write(&p, &b);
		std::string out(b.data, b.len);
		buf_finish(&b);
		return out;
	}

	static std::string cancel(const char *account,
				  const job_entry *e = NULL)
	{
		buf b;

		buf_init(&b);
		job_entry_write_cancel(e, account, &b);
		std::string out(b.data, b.len);
		buf_finish(&b);
		return out;
	}

	/* The bound leaves 90 % of a job of 4 KB for other jobs. */
	void expect_little(uint64_t id)
	{
		job_entry *e = job_view_get(&v, id);

		ASSERT_TRUE(e);
		EXPECT_TRUE(e->is_accepted);
		EXPECT_FALSE(e->spec);
		EXPECT_FALSE(e->memory.chunks);
		EXPECT_LT(sizeof(*e) + e->demand.cap + e->progress.cap, 400u);
	}

	job_view v;
	job_view_ops ops;
	int accepted = 0, cancelled = 0, dropped = 0;
	int64_t now = 100;
};

TEST_F(JobView, KeepsTheFirstSpecOfAnId)
{
	EXPECT_EQ(put(5, 0, spec(5)), 0);
	EXPECT_EQ(put(5, 0, spec(5)), 0);
	EXPECT_EQ(accepted, 1);
	job_entry *e = job_view_get(&v, 5);
	ASSERT_TRUE(e);
	EXPECT_TRUE(str_eq(e->spec->payload, str_of("text")));
	EXPECT_EQ(job_spec_step(e->spec, 0)->count, 3u);
	EXPECT_STREQ(job_spec_step(e->spec, 0)->image, "img");
}

TEST_F(JobView, NeverLeavesATerminalState)
{
	put(5, 0, spec(5));
	put(5, 'p', progress(JOB_COMPLETED));
	put(5, 'c', "1");
	put(5, 'p', progress(JOB_RUNNING));
	EXPECT_EQ(job_view_get(&v, 5)->state, (uint32_t)JOB_COMPLETED);
	EXPECT_EQ(cancelled, 0);
	put(6, 0, spec(6));
	put(6, 'c', "1");
	put(6, 'p', progress(JOB_COMPLETED));
	EXPECT_EQ(job_view_get(&v, 6)->state, (uint32_t)JOB_CANCELLED);
}

/* A cancel that is stored before its job was forgotten. */
TEST_F(JobView, AppliesACancelToTheJobThatIsStoredLater)
{
	put(5, 'c', cancel("a"));
	EXPECT_FALSE(job_view_get(&v, 5)->is_accepted);
	EXPECT_GT(job_view_get(&v, 5)->terminal_ms, 0) << "dropped in time";
	EXPECT_TRUE(job_entry_is_cancelled_for(job_view_get(&v, 5), "a"));
	EXPECT_FALSE(job_entry_is_cancelled_for(job_view_get(&v, 5), "b"));
	put(5, 0, spec(5, 0, "a"));
	EXPECT_EQ(job_view_get(&v, 5)->state, (uint32_t)JOB_CANCELLED);
	EXPECT_EQ(job_view_pending(&v, "q"), 0u);
	put(6, 'c', cancel("b"));
	put(6, 0, spec(6));
	EXPECT_EQ(job_view_get(&v, 6)->state, (uint32_t)JOB_CANCELLED)
		<< "a job of no account";
	expect_little(5);
	expect_little(6);
}

/* In a listing, the records of a job may come in any order. */
TEST_F(JobView, KeepsTheJobOfAnotherAccountThatACancelCameBefore)
{
	for (uint64_t id : {5, 6}) {
		put(id, 'c', cancel(id == 5 ? "b" : ""));
		put(id, 'p', progress(JOB_RUNNING, "1"));
		put(id, 0, spec(id, 0, "a"));
		job_entry *e = job_view_get(&v, id);
		EXPECT_EQ(e->state, (uint32_t)JOB_RUNNING);
		EXPECT_FALSE(e->cancelled);
		EXPECT_EQ(e->terminal_ms, 0);
		EXPECT_GT(e->progress.len, 0u);
		put(id, 'c', cancel("b"));
		EXPECT_EQ(e->state, (uint32_t)JOB_RUNNING) << "after it";
		put(id, 'c', cancel("a"));
		EXPECT_EQ(e->state, (uint32_t)JOB_CANCELLED);
	}
}

TEST_F(JobView, CountsCancelsOfJobsThatAreNotAccepted)
{
	for (uint64_t id : {5, 5, 6, 7})
		put(id, 'c', cancel("a"));
	EXPECT_EQ(v.early_cancels, 3u);
	put(5, 0, spec(5, 0, "a"));
	put(6, 0, spec(6, 0, "b"));
	EXPECT_EQ(v.early_cancels, 1u);
	put(7, 0, "");
	EXPECT_EQ(v.early_cancels, 0u);
}

/* A second account replaced the cancel of the first one in the store. */
TEST_F(JobView, KeepsTheCancelsOfSeveralAccounts)
{
	put(7, 'c', cancel("b"));
	std::string both = cancel("a", job_view_get(&v, 7));
	put(8, 'c', both);
	put(8, 0, spec(8, 0, "b"));
	EXPECT_EQ(job_view_get(&v, 8)->state, (uint32_t)JOB_CANCELLED);
	put(9, 'c', both);
	put(9, 0, spec(9, 0, "c"));
	EXPECT_EQ(job_view_get(&v, 9)->state, (uint32_t)JOB_QUEUED);
	put(7, 'c', cancel("a"));
	put(7, 0, spec(7, 0, "b"));
	EXPECT_EQ(job_view_get(&v, 7)->state, (uint32_t)JOB_CANCELLED)
		<< "two hosts stored a record each";
}

TEST_F(JobView, CountsPendingJobsOfAQueue)
{
	put(5, 0, spec(5));
	put(6, 0, spec(6));
	put(7, 0, spec(7, 4)); /* repeats at set times */
	EXPECT_EQ(job_view_pending(&v, "q"), 2u);
	put(5, 'p', progress(JOB_RUNNING));
	EXPECT_EQ(job_view_pending(&v, "q"), 1u);
	put(6, 'c', "1");
	EXPECT_EQ(job_view_pending(&v, "q"), 0u);
	EXPECT_EQ(job_view_pending(&v, "none"), 0u);
}

TEST_F(JobView, DropsAJobWithItsKey)
{
	put(5, 0, spec(5));
	put(5, 0, "");
	EXPECT_FALSE(job_view_get(&v, 5));
	EXPECT_EQ(dropped, 1);
	EXPECT_EQ(job_view_pending(&v, "q"), 0u);
}

/* A job whose deletion a host never read, as it had expired, stayed for good.
 */
TEST_F(JobView, DropsWhatACompleteListingLacks)
{
	known_worker w = {};
	buf b;

	buf_init(&b);
	known_worker_write(&w, &b);
	job_view_apply(&v, str_of("w/i-1"), {b.data, b.len}, 10);
	job_view_apply(&v, str_of("w/i-2"), {b.data, b.len}, 10);
	now = 10;
	for (uint64_t id = 1; id <= 4; id++)
		put(id, 0, spec(id));
	now = 20;
	put(1, 0, spec(1));
	put(2, 'p', progress(JOB_RUNNING));
	put(3, 'p', "cannot be decoded");
	job_view_apply(&v, str_of("w/i-2"), {b.data, b.len}, 20);
	buf_finish(&b);
	EXPECT_EQ(job_view_drop_unread(&v, 20), 2u);
	EXPECT_EQ(dropped, 1);
	EXPECT_TRUE(job_view_get(&v, 1));
	EXPECT_TRUE(job_view_get(&v, 2));
	EXPECT_TRUE(job_view_get(&v, 3));
	EXPECT_FALSE(job_view_get(&v, 4));
	ASSERT_TRUE(v.known_workers);
	EXPECT_STREQ(v.known_workers->id, "i-2");
	EXPECT_FALSE(v.known_workers->next);
	EXPECT_EQ(job_view_pending(&v, "q"), 2u);
}

/*
 * A host kept the whole spec of each job until the job was dropped, minutes
 * after its end: 4.2 KB for a job of 1.4 KB, 12.5 MB for 3,000 jobs.
 */
TEST_F(JobView, KeepsLittleOfAJobThatHasEnded)
{
	put(5, 0, spec(5, 0, "acct", 2000));
	put(5, 'p', progress(JOB_RUNNING));
	EXPECT_TRUE(job_view_get(&v, 5)->memory.chunks);
	put(5, 'p', progress(JOB_COMPLETED));
	expect_little(5);
	put(6, 0, spec(6, 0, "acct", 2000));
	put(6, 'c', "1");
	expect_little(6);
	put(7, 'c', "1"); /* read before the job itself */
	put(7, 0, spec(7, 0, "acct", 2000));
	expect_little(7);
	EXPECT_EQ(accepted, 3);
	put(5, 0, spec(5, 0, "acct", 2000)); /* listed again */
	put(5, 'p', progress(JOB_COMPLETED));
	EXPECT_EQ(accepted, 3);
	expect_little(5);
	EXPECT_EQ(job_view_get(&v, 5)->state, (uint32_t)JOB_COMPLETED);
	EXPECT_EQ(job_view_pending(&v, "q"), 0u);
}

/* Callers of another account would see the job, and a new owner would not count
 * what its last runs hold. */
TEST_F(JobView, KeepsAccountAndDemandOfAJobThatHasEnded)
{
	arena a;

	put(5, 0, spec(5, 0, "acct"));
	put(5, 'c', "1");
	arena_init(&a);
	const job_spec *s = job_entry_spec(job_view_get(&v, 5), &a);
	ASSERT_TRUE(s);
	EXPECT_EQ(s->id, 5u);
	EXPECT_STREQ(s->account, "acct");
	ASSERT_EQ(s->steps.count, 1u);
	EXPECT_EQ(job_spec_step(s, 0)->count, 3u);
	EXPECT_EQ(job_spec_step(s, 0)->cpu, 700u);
	EXPECT_EQ(job_spec_step(s, 0)->memory_mb, 60u);
	EXPECT_EQ(job_spec_step(s, 0)->accelerators, 1u);
	EXPECT_EQ(job_spec_step(s, 0)->flags, (uint32_t)STEP_GANG);
	arena_finish(&a);
	put(6, 'c', "1");
	arena_init(&a);
	EXPECT_FALSE(job_entry_spec(job_view_get(&v, 6), &a));
	arena_finish(&a);
}

/* A new owner takes from the progress of an ended job which workers may run the
 * last of its tasks. */
TEST_F(JobView, KeepsTheProgressOfAnEndedJobWithRunsOnly)
{
	put(5, 0, spec(5));
	put(5, 'p', progress(JOB_COMPLETED, "\x07", "\x07"));
	EXPECT_EQ(job_view_get(&v, 5)->progress.cap, 0u);
	put(6, 0, spec(6));
	put(6, 'p', progress(JOB_RUNNING, "\x07", "\x03"));
	put(6, 'c', "1");
	EXPECT_GT(job_view_get(&v, 6)->progress.len, 0u);
	put(6, 'p', progress(JOB_CANCELLED, "\x07", "\x07"));
	EXPECT_EQ(job_view_get(&v, 6)->progress.cap, 0u);
}

/* The cell of an owner refers to the spec until the last run has ended. */
TEST_F(JobView, KeepsTheSpecThatACellRefersTo)
{
	put(5, 0, spec(5));
	job_entry *e = job_view_get(&v, 5);
	e->cell_job = this;
	put(5, 'p', progress(JOB_COMPLETED));
	EXPECT_TRUE(e->spec);
	e->cell_job = nullptr;
	job_entry_shrink(e);
	EXPECT_FALSE(e->spec);
}

TEST_F(JobView, RejectsRecordsThatCannotBeDecoded)
{
	EXPECT_EQ(put(5, 0, "junk"), -EBADMSG);
	EXPECT_EQ(put(5, 0, spec(6)), -EBADMSG);
	EXPECT_EQ(put(5, 'p', "junk"), -EBADMSG);
	EXPECT_EQ(job_view_apply(&v, str_of("other"), str_of("x"), 1), -ENOENT);
	EXPECT_EQ(accepted, 0);
}

/* A record that cannot be decoded must leave what was known of its job, and all
 * other jobs and workers, as they are. */
TEST_F(JobView, LosesNothingToARecordThatCannotBeDecoded)
{
	const std::string good = progress(JOB_RUNNING);

	EXPECT_EQ(put(5, 0, spec(5)), 0);
	EXPECT_EQ(put(5, 'p', good), 0);
	EXPECT_EQ(put(6, 0, "junk"), -EBADMSG);
	EXPECT_EQ(put(5, 'p', "junk"), -EBADMSG);
	EXPECT_EQ(put(5, 'p', progress(99)), -EBADMSG);
	EXPECT_EQ(job_view_apply(&v, str_of("w/w1"), str_of("junk"), 1),
		  -EBADMSG);
	EXPECT_EQ(job_view_apply(&v, str_of(OWNER_KEY), str_of("junk"), 1),
		  -EBADMSG);
	EXPECT_EQ(put(6, 0, spec(6)), 0);
	EXPECT_EQ(accepted, 2);
	ASSERT_NE(job_view_get(&v, 5)->spec, nullptr);
	ASSERT_NE(job_view_get(&v, 6)->spec, nullptr);
	EXPECT_EQ(job_view_get(&v, 5)->state, (uint32_t)JOB_RUNNING);
	EXPECT_EQ(std::string(job_view_get(&v, 5)->progress.data,
			      job_view_get(&v, 5)->progress.len),
		  good);
	EXPECT_EQ(job_view_pending(&v, "q"), 1u);
}

TEST_F(JobView, TracksKnownWorkers)
{
	known_worker w = {};
	buf b;

	name_set(w.address, "10.0.0.1:80");
	w.born = 77;
	buf_init(&b);
	known_worker_write(&w, &b);
	EXPECT_EQ(job_view_apply(&v, str_of("w/i-1"), {b.data, b.len}, 1), 0);
	buf_finish(&b);
	ASSERT_TRUE(v.known_workers);
	EXPECT_STREQ(v.known_workers->id, "i-1");
	EXPECT_EQ(v.known_workers->born, 77u);
	EXPECT_EQ(job_view_apply(&v, str_of("w/i-1"), str_of(""), 1), 0);
	EXPECT_FALSE(v.known_workers);
}

/*
 * A record leaves out fields that are zero. Decoded into the worker of the
 * record before it, the worker kept the start time of its former process.
 */
TEST_F(JobView, ReplacesAllFieldsOfAKnownWorker)
{
	known_worker w = {};
	buf b;

	name_set(w.address, "10.0.0.1:80");
	w.born = 77;
	buf_init(&b);
	known_worker_write(&w, &b);
	EXPECT_EQ(job_view_apply(&v, str_of("w/i-1"), {b.data, b.len}, 1), 0);
	buf_clear(&b);
	w.born = 0;
	known_worker_write(&w, &b);
	EXPECT_EQ(job_view_apply(&v, str_of("w/i-1"), {b.data, b.len}, 1), 0);
	buf_finish(&b);
	ASSERT_TRUE(v.known_workers);
	EXPECT_EQ(v.known_workers->born, 0u);
}

/* A record that cannot be decoded must not add a worker without an address. */
TEST_F(JobView, IgnoresAnInvalidWorkerRecord)
{
	EXPECT_EQ(job_view_apply(&v, str_of("w/i-1"), str_of("junk"), 1),
		  -EBADMSG);
	EXPECT_FALSE(v.known_workers);
}

/* Records under two forms of one key would replace each other in one host and
 * not in the store. */
TEST_F(JobView, KnowsAJobByOneKeyOfEachKind)
{
	std::string value = cancel("");

	for (const char *key :
	     {"00000000000000AB", "00000000000000AB/c", "00000000000000ab/",
	      "00000000000000ab/cc", "00000000000000ab:c", "00000000000000abc"})
		EXPECT_EQ(job_view_apply(&v, str_of(key),
					 {value.data(), value.size()}, 1),
			  -ENOENT)
			<< key;
	EXPECT_FALSE(v.jobs);
	EXPECT_EQ(put(0xab, 'c', value), 0);
	EXPECT_TRUE(v.jobs);
}

/* A job that is explained without an ID had that of another one: what is
 * planned for the other counted as its own. */
TEST_F(JobView, FindsAnIdThatNoJobHas)
{
	EXPECT_EQ(job_view_unused_id(&v), UINT64_MAX);
	put(UINT64_MAX, 'c', cancel(""));
	put(UINT64_MAX - 1, 'c', cancel(""));
	EXPECT_EQ(job_view_unused_id(&v), UINT64_MAX - 2);
}

TEST(JobId, HasSixteenDigits)
{
	uint64_t id = 7;

	EXPECT_EQ(job_id_parse(str_of("5c0e7a21d94b36f8"), &id), 0);
	EXPECT_EQ(id, 0x5c0e7a21d94b36f8u);
	EXPECT_EQ(job_id_parse(str_of("5c0e7a21d94b36f"), &id), -EINVAL);
	EXPECT_EQ(job_id_parse(str_of("5c0e7a21d94b36f80"), &id), -EINVAL);
	EXPECT_EQ(job_id_parse(str_of("5c0e7a21d94b36fg"), &id), -EINVAL);
	EXPECT_EQ(id, 0x5c0e7a21d94b36f8u) << "unchanged";
	EXPECT_EQ(job_id_parse(str_of("0000000000000000"), &id), 0);
	EXPECT_EQ(id, 0u);
	EXPECT_EQ(job_id_parse(str_of("ffffffffffffffff"), &id), 0);
	EXPECT_EQ(id, UINT64_MAX);
	EXPECT_EQ(job_id_parse(str_of("ABCDEF0123456789"), &id), 0);
	EXPECT_EQ(id, 0xabcdef0123456789u);
	EXPECT_EQ(job_id_parse(str_of("ABCDEFG123456789"), &id), -EINVAL);
}

TEST(JobSpec, CriticalPathIsTheLongestChain)
{
	job_step s[3] = {};
	job_spec j = {};

	for (auto &x : s)
		x.count = 1;
	s[0].estimate_ms = 100;
	s[1].estimate_ms = 300;
	s[2].estimate_ms = 50;
	s[2].after = 3;
	j.id = 1;
	j.steps.items = s;
	j.steps.count = 3;
	EXPECT_EQ(job_spec_critical_path_ms(&j), 350u);
	EXPECT_EQ(job_spec_check(&j), 0);
	s[0].after = 2; /* a later step */
	EXPECT_EQ(job_spec_check(&j), -EINVAL);
}

/*
 * The product of tasks and occurrences was taken modulo 2^64. A caller's job of
 * 2^36 tasks and 2^28 occurrences passed as one without tasks, and the owner
 * died when it allocated them.
 */
TEST(JobSpec, RejectsACountOfTasksThatOverflows)
{
	constexpr size_t STEPS = 32;
	job_step s[STEPS] = {};
	job_spec j = {};

	for (auto &x : s)
		x.count = 1u << 31;
	j.id = 1;
	j.steps = {s, STEPS};
	j.repeat = 1u << 28;
	EXPECT_EQ(job_spec_check(&j), -EINVAL);
}

/*
 * A caller's start time or interval near the limits of 64 bits made the due
 * times of a job overflow, which the sanitizer builds end with an error.
 */
TEST(JobSpec, RejectsDueTimesThatOverflow)
{
	job_step s = {};
	job_spec j = {};

	s.count = 1;
	j.id = 1;
	j.steps = {&s, 1};
	j.repeat = 3;
	j.first_ms = 1796400000000;
	j.interval_ms = 1000;
	EXPECT_EQ(job_spec_check(&j), 0);
	j.interval_ms = INT64_MIN;
	EXPECT_EQ(job_spec_check(&j), -EINVAL);
	j.interval_ms = 1000;
	j.first_ms = INT64_MAX;
	EXPECT_EQ(job_spec_check(&j), -EINVAL);
}

/*
 * A worker's record with a lease of 2^64 ms made the end of its leases
 * overflow.
 */
TEST_F(JobView, RejectsALeaseThatIsTooLong)
{
	known_worker w = {};
	buf b;

	name_set(w.address, "10.0.0.1:80");
	w.lease_left_ms = UINT64_MAX / 2;
	buf_init(&b);
	known_worker_write(&w, &b);
	EXPECT_EQ(job_view_apply(&v, str_of("w/i-1"), {b.data, b.len}, 1),
		  -EBADMSG);
	buf_finish(&b);
	EXPECT_FALSE(v.known_workers);
}

} /* namespace */
