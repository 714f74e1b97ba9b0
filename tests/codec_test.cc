#include <gtest/gtest.h>

#include <cerrno>

#include "base/rng.h"
#include "core/msg.h"
#include "core/record.h"
#include "host/relay_wire.h"

static struct msg make_sample(struct task_status *tasks,
			      struct owned_shard *owned)
{
	struct msg m = {};

	m.kind = MSG_INVENTORY;
	m.from = UINT64_MAX;
	m.corr = 7;
	m.deadline_ms = -5;
	m.res.cpu_milli = 1500;
	name_set(m.service, "check-in");
	m.payload = str_of("bytes");
	tasks[0].job = 3;
	tasks[0].res.slots = 1;
	tasks[0].result = str_of("done");
	tasks[1].job = 4;
	m.tasks.items = tasks;
	m.tasks.count = 2;
	owned[0].shard = 9;
	m.owned.items = owned;
	m.owned.count = 1;
	return m;
}

TEST(Msg, RoundTrips)
{
	struct task_status tasks[2] = {};
	struct owned_shard owned[1] = {};
	struct msg m = make_sample(tasks, owned), decoded;
	const struct task_status *t;
	struct arena a;
	struct buf b;

	arena_init(&a);
	buf_init(&b);
	msg_pack(&m, &b);
	ASSERT_EQ(msg_unpack(b.data, b.len, &decoded, &a), 0);
	EXPECT_EQ(decoded.from, UINT64_MAX);
	EXPECT_EQ(decoded.deadline_ms, -5);
	EXPECT_STREQ(decoded.service, "check-in");
	EXPECT_TRUE(str_eq(decoded.payload, m.payload));
	ASSERT_EQ(decoded.tasks.count, 2u);
	t = (const struct task_status *)decoded.tasks.items;
	EXPECT_EQ(t[0].res.slots, 1u);
	EXPECT_TRUE(str_eq(t[0].result, str_of("done")));
	EXPECT_EQ(t[1].job, 4u);
	ASSERT_EQ(decoded.owned.count, 1u);
	buf_finish(&b);
	arena_finish(&a);
}

TEST(Msg, RejectsTruncatedOrCorruptedInput)
{
	struct task_status tasks[2] = {};
	struct owned_shard owned[1] = {};
	struct msg m = make_sample(tasks, owned), decoded;
	struct rng rng = {5};
	struct buf b;
	size_t i;

	buf_init(&b);
	msg_pack(&m, &b);
	for (i = 0; i < b.len; i++) {
		struct arena a;

		arena_init(&a);
		EXPECT_NE(msg_unpack(b.data, i, &decoded, &a), 0) << i;
		arena_finish(&a);
	}
	/*
	 * Corrupted bytes may still decode, but must neither crash the decoder
	 * nor make it read past the end.
	 */
	for (i = 0; i < 20000; i++) {
		struct arena a;
		std::string text(b.data, b.len);

		text[rng_below(&rng, text.size())] = (char)rng_next(&rng);
		text[rng_below(&rng, text.size())] = (char)rng_next(&rng);
		arena_init(&a);
		if (!msg_unpack(text.data(), text.size(), &decoded, &a)) {
			EXPECT_LT(decoded.kind, (uint32_t)MSG_KIND_MAX);
		}
		arena_finish(&a);
	}
	buf_finish(&b);
}

TEST(Record, BatchRoundTrips)
{
	struct record r = {};
	struct batch b = {}, decoded;
	struct buf record_text, text;
	struct str records, batch_text;
	struct arena a;

	buf_init(&record_text);
	buf_init(&text);
	arena_init(&a);
	r.kind = RECORD_FINISH;
	r.job = 0xfedcba9876543210ULL;
	r.at_ms = 1234;
	name_set(r.key, "quote \" and \\ and é");
	r.result = str_of("line\nbreak");
	record_write(&r, &record_text);
	records.data = record_text.data;
	records.len = record_text.len;
	b.writer = 1ULL << 63;
	b.seq = 2;
	b.epoch = 3;
	batch_write(&b, records, &text);
	EXPECT_EQ(memchr(text.data, '\n', text.len), nullptr)
		<< "a log entry must be a single line";
	batch_text.data = text.data;
	batch_text.len = text.len;
	ASSERT_EQ(batch_read(batch_text, &decoded, &a), 0);
	EXPECT_EQ(decoded.writer, b.writer);
	ASSERT_EQ(decoded.records.count, 1u);
	EXPECT_EQ(((struct record *)decoded.records.items)->job, r.job);
	EXPECT_STREQ(((struct record *)decoded.records.items)->key, r.key);
	EXPECT_NE(batch_read(str_of("{\"w\":"), &decoded, &a), 0);
	EXPECT_NE(batch_read(str_of("{\"w\":\"x\"}"), &decoded, &a), 0);
	buf_finish(&record_text);
	buf_finish(&text);
	arena_finish(&a);
}

/*
 * msgpack-c allocates by the count that a list states. A record or a message of
 * another host with a count of four bytes made it ask for up to 200 GB.
 */
TEST(Shape, RejectsListsWithACountOfFourBytes)
{
	const char two_bytes[] = {'\x81', 0, '\xdc', 0, 0};
	const char four_bytes[] = {'\x81', 0, '\xdd', 0, 0, 0, 0};
	const char behind_extension[] = {'\x82', 0, '\xdc', 0, 0, 9,
					 '\xc7', 2, 0,      1, 1};
	struct relay_batch b = {};
	struct arena a;

	arena_init(&a);
	EXPECT_EQ(shape_read(&relay_batch_shape, {two_bytes, sizeof(two_bytes)},
			     &b, &a),
		  0);
	EXPECT_EQ(shape_read(&relay_batch_shape,
			     {four_bytes, sizeof(four_bytes)}, &b, &a),
		  -EBADMSG);
	EXPECT_EQ(shape_read(&relay_batch_shape,
			     {behind_extension, sizeof(behind_extension)}, &b,
			     &a),
		  -EBADMSG);
	arena_finish(&a);
}
