#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/ledger.h"

static const char service_text[] =
	"{\"kind\":\"service\",\"name\":\"tally\",\"version\":1,"
	"\"owner\":\"authority\",\"team\":\"t\",\"class\":\"batch\","
	"\"idempotent\":true,\"urgency\":3,\"cpu_milli\":1000,"
	"\"memory_mb\":100,\"deadline_ms\":60000,\"run_ms\":1000,"
	"\"zones\":[\"z\"]}";

class Ledger : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		config_init(&cfg);
		config_apply(&cfg, 0, str_of(service_text));
		ledger_init(&l, true);
	}
	void TearDown() override
	{
		config_finish(&cfg);
	}

	/* Appends one batch; incarnation 7 is its writer. */
	void append(uint64_t epoch, uint64_t seq,
		    const std::vector<struct record> &records)
	{
		struct batch b = {7, seq, epoch, {}};
		struct buf one, text;
		struct str s;

		buf_init(&one);
		buf_init(&text);
		for (auto &r : records) {
			if (one.len)
				buf_adds(&one, ",");
			record_write(&r, &one);
		}
		s.data = one.data;
		s.len = one.len;
		batch_write(&b, s, &text);
		texts.emplace_back(text.data, text.len);
		buf_finish(&one);
		buf_finish(&text);
	}
	struct ledger_mismatch read(uint64_t first)
	{
		struct ledger_mismatch m = {};
		std::vector<struct log_entry> e;
		struct log_read r = {};

		for (uint64_t i = first; i < texts.size(); i++)
			e.push_back({i, {texts[i].data(), texts[i].size()}});
		r.first = first;
		r.head = texts.size();
		r.entries = e.data();
		r.count = e.size();
		ledger_init(&l, true);
		ledger_replay(&l, &cfg, &r, &m);
		return m;
	}
	static struct record rec(uint32_t kind, uint32_t attempt, uint64_t cpu)
	{
		struct record r = {};

		r.kind = kind;
		r.job = 1;
		r.attempt = attempt;
		r.cpu_ms = cpu;
		r.state = TASK_STOPPED;
		name_set(r.service, "tally");
		name_set(r.key, "k");
		return r;
	}
	static struct record bill(uint64_t cpu, uint64_t attempts)
	{
		struct record r = {};

		r.kind = RECORD_BILL;
		name_set(r.name, "authority");
		r.cpu_ms = cpu;
		r.digest = attempts;
		return r;
	}
	void history()
	{
		struct record claim = {};

		claim.kind = RECORD_CLAIM;
		claim.owner = 7;
		append(0, 1, {claim});
		append(1, 2,
		       {rec(RECORD_ACCEPT, 0, 0), rec(RECORD_START, 1, 0)});
		append(1, 3, {rec(RECORD_OVER, 1, 30)});
		append(1, 3, {rec(RECORD_OVER, 1, 30)});
		append(1, 4, {rec(RECORD_START, 2, 0)});
		append(1, 5, {rec(RECORD_FINISH, 2, 12)});
	}

	struct config cfg;
	struct ledger l;
	std::vector<std::string> texts;
};

TEST_F(Ledger, CountsEachAttemptOnce)
{
	history();
	append(1, 6, {bill(42, 2)});
	EXPECT_FALSE(read(0).found);
	ASSERT_EQ(l.count, 1u);
	EXPECT_STREQ(l.lines[0].owner, "authority");
	EXPECT_EQ(l.lines[0].cpu_ms, 42u);
	EXPECT_EQ(l.lines[0].attempts, 2u);
}

TEST_F(Ledger, ReportsTheFirstBillThatDiffers)
{
	struct ledger_mismatch m;

	history();
	append(1, 6, {bill(43, 2)});
	append(1, 7, {bill(44, 2)});
	m = read(0);
	ASSERT_TRUE(m.found);
	EXPECT_EQ(m.offset, 6u);
	EXPECT_EQ(m.stated_ms, 43u);
	EXPECT_EQ(m.computed_ms, 42u);
}

TEST_F(Ledger, TotalsOutliveTheRetentionOfEntries)
{
	struct record mark = {};

	history();
	mark.kind = RECORD_MARK;
	mark.epoch = 1;
	mark.owner = 7;
	append(1, 6, {mark});
	append(1, 7, {bill(42, 2)});
	EXPECT_FALSE(read(6).found);
	EXPECT_EQ(l.lines[0].cpu_ms, 42u);
}

TEST_F(Ledger, IgnoresRecordsOfAPreviousOwner)
{
	struct record claim = {};

	history();
	claim.kind = RECORD_CLAIM;
	claim.epoch = 1;
	claim.owner = 8;
	append(1, 6, {claim});
	append(1, 7, {rec(RECORD_FINISH, 2, 500)});
	EXPECT_FALSE(read(0).found);
	EXPECT_EQ(l.lines[0].cpu_ms, 42u);
}
