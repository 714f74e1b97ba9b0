#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/config.h"

static std::string zone(int version, const char *state)
{
	return "{\"kind\":\"zone\",\"name\":\"z\",\"version\":" +
	       std::to_string(version) + ",\"region\":\"r\",\"state\":\"" +
	       state + "\",\"racks\":[\"a\"]}";
}

static int apply(struct config *c, uint64_t offset, const std::string &s)
{
	struct str text = {s.data(), s.size()};

	return config_apply(c, offset, text);
}

class Config : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		config_init(&c);
	}
	void TearDown() override
	{
		config_finish(&c);
	}

	uint64_t version() const
	{
		const struct document *d = config_get(&c, DOCUMENT_ZONE, "z");

		return d ? d->version : 0;
	}

	struct config c;
};

TEST_F(Config, FirstOfTwoRacingOperatorsWins)
{
	EXPECT_EQ(apply(&c, 0, zone(1, "in")), 1);
	EXPECT_EQ(apply(&c, 1, zone(2, "out")), 1);
	EXPECT_EQ(apply(&c, 2, zone(2, "in")), 0);
	EXPECT_TRUE(config_is_zone_out(&c, "z"));
	EXPECT_EQ(version(), 2u);
}

TEST_F(Config, NeverRevertsToAnOlderVersion)
{
	struct buf snapshot;

	apply(&c, 0, zone(1, "in"));
	buf_init(&snapshot);
	config_write_snapshot(&c, &snapshot);
	apply(&c, 1, zone(2, "out"));
	apply(&c, 2, std::string(snapshot.data, snapshot.len));
	EXPECT_EQ(version(), 2u);
	EXPECT_EQ(apply(&c, 1, zone(1, "in")), 0) << "an old offset";
	EXPECT_EQ(apply(&c, 9, zone(1, "in")), 0) << "an old version";
	EXPECT_TRUE(config_is_zone_out(&c, "z"));
	buf_finish(&snapshot);
}

/*
 * Entries below offset 1 are past retention. The snapshot at offset 2 covers
 * the entries below offset 1: version 3 was appended at offset 1 after the
 * snapshot had been taken and before the snapshot was appended.
 */
TEST_F(Config, LateReaderReplaysWhatTheSnapshotDoesNotCover)
{
	struct config old;
	struct buf snapshot;
	std::string third = zone(3, "out"), fourth = zone(4, "in");
	struct log_entry e[3];
	struct log_read r = {};

	config_init(&old);
	apply(&old, 0, zone(1, "in"));
	old.offset = 0;
	apply(&old, 0, zone(2, "in"));
	buf_init(&snapshot);
	config_write_snapshot(&old, &snapshot);
	e[0] = {1, {third.data(), third.size()}};
	e[1] = {2, {snapshot.data, snapshot.len}};
	e[2] = {3, {fourth.data(), fourth.size()}};
	r.first = 1;
	r.head = 4;
	r.entries = e;
	r.count = 3;
	config_load(&c, &r);
	EXPECT_EQ(version(), 4u);
	EXPECT_EQ(c.offset, 4u);
	config_finish(&old);
	buf_finish(&snapshot);
}

TEST_F(Config, AppliesNothingWithoutAUsableSnapshot)
{
	std::string text = zone(7, "in");
	struct log_entry e = {9, {text.data(), text.size()}};
	struct log_read r = {};

	r.first = 9;
	r.head = 10;
	r.entries = &e;
	r.count = 1;
	EXPECT_EQ(config_load(&c, &r), 0);
	EXPECT_NE(c.offset, r.head)
		<< "unapplied entries must not count as read";
}

static void collect(void *ctx, const char *path, const char *reason)
{
	((std::vector<std::string> *)ctx)
		->push_back(std::string(path) + ": " + reason);
}

static std::vector<std::string> errors(const char *text)
{
	std::vector<std::string> all;
	struct validation_sink sink = {collect, &all};
	struct document d;

	if (!document_parse(&d, str_of(text), &sink))
		document_finish(&d);
	return all;
}

TEST(Document, ReportsEveryErrorWithItsPath)
{
	auto all = errors("{\"kind\":\"zone\",\"name\":\"\",\"version\":0,"
			  "\"state\":\"gone\",\"racks\":[\"a\",\"a\",3],"
			  "\"colour\":1}");

	EXPECT_EQ(all.size(), 7u);
	EXPECT_EQ(all[0].substr(0, 5), "name:");
	EXPECT_EQ(all[1].substr(0, 8), "version:");
	EXPECT_EQ(all[2], "region: is missing");
	EXPECT_EQ(all[3], "state: must be one of in|out");
	EXPECT_EQ(all[4], "racks[1]: appears twice in the list");
	EXPECT_EQ(all[5].substr(0, 9), "racks[2]:");
	EXPECT_EQ(all[6], "colour: is not a valid key for this kind");
}

TEST(Document, RejectsInvalidDocuments)
{
	EXPECT_EQ(errors("[1]").size(), 1u);
	EXPECT_EQ(errors("{").size(), 1u);
	EXPECT_EQ(
		errors("{\"kind\":\"x\",\"name\":\"a\",\"version\":1}").size(),
		1u);
}

TEST_F(Config, RegionKeepsItsNumberOfJobShards)
{
	const char *one = "{\"kind\":\"region\",\"name\":\"r\",\"version\":1,"
			  "\"zones\":[\"z\"],\"job_shards\":4}";
	const char *two = "{\"kind\":\"region\",\"name\":\"r\",\"version\":2,"
			  "\"zones\":[\"z\"],\"job_shards\":5}";

	EXPECT_EQ(apply(&c, 0, one), 1);
	EXPECT_EQ(apply(&c, 1, two), 0);
}
