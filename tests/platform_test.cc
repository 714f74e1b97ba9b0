#include <gtest/gtest.h>

#include <cerrno>

#include "platform/config.h"
#include "platform/platform.h"
#include "platform/settings.h"

namespace
{

const char CONFIG[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/x/\",\"timeoutMs\":3000,\"targetLatencyMs\":250,"
	"\"priority\":2,\"service\":\"pool\",\"maxAttempts\":4,"
	"\"stretch\":1.5},{\"name\":\"r-2\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/x/y/\",\"service\":\"other\"}],"
	"\"limits\":{\"maxBodyBytes\":1000}}";

TEST(Config, DecodesQueuesAndMatchesTheLongestPrefix)
{
	queue_table t;

	ASSERT_EQ(config_parse(str_of(CONFIG), &t), 0);
	EXPECT_EQ(t.version, 7u);
	EXPECT_EQ(t.body_max, 1000u);
	const queue *q = queue_table_match(&t, "A.example:80", "/x/1");
	ASSERT_TRUE(q);
	EXPECT_EQ(q->stretch_milli, 1500u);
	EXPECT_EQ(q->attempts_max, 4u);
	EXPECT_STREQ(queue_table_match(&t, "a.example", "/x/y/1")->name, "r-2");
	EXPECT_FALSE(queue_table_match(&t, "b.example", "/x/1"));
	EXPECT_FALSE(queue_table_match(&t, "a.example", "/z"));
	EXPECT_STREQ(queue_table_find(&t, "r-2")->service, "other");
	queue_table_finish(&t);
	EXPECT_EQ(config_parse(str_of("{\"version\":1}"), &t), -EINVAL);
	EXPECT_EQ(config_parse(str_of("junk"), &t), -EINVAL);
}

TEST(Config, DecodesClientAccounts)
{
	queue_table t;
	std::string text =
		"{\"version\":8,\"routes\":[{\"name\":\"r\",\"pathPrefix\":"
		"\"/x/\"},{\"name\":\"p\",\"pathPrefix\":\"/p/\",\"public\":"
		"true}],\"tenants\":[{\"name\":\"till\",\"apiKeys\":[\"k1\","
		"\"k2\"],\"weight\":16,\"maxCount\":{\"cpu\":2040699,"
		"\"memMb\":3663463,\"gpu\":0}},{\"name\":\"payout\"}]}";

	ASSERT_EQ(config_parse(str_of(text.c_str()), &t), 0);
	EXPECT_TRUE(t.has_accounts);
	EXPECT_FALSE(queue_table_find(&t, "r")->is_public);
	EXPECT_TRUE(queue_table_find(&t, "p")->is_public);
	const account *a = account_table_find_key(&t.accounts, str_of("k2"));
	ASSERT_TRUE(a);
	EXPECT_STREQ(a->name, "till");
	EXPECT_EQ(a->weight, 16u);
	EXPECT_EQ(a->cpu_max, 2040699u);
	EXPECT_EQ(a->memory_max_mb, 3663463u);
	EXPECT_EQ(a->accelerators_max, 0u);
	EXPECT_TRUE(account_table_find(&t.accounts, "payout"));
	queue_table_finish(&t);
	ASSERT_EQ(config_parse(str_of(CONFIG), &t), 0);
	EXPECT_FALSE(t.has_accounts);
	queue_table_finish(&t);
}

/* One key for two accounts, or an account without a name, leaves open for whom
 * a request runs. */
TEST(Config, RejectsAmbiguousClientAccounts)
{
	const char *bad[] = {
		"{}",
		"[1]",
		"[{\"name\":\"\"}]",
		"[{\"name\":\"a\"},{\"name\":\"a\"}]",
		"[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
		"{\"name\":\"b\",\"apiKeys\":[\"k\"]}]",
		"[{\"name\":\"a\",\"apiKeys\":[\"\"]}]",
		"[{\"name\":\"a\",\"apiKeys\":[7]}]",
		"[{\"name\":\"a\",\"maxCount\":{\"cpu\":-1}}]",
	};
	queue_table t;

	for (const char *tenants : bad) {
		std::string text = "{\"version\":8,\"routes\":[],\"tenants\":" +
				   std::string(tenants) + "}";

		EXPECT_EQ(config_parse(str_of(text.c_str()), &t), -EINVAL)
			<< tenants;
	}
}

TEST(WorkerEntry, DecodesARegistration)
{
	worker_entry e;
	std::string text =
		"{\"service\":\"pool\",\"address\":\"10.0.0.9:80\",\"zone\":"
		"\"z\",\"state\":\"draining\",\"remainingMs\":1500,\"born\":"
		"1700,\"capacity\":{\"cpu\":16000,\"memMb\":32768},\"labels\":"
		"[\"a\",\"r1-3\"],\"seq\":4}";

	ASSERT_EQ(worker_entry_parse(str_of("i-1"), str_of(text.c_str()), &e),
		  0);
	EXPECT_STREQ(e.addr.id, "i-1");
	EXPECT_TRUE(e.draining);
	EXPECT_EQ(e.leaving_ms, 1500);
	EXPECT_EQ(e.born, 1700u);
	EXPECT_EQ(e.memory_mb, 32768u);
	EXPECT_STREQ(e.labels[1], "r1-3");
}

/* Other writers may add records to the topic of the workers. */
TEST(WorkerEntry, RejectsMalformedOrUnusableRecords)
{
	const char *bad[] = {
		"",
		"\x01\x02",
		"[]",
		"{\"service\":\"pool\"}",
		"{\"service\":1,\"address\":\"a\",\"state\":\"ready\"}",
		"{\"service\":\"p\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"odd\","
		"\"capacity\":{\"cpu\":1}}",
		"{\"service\":\"p\",\"address\":\"10.0.0.1:1\",\"state\":"
		"\"ready\","
		"\"capacity\":{\"cpu\":\"x\"}}",
	};
	worker_entry e;

	for (const char *text : bad)
		EXPECT_EQ(worker_entry_parse(str_of("i-1"), str_of(text), &e),
			  -EINVAL)
			<< text;
}

int parse_job(const char *text, job_spec *s, arena *a)
{
	queue q = {};

	name_set(q.name, "r-1");
	name_set(q.service, "pool");
	return job_parse(str_of(text), &q, 5, 1000, s, a);
}

TEST(Job, DecodesStepsAndFlags)
{
	job_spec s;
	arena a;

	arena_init(&a);
	ASSERT_EQ(parse_job("{\"spec\":\"t\",\"steps\":[{\"count\":4,\"cpu\":"
			    "500,\"affinity\":\"r1-3\"},{\"count\":2,"
			    "\"after\":[0],\"keepCheckpoints\":true,"
			    "\"fills\":true,\"image\":\"i\",\"targetMs\":50,"
			    "\"longRunning\":true,\"antiAffinity\":1}],"
			    "\"repeatCount\":3,\"startAtMs\":99}",
			    &s, &a),
		  0);
	EXPECT_EQ(s.repeat, 3u);
	EXPECT_EQ(s.first_ms, 99);
	EXPECT_STREQ(job_spec_step(&s, 0)->data_rack, "r1-3");
	EXPECT_EQ(job_spec_step(&s, 1)->after, 1u);
	EXPECT_EQ(job_spec_step(&s, 1)->flags,
		  (uint32_t)(STEP_CHECKPOINTS | STEP_BEST_EFFORT |
			     STEP_LONG_RUNNING));
	EXPECT_EQ(job_spec_step(&s, 1)->per_worker, 1u);
	EXPECT_EQ(job_spec_step(&s, 1)->target_ms, 50u);
	arena_finish(&a);
}

TEST(Job, RejectsInvalidJobs)
{
	const char *bad[] = {
		"junk",
		"{}",
		"{\"steps\":[]}",
		"{\"steps\":[{\"cpu\":1}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":1,\"gang\":\"yes\"}]}",
	};
	job_spec s;
	arena a;

	arena_init(&a);
	for (const char *text : bad)
		EXPECT_EQ(parse_job(text, &s, &a), -EINVAL) << text;
	arena_finish(&a);
}

/*
 * A job with thousands of millions of occurrences made the owner allocate them
 * all: it died, and every host that took the cell over died after it.
 */
TEST(Job, RejectsMoreTasksThanAHostCanKeep)
{
	queue q = {};
	job_spec s;
	arena a;

	arena_init(&a);
	for (const char *text :
	     {"{\"repeatCount\":4000000000,\"startAtMs\":1,\"intervalMs\":1,"
	      "\"steps\":[{\"count\":1,\"cpu\":1}]}",
	      "{\"steps\":[{\"count\":4000000000,\"cpu\":1}]}",
	      "{\"steps\":[{\"count\":40000,\"cpu\":1},"
	      "{\"count\":40000,\"cpu\":1}]}"})
		EXPECT_EQ(job_parse(str_of(text), &q, 7, 0, &s, &a), -EINVAL)
			<< text;
	arena_finish(&a);
}

/*
 * A job's progress is one record. A job of 50,000 tasks was accepted; once
 * enough of its runs had failed, the store refused the record and with it each
 * batch of the owner, so that nothing started any more.
 */
TEST(Job, KeepsTheProgressOfTheLargestJobInOneRecord)
{
	const size_t record_bytes = 262144; /* of the platform */
	/* failures of eight runs, one crash, one worker, for each task */
	const std::string failures(17 * JOB_TASKS_MAX, '\x08');
	const std::string crashes(JOB_TASKS_MAX, '\1');
	const std::string workers(2 * JOB_TASKS_MAX, '\xff');
	const std::string bits(JOB_TASKS_MAX / 8 + 1, '\x55');
	/* the most that is stored of one job */
	const std::string checkpoints(16384, 'x');

	for (size_t rows : {(size_t)1, (size_t)JOB_TASKS_MAX}) {
		size_t n = JOB_TASKS_MAX / rows;
		std::vector<step_progress> parts(rows);
		job_progress p = {};
		buf b;

		for (size_t i = 0; i < rows; i++) {
			step_progress &s = parts[i];
			s.occurrence = (uint32_t)i;
			s.step = JOB_STEPS_MAX;
			s.failures = {failures.data(), 17 * n};
			s.crashes = {crashes.data(), n};
			s.workers = {workers.data(), 2 * n};
			s.ordered = s.done = {bits.data(), n / 8 + 1};
		}
		/* Without them, if they do not fit: CellBatch. */
		if (rows == 1)
			parts[0].checkpoints = {checkpoints.data(),
						checkpoints.size()};
		p.epoch = UINT32_MAX;
		p.state = JOB_RUNNING;
		p.steps = {parts.data(), rows};
		buf_init(&b);
		job_progress_write(&p, &b);
		EXPECT_LT(b.len, record_bytes) << rows;
		buf_finish(&b);
	}
}

/* A job that an earlier release accepted is not lost by the smaller limit. */
TEST(Job, ReadsAStoredJobOfMoreTasksThanAreAccepted)
{
	job_step step = {};
	job_spec s = {}, r = {};
	arena a;
	buf b;

	step.count = JOB_TASKS_STORED_MAX;
	s.id = 7;
	s.steps = {&step, 1};
	EXPECT_EQ(job_spec_check(&s), -EINVAL);
	buf_init(&b);
	arena_init(&a);
	job_spec_write(&s, &b);
	EXPECT_EQ(job_spec_read({b.data, b.len}, &r, &a), 0);
	arena_finish(&a);
	buf_finish(&b);
}

/* One record that cannot be read must not stop the reader of the log. */
TEST(StoreRead, SkipsARecordWhoseKeyDoesNotFit)
{
	std::string body(16, '\0');
	store_reply r = {};
	arena a;

	body += std::string("\0\0\0\x02\x05x", 6);
	body += std::string("\0\0\0\x03\x01kv", 7);
	arena_init(&a);
	ASSERT_EQ(store_read_parse({body.data(), body.size()}, 40, &r, &a), 0);
	ASSERT_EQ(r.count, 2u);
	EXPECT_EQ(r.records[0].key.len, 0u);
	EXPECT_EQ(r.records[1].offset, 41u);
	EXPECT_TRUE(str_eq(r.records[1].key, str_of("k")));
	arena_finish(&a);
}

TEST(StoreRead, DecodesRecordsAndRejectsTruncatedOnes)
{
	std::string body(16, '\0');
	store_reply r = {};
	arena a;
	buf b;

	body[7] = 9;  /* offset of the next record */
	body[15] = 3; /* offset of the oldest record */
	buf_init(&b);
	store_record_add(&b, str_of("k1"), str_of("v1"));
	store_record_add(&b, str_of("k2"), str_of(""));
	body.append(b.data, b.len);
	buf_finish(&b);
	arena_init(&a);
	ASSERT_EQ(store_read_parse({body.data(), body.size()}, 7, &r, &a), 0);
	EXPECT_EQ(r.end, 9u);
	EXPECT_EQ(r.first, 3u);
	ASSERT_EQ(r.count, 2u);
	EXPECT_TRUE(str_eq(r.records[0].value, str_of("v1")));
	EXPECT_EQ(r.records[1].value.len, 0u);
	EXPECT_EQ(r.records[1].offset, 8u);
	EXPECT_EQ(store_read_parse({body.data(), body.size() - 1}, 7, &r, &a),
		  -EBADMSG);
	EXPECT_EQ(store_read_parse({body.data(), 10}, 7, &r, &a), -EBADMSG);
	arena_finish(&a);
}

TEST(StoreNewest, DecodesValues)
{
	store_reply r = {};
	arena a;

	arena_init(&a);
	ASSERT_EQ(store_newest_parse(
			  str_of("{\"items\":[{\"key\":\"config\",\"value\":"
				 "\"aGVsbG8=\",\"offset\":4}],\"hasMore\":true,"
				 "\"endOffset\":6}"),
			  &r, &a),
		  0);
	ASSERT_EQ(r.count, 1u);
	EXPECT_TRUE(str_eq(r.records[0].value, str_of("hello")));
	EXPECT_TRUE(r.has_more);
	EXPECT_EQ(r.end, 6u);
	EXPECT_EQ(store_newest_parse(str_of("{}"), &r, &a), -EBADMSG);
	arena_finish(&a);
}

/* One item that could not be decoded made every host refuse the whole listing,
 * again and again: none became ready. */
TEST(StoreNewest, SkipsAnItemThatCannotBeDecoded)
{
	const char *bad[] = {
		"7",
		"{}",
		"{\"key\":\"k\",\"value\":4,\"offset\":4}",
		"{\"key\":null,\"value\":\"\",\"offset\":4}",
		"{\"key\":\"k\",\"value\":\"\",\"offset\":\"4\"}",
		"{\"key\":\"k\",\"value\":\"\"}",
	};

	for (const char *item : bad) {
		std::string body =
			"{\"items\":[{\"key\":\"a\",\"value\":\"aGVsbG8=\","
			"\"offset\":4}," +
			std::string(item) +
			",{\"key\":\"z\",\"value\":\"\",\"offset\":5}],"
			"\"hasMore\":false,\"endOffset\":6}";
		store_reply r = {};
		arena a;

		arena_init(&a);
		ASSERT_EQ(store_newest_parse(str_of(body.c_str()), &r, &a), 0)
			<< item;
		ASSERT_EQ(r.count, 2u) << item;
		EXPECT_TRUE(str_eq(r.records[0].key, str_of("a")));
		EXPECT_TRUE(str_eq(r.records[1].key, str_of("z")));
		EXPECT_EQ(r.records[1].offset, 5u);
		arena_finish(&a);
	}
}

/* A page of which no item could be used gave no key to go on from. */
TEST(StoreNewest, TellsTheLastKeyOfAPageWithoutAUsableItem)
{
	store_reply r = {};
	arena a;

	arena_init(&a);
	ASSERT_EQ(
		store_newest_parse(
			str_of("{\"items\":[{\"key\":\"a\\n\",\"value\":\"\","
			       "\"offset\":4},{\"key\":\"b\\u0000\",\"offset\":"
			       "\"x\"},{\"key\":7},8],\"hasMore\":true,"
			       "\"endOffset\":6}"),
			&r, &a),
		0);
	EXPECT_EQ(r.count, 0u);
	EXPECT_TRUE(str_eq(r.last_key, {"b\0", 2}));
	arena_finish(&a);
}

/* Fields that were missing counted as 0: the end of a listing, so that the log
 * was read from its start, and that there is no further page. */
TEST(StoreNewest, RejectsAListingWithoutItsEnd)
{
	store_reply r = {};
	arena a;

	arena_init(&a);
	EXPECT_EQ(store_newest_parse(str_of("{\"items\":[],\"hasMore\":true}"),
				     &r, &a),
		  -EBADMSG);
	EXPECT_EQ(store_newest_parse(str_of("{\"items\":[],\"endOffset\":6}"),
				     &r, &a),
		  -EBADMSG);
	arena_finish(&a);
}

/* A reply without the end of the log counted as one of an empty log: the next
 * owner scheduled without having read the records of the former one. */
TEST(StoreAppend, RejectsAReplyWithoutTheEndOfTheLog)
{
	store_reply r = {};

	for (const char *text :
	     {"{}", "[]", "{\"offset\":4}", "", "{\"offset\"",
	      "{\"offset\":4,\"endOffset\":null}",
	      "{\"offset\":4,\"endOffset\":\"5\"}",
	      "{\"offset\":4,\"endOffset\":-5}"})
		EXPECT_EQ(store_append_parse(str_of(text), &r), -EBADMSG)
			<< text;
	EXPECT_EQ(store_append_parse(str_of("{\"offset\":4,\"endOffset\":5}"),
				     &r),
		  0);
	EXPECT_EQ(r.first, 4u);
	EXPECT_EQ(r.end, 5u);
}

/* A partition that is not a number counted as partition 0: the host took over a
 * cell that was not assigned to it. */
TEST(StoreJoin, SkipsAPartitionThatCannotBeUsed)
{
	for (const char *row :
	     {"[\"cells\",\"x\"]", "[\"cells\",null]", "[\"cells\"]", "7",
	      "[\"cells\",0.5]", "[\"cells\",-1]", "[\"cells\",64]", "[0,0]"}) {
		std::string body = "{\"generation\":9,\"parts\":[" +
				   std::string(row) + ",[\"cells\",3]]}";
		store_reply r = {};

		ASSERT_EQ(store_join_parse(str_of(body.c_str()), "cells", &r),
			  0)
			<< row;
		EXPECT_EQ(r.assigned, 8u) << row;
		EXPECT_EQ(r.generation, 9u);
	}
}

TEST(StoreJoin, RejectsAReplyWithoutAGeneration)
{
	for (const char *text :
	     {"", "[]", "{}", "{\"parts\":[[\"cells\",0]]}",
	      "{\"generation\":9}", "{\"generation\":9,\"parts\":4}"}) {
		store_reply r = {};

		EXPECT_EQ(store_join_parse(str_of(text), "cells", &r), -EBADMSG)
			<< text;
		EXPECT_EQ(r.assigned, 0u) << text;
	}
}

/* An owner whose expected sequence number was missing set its own to 0. */
TEST(StoreConflict, NeedsTheExpectedSequenceNumber)
{
	store_reply r = {};

	EXPECT_EQ(store_conflict_parse(str_of("{\"reason\":\"seq\"}"), &r),
		  STORE_REFUSED);
	EXPECT_EQ(store_conflict_parse(str_of("{\"reason\":\"seq\",\"seq\":4}"),
				       &r),
		  STORE_BAD_SEQ);
	EXPECT_EQ(r.seq, 4u);
	EXPECT_EQ(store_conflict_parse(str_of("{\"reason\":\"fenced\"}"), &r),
		  STORE_FENCED);
	EXPECT_EQ(store_conflict_parse(str_of(""), &r), STORE_REFUSED);
}

TEST(Hold, DecodesRunningAndEndedRuns)
{
	poll_reply r = {};
	arena a;

	arena_init(&a);
	ASSERT_EQ(poll_reply_parse(
			  str_of("{\"clockMs\":48,\"born\":1700,\"running\":"
				 "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"0b\",41,"
				 "12.6]],\"ended\":[[58,\"5c0e7a21d94b36f8."
				 "0.1.9\",1,\"done\",\"\"]]}"),
			  &r, &a),
		  0);
	EXPECT_EQ(r.clock, 48);
	ASSERT_EQ(r.running_count, 1u);
	EXPECT_EQ(r.running[0].ref.index, 17u);
	EXPECT_EQ(r.running[0].ref.run, 2u);
	EXPECT_EQ(r.running[0].measure, 12u);
	EXPECT_STREQ(r.running[0].checkpoint, "0b");
	ASSERT_EQ(r.ended_count, 1u);
	EXPECT_EQ(r.ended[0].how, RUN_DONE);
	EXPECT_EQ(poll_reply_parse(str_of("{\"running\":[[1]]}"), &r, &a),
		  -EBADMSG);
	/* Without the start time of the process, a listing of a former one
	 * would count for the present one. */
	r.born = 0;
	EXPECT_EQ(poll_reply_parse(str_of("{\"clockMs\":48,\"running\":[],"
					  "\"ended\":[]}"),
				   &r, &a),
		  -EBADMSG);
	EXPECT_EQ(
		poll_reply_parse(str_of("{\"running\":[],\"ended\":[[1,\"x\",1,"
					"\"done\"]]}"),
				 &r, &a),
		-EBADMSG);
	arena_finish(&a);
}

TEST(TaskName, RoundTrips)
{
	task_ref a = {0x5c0e7a21d94b36f8u, 2, 1, 17, 0}, b = {};
	char name[TASK_NAME_SIZE];

	task_name(&a, name);
	EXPECT_STREQ(name, "5c0e7a21d94b36f8.2.1.17");
	EXPECT_EQ(task_name_parse(name, &b), 0);
	EXPECT_EQ(b.job, a.job);
	EXPECT_EQ(b.occurrence, 2u);
	EXPECT_EQ(task_name_parse("5c0e7a21d94b36f8.2.1", &b), -EINVAL);
	EXPECT_EQ(task_name_parse("5c0e7a21d94b36f8.2.1.17x", &b), -EINVAL);
}

const char SETTINGS[] =
	"{\"nodeName\":\"h\",\"zone\":\"z\",\"ip\":\"10.1.0.13\","
	"\"heartbeatMs\":1100,\"internalPorts\":[7720,7735],\"listen\":{"
	"\"front\":\"10.1.0.13:1\","
	"\"readiness\":\"10.1.0.13:2\"},\"limits\":{\"cpuShare\":0.25,"
	"\"memoryMb\":260,"
	"\"maxFds\":4100},\"bounds\":{\"maxHoldMs\":6000,\"configApplyMs\":"
	"2000,\"visible_ms\":3000,\"status_s\":120,\"graceS\":6,\"early_ms\":"
	"250},\"platform\":{\"address\":\"10.2.0.1:3\",\"writesPerS\":600,"
	"\"readsPerS\":2000,\"parts\":24,\"recordBytes\":262144,"
	"\"requestBytes\":2097152,\"minTtlMs\":1000}}";

TEST(Settings, ReportsEveryInvalidField)
{
	host_settings s;
	buf error;

	buf_init(&error);
	ASSERT_EQ(host_settings_parse(str_of(SETTINGS), &s, &error), 0)
		<< error.data;
	EXPECT_STREQ(s.caller_addr, "10.1.0.13:1");
	EXPECT_EQ(s.cpu_milli, 250u);
	EXPECT_EQ(s.lease_max_ms, 6000u);
	EXPECT_EQ(s.violation_ms, 0u);
	std::string bounded = SETTINGS;
	bounded.insert(bounded.find("\"early_ms\""), "\"violationMs\":4500,");
	ASSERT_EQ(host_settings_parse(str_of(bounded.c_str()), &s, &error), 0);
	EXPECT_EQ(s.violation_ms, 4500u);
	bounded.replace(bounded.find("4500"), 4, "\"x\"");
	EXPECT_EQ(host_settings_parse(str_of(bounded.c_str()), &s, &error),
		  -EINVAL);
	buf_finish(&error);
	buf_init(&error);
	std::string bad = SETTINGS;
	bad.replace(bad.find("6000"), 4, "\"x\"");
	bad.replace(bad.find("\"zone\""), 6, "\"zoom\"");
	EXPECT_EQ(host_settings_parse(str_of(bad.c_str()), &s, &error),
		  -EINVAL);
	EXPECT_NE(std::string(error.data).find("bounds.maxHoldMs"),
		  std::string::npos);
	EXPECT_NE(std::string(error.data).find("setting zone"),
		  std::string::npos);
	buf_finish(&error);
}

/*
 * A time left near the limits of 64 bits made the time at which the worker
 * leaves overflow.
 */
TEST(WorkerEntry, RejectsATimeLeftThatOverflows)
{
	worker_entry e;

	for (const char *left :
	     {"9223372036854775807", "-9223372036854775808", "1e300"}) {
		std::string text = "{\"service\":\"p\",\"address\":\"10.0.0.1:"
				   "1\",\"state\":"
				   "\"draining\",\"capacity\":{\"cpu\":1},"
				   "\"remainingMs\":" +
				   std::string(left) + "}";

		EXPECT_EQ(worker_entry_parse(str_of("i-1"),
					     str_of(text.c_str()), &e),
			  -EINVAL)
			<< left;
	}
}

/* A clock near the limits of 64 bits made the end of the leases overflow. */
TEST(Hold, RejectsAClockThatOverflows)
{
	poll_reply r = {};
	arena a;

	arena_init(&a);
	EXPECT_EQ(poll_reply_parse(
			  str_of("{\"clockMs\":9223372036854775807,\"born\":1,"
				 "\"running\":[],\"ended\":[]}"),
			  &r, &a),
		  -EBADMSG);
	arena_finish(&a);
}

/* Run 4294967298 was taken for run 2, so that its end ended run 2. */
TEST(Hold, RejectsARunNumberThatDoesNotFit)
{
	poll_reply r = {};
	arena a;

	arena_init(&a);
	for (const char *run : {"4294967298", "-1"}) {
		std::string text =
			"{\"running\":[[\"5c0e7a21d94b36f8.0.1.17\"," +
			std::string(run) + ",\"\",1,1]],\"ended\":[]}";

		EXPECT_EQ(poll_reply_parse(str_of(text.c_str()), &r, &a),
			  -EBADMSG)
			<< run;
	}
	arena_finish(&a);
}

/* Deployments without client accounts have neither of the two settings. */
TEST(Settings, BoundsOnWithdrawnKeysAreOptional)
{
	std::string text = SETTINGS;
	host_settings s;
	buf error;

	buf_init(&error);
	ASSERT_EQ(host_settings_parse(str_of(SETTINGS), &s, &error), 0);
	EXPECT_FALSE(s.strict_revocation);
	EXPECT_EQ(s.revoke_ms, 0u);
	text.replace(text.find("\"graceS\""), 0,
		     "\"strictRevocation\":true,\"revokeMs\":5000,");
	ASSERT_EQ(host_settings_parse(str_of(text.c_str()), &s, &error), 0)
		<< error.data;
	EXPECT_TRUE(s.strict_revocation);
	EXPECT_EQ(s.revoke_ms, 5000u);
	buf_finish(&error);
}

/*
 * A host that takes strict revocation without a bound for "no bound" serves
 * withdrawn keys as long as it does not reach the store.
 */
TEST(Settings, RejectsStrictRevocationWithoutAValidBound)
{
	for (const char *part :
	     {"\"strictRevocation\":true,",
	      "\"strictRevocation\":true,\"revokeMs\":0,",
	      "\"strictRevocation\":true,\"revokeMs\":\"5000\",",
	      "\"strictRevocation\":1,\"revokeMs\":5000,"}) {
		std::string text = SETTINGS;
		host_settings s;
		buf error;

		buf_init(&error);
		text.replace(text.find("\"graceS\""), 0, part);
		EXPECT_EQ(host_settings_parse(str_of(text.c_str()), &s, &error),
			  -EINVAL)
			<< part;
		EXPECT_NE(std::string(error.data ? error.data : "")
				  .find("bounds."),
			  std::string::npos)
			<< part;
		buf_finish(&error);
	}
}

/* The first port was cut to 32 bits, so that 4294975016 meant port 7720. */
TEST(Settings, RejectsAPortThatDoesNotFit)
{
	std::string text = SETTINGS;
	host_settings s;
	buf error;

	buf_init(&error);
	text.replace(text.find("7720"), 4, "4294975016");
	EXPECT_EQ(host_settings_parse(str_of(text.c_str()), &s, &error),
		  -EINVAL);
	buf_finish(&error);
}

/* One page of a listing with an item whose key stands in JSON as @key, between
 * two that can be used. Returns the keys that are listed. */
std::vector<std::string> listed_beside(const std::string &key)
{
	std::string text =
		"{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":1},"
		"{\"key\":\"" +
		key +
		"\",\"value\":\"eA==\",\"offset\":2},"
		"{\"key\":\"z\",\"value\":\"eA==\",\"offset\":3}],"
		"\"hasMore\":false,\"endOffset\":4}";
	std::vector<std::string> keys;
	store_reply r = {};
	arena a;

	arena_init(&a);
	EXPECT_EQ(store_newest_parse({text.data(), text.size()}, &r, &a), 0)
		<< key;
	EXPECT_EQ(r.end, 4u);
	for (size_t i = 0; i < r.count; i++)
		keys.emplace_back(r.records[i].key.data, r.records[i].key.len);
	arena_finish(&a);
	return keys;
}

/*
 * Against an owner that sees no worker: one key of another writer that JSON
 * escapes as U+0000, as half of a surrogate pair, or that is not Unicode made
 * the decoder refuse the whole listing.
 */
TEST(StoreNewest, LeavesOutAKeyThatNamesNothing)
{
	const std::vector<std::string> rest = {"a", "z"};
	const char *const odd[] = {
		"w\\u0000x",        /* U+0000 */
		"\\u0000",          /* nothing else */
		"w\\u001fx",        /* another control character */
		"w\\r\\nHost: x",   /* would end a line of a header */
		"w\x7f",            /* the last one in ASCII */
		"w\\ud800x",        /* the first half of a pair */
		"w\\udc00x",        /* the second half */
		"w\\ud800\\ud800x", /* two first halves */
		"w\\ud83d",         /* at the end */
		"w\xff\xfex",       /* no UTF-8 at all */
		"w\xc3",            /* a sequence that is cut off */
		"w\xed\xa0\x80x",   /* half of a pair, in UTF-8 */
		"\xf0\x9f\x98",     /* three bytes of four */
	};

	for (const char *key : odd)
		EXPECT_EQ(listed_beside(key), rest) << key;
}

TEST(StoreNewest, KeepsAKeyOfOtherScripts)
{
	for (const char *key : {"b\xc3\xa9", "b\xf0\x9f\x98\x80", "b c"})
		EXPECT_EQ(listed_beside(key),
			  std::vector<std::string>({"a", key, "z"}));
	EXPECT_EQ(listed_beside("b\\ud83d\\ude00"),
		  std::vector<std::string>({"a", "b\xf0\x9f\x98\x80", "z"}));
	/* An escaped backslash before a "u" begins no escape. */
	EXPECT_EQ(listed_beside("b\\\\ud800"),
		  std::vector<std::string>({"a", "b\\ud800", "z"}));
}

/* Against a worker that is taken for gone, as another writer deletes a key that
 * begins with its name and U+0000. */
TEST(StoreRead, LeavesOutAKeyThatNamesNothing)
{
	std::string body(16, '\0');
	const char odd[] = "w\0x";
	store_reply r = {};
	buf b;
	arena a;

	arena_init(&a);
	buf_init(&b);
	store_record_add(&b, {odd, 3}, str_of("v"));
	store_record_add(&b, str_of("w"), str_of("v"));
	body[7] = 2;
	body.append(b.data, b.len);
	ASSERT_EQ(store_read_parse({body.data(), body.size()}, 0, &r, &a), 0);
	ASSERT_EQ(r.count, 2u);
	EXPECT_EQ(r.records[0].key.len, 0u);
	EXPECT_EQ(r.records[0].value.len, 0u);
	EXPECT_EQ(r.records[1].offset, 1u);
	EXPECT_TRUE(str_eq(r.records[1].key, str_of("w")));
	buf_finish(&b);
	arena_finish(&a);
}

/* Against a host that stops following a topic at a record without contents. */
TEST(StoreRead, GoesOnBehindAnEmptyRecord)
{
	std::string body(16 + 4, '\0');
	store_reply r = {};
	buf b;
	arena a;

	arena_init(&a);
	buf_init(&b);
	store_record_add(&b, str_of("w"), str_of("v"));
	body.append(b.data, b.len);
	body.append(4, '\0');
	ASSERT_EQ(store_read_parse({body.data(), body.size()}, 7, &r, &a), 0);
	ASSERT_EQ(r.count, 3u);
	EXPECT_EQ(r.records[0].key.len, 0u);
	EXPECT_EQ(r.records[1].offset, 8u);
	EXPECT_TRUE(str_eq(r.records[1].key, str_of("w")));
	EXPECT_EQ(r.records[2].offset, 9u);
	buf_finish(&b);
	arena_finish(&a);
}

/*
 * Against calls to no host and name lookups, which block: an address of another
 * writer that is not an IP number and a port.
 */
TEST(WorkerEntry, RejectsAnAddressThatCannotBeCalled)
{
	worker_entry e;

	for (const char *address :
	     {"10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
	      "10.0.0.9:99999999999999999999", "10.0.0.9:80/x", "10.0.0.9: 80",
	      "10.0.0.9:80x", "a.example:80", "10.0.0:80", "[::1]:80", ":80"}) {
		std::string text = "{\"service\":\"p\",\"address\":\"" +
				   std::string(address) +
				   "\",\"state\":\"ready\",\"capacity\":{"
				   "\"cpu\":1}}";

		EXPECT_EQ(worker_entry_parse(str_of("i-1"),
					     str_of(text.c_str()), &e),
			  -EINVAL)
			<< address;
	}
}

} /* namespace */
