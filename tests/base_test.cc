#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "base/buf.h"
#include "base/event.h"
#include "base/index.h"
#include "base/lock.h"
#include "base/setting.h"
#include "base/verdict.h"

#include <errno.h>
#include <pthread.h>

TEST(Str, LongNameIsTruncatedWithError)
{
	char name[NAME_SIZE];
	std::string longer(NAME_SIZE, 'x');

	EXPECT_EQ(name_set(name, "short"), 0);
	EXPECT_STREQ(name, "short");
	EXPECT_EQ(name_set(name, longer.c_str()), -ENAMETOOLONG);
	EXPECT_EQ(strlen(name), NAME_SIZE - 1u);
}

TEST(Str, PairHashDependsOnOrder)
{
	EXPECT_NE(pair_hash("a", "b"), pair_hash("b", "a"));
	EXPECT_NE(pair_hash("ab", "c"), 0u);
}

TEST(Buf, GrowsAndRemovesFromFront)
{
	struct buf b;
	int i;

	buf_init(&b);
	for (i = 0; i < 1000; i++)
		buf_addf(&b, "%d,", i);
	EXPECT_EQ(strncmp(b.data, "0,1,2,", 6), 0);
	buf_drop(&b, 4);
	EXPECT_EQ(strncmp(b.data, "2,3,", 4), 0);
	EXPECT_EQ(strlen(b.data), b.len);
	buf_finish(&b);
}

TEST(Arena, EarlierAllocationsStayValid)
{
	struct arena a;
	struct str first;
	int i;

	arena_init(&a);
	first = arena_str(&a, "first", 5);
	for (i = 0; i < 200; i++)
		arena_alloc(&a, 100);
	EXPECT_STREQ(first.data, "first");
	arena_finish(&a);
}

TEST(Index, FindsReplacesAndRemoves)
{
	struct index x;
	int a = 1, b = 2;
	uint64_t i;

	index_init(&x);
	for (i = 1; i <= 5000; i++)
		index_put(&x, i, &a);
	index_put(&x, 77, &b);
	EXPECT_EQ(index_get(&x, 77), &b);
	EXPECT_EQ(index_count(&x), 5000u);
	EXPECT_EQ(index_remove(&x, 77), &b);
	EXPECT_EQ(index_get(&x, 77), nullptr);
	EXPECT_EQ(index_remove(&x, 77), nullptr);
	index_finish(&x);
}

/* An insertion passed the places of all ids that had been removed: the relay's
 * table of pending calls, which come and go, made each call take 16 us. */
TEST(Index, KeepsFewPlacesOfRemovedIds)
{
	const uint64_t kept = 3000;
	struct index x;
	size_t most = 0;
	uint64_t i;
	int a = 1;

	index_init(&x);
	for (i = 1; i <= 100000; i++) {
		index_put(&x, i, &a);
		if (i > kept) {
			EXPECT_EQ(index_remove(&x, i - kept), &a);
		}
		most = std::max(most, index_removed_count(&x));
	}
	EXPECT_LE(most, kept + 16);
	EXPECT_EQ(index_count(&x), kept);
	EXPECT_EQ(index_get(&x, i - 1 - kept), nullptr);
	for (i -= kept; i <= 100000; i++)
		EXPECT_EQ(index_get(&x, i), &a);
	index_finish(&x);
}

/* What was put under the id by which the hash table marks a removed entry was
 * not found again, and id 0 could not be put at all. */
TEST(Index, HoldsEachId)
{
	const uint64_t ids[] = {0, 1, UINT64_MAX - 1, UINT64_MAX};
	int values[4] = {}, other = 0;
	struct index x;

	index_init(&x);
	for (size_t i = 0; i < 4; i++) {
		EXPECT_EQ(index_get(&x, ids[i]), nullptr);
		EXPECT_EQ(index_remove(&x, ids[i]), nullptr);
		index_put(&x, ids[i], &other);
		index_put(&x, ids[i], &values[i]);
		EXPECT_EQ(index_count(&x), i + 1);
	}
	/* The table grows, and is made anew. */
	for (uint64_t id = 2; id <= 1000; id++)
		index_put(&x, id, &other);
	for (uint64_t id = 2; id <= 1000; id++)
		EXPECT_EQ(index_remove(&x, id), &other);
	EXPECT_EQ(index_count(&x), 4u);
	for (size_t i = 0; i < 4; i++) {
		EXPECT_EQ(index_get(&x, ids[i]), &values[i]);
		EXPECT_EQ(index_remove(&x, ids[i]), &values[i]);
		EXPECT_EQ(index_get(&x, ids[i]), nullptr);
		EXPECT_EQ(index_remove(&x, ids[i]), nullptr);
		EXPECT_EQ(index_count(&x), 3 - i);
	}
	index_finish(&x);
}

struct shared {
	struct lock lock;
	int value;
};

static void *increment_many(void *arg)
{
	struct shared *s = (struct shared *)arg;
	int i;

	for (i = 0; i < 20000; i++) {
		lock_take(&s->lock);
		s->value++;
		lock_give(&s->lock);
	}
	return NULL;
}

TEST(Lock, ProvidesMutualExclusion)
{
	struct shared s = {{0}, 0};
	pthread_t t[4];

	lock_init(&s.lock);
	for (auto &id : t)
		pthread_create(&id, NULL, increment_many, &s);
	for (auto &id : t)
		pthread_join(id, NULL);
	EXPECT_EQ(s.value, 80000);
}

TEST(Event, ClockOrdersCauseBeforeEffect)
{
	struct event_log a, b;
	uint64_t sent, after;

	event_log_init(&a, "a", "z");
	event_log_init(&b, "b", "z");
	/* The wall clock of b is five seconds behind. */
	sent = event_clock_tick(&a, 10000);
	event_clock_merge(&b, sent);
	after = event_clock_tick(&b, 5000);
	EXPECT_GT(after, sent);
	event_log_finish(&a);
	event_log_finish(&b);
}

TEST(Event, RingKeepsNewestEvents)
{
	struct event_log l;
	struct buf out;
	int i;

	event_log_init(&l, "p", "z");
	buf_init(&out);
	for (i = 0; i < EVENT_RING_SIZE + 10; i++)
		event_add(&l, 1000 + i, i ? "later" : "first", 0, 0, "");
	event_log_write(&l, 0, &out);
	EXPECT_EQ(strstr(out.data, "first"), nullptr);
	buf_clear(&out);
	event_log_write(&l, EVENT_RING_SIZE + 9, &out);
	EXPECT_NE(strstr(out.data, "later"), nullptr);
	buf_finish(&out);
	event_log_finish(&l);
}

static int parse(std::vector<const char *> args, struct setting *rows)
{
	struct settings s = {};
	int code;

	args.insert(args.begin(), "prog");
	s.program = "prog";
	s.about = "about";
	s.rows = rows;
	s.count = 1;
	code = settings_parse(&s, (int)args.size(), (char **)args.data());
	if (code < 0 && settings_number(&s, "size") != 7)
		code = 99;
	settings_finish(&s);
	return code;
}

TEST(Setting, ChecksRangeAndPrecedence)
{
	const struct setting row = {"size", "units", SETTING_NUMBER, 1,
				    9,      "7",     "help",         false};
	struct setting rows[1];

	rows[0] = row;
	EXPECT_EQ(parse({}, rows), -1);
	rows[0] = row;
	EXPECT_EQ(parse({"--size=10"}, rows), EXIT_CODE_USAGE);
	rows[0] = row;
	EXPECT_EQ(parse({"--size=7x"}, rows), EXIT_CODE_USAGE);
	rows[0] = row;
	EXPECT_EQ(parse({"--nosuch=1"}, rows), EXIT_CODE_USAGE);
	rows[0] = row;
	setenv("BASILSHIFT_SIZE", "12", 1);
	EXPECT_EQ(parse({}, rows), EXIT_CODE_USAGE);
	setenv("BASILSHIFT_SIZE", "3", 1);
	rows[0] = row;
	EXPECT_EQ(parse({"--size=7"}, rows), -1)
		<< "a flag overrides the environment variable";
	unsetenv("BASILSHIFT_SIZE");
}

TEST(Verdict, EveryReasonHasTableRow)
{
	int i;

	for (i = 0; i < REASON_MAX; i++) {
		ASSERT_NE(reason_table[i].name, nullptr) << i;
		EXPECT_GE(reason_table[i].http, 200) << i;
		EXPECT_NE(reason_table[i].help, nullptr) << i;
	}
	EXPECT_STREQ(verdict_name(VERDICT_NOT_RUN), "not_run");
}
