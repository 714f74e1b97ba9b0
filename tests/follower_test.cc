#include <gtest/gtest.h>

#include "host/follower.h"
#include "tests/fake_store.h"

namespace
{

struct Sink {
	std::map<std::string, std::string> keys;
	int listings = 0;
	std::map<std::string, std::string> listed;
	bool in_listing = false;
};

const follower_ops sink_ops = {
	[](void *ctx) {
		Sink *s = (Sink *)ctx;
		s->in_listing = true;
		s->listed.clear();
	},
	[](void *ctx, const store_record *r) {
		Sink *s = (Sink *)ctx;
		std::string key(r->key.data, r->key.len);
		std::string value(r->value.data, r->value.len);
		s->keys[key] = value;
		if (s->in_listing)
			s->listed[key] = value;
	},
	[](void *ctx) {
		Sink *s = (Sink *)ctx;
		s->in_listing = false;
		s->listings++;
		s->keys = s->listed;
	},
};

class Follower : public testing::Test
{
      protected:
	void SetUp() override
	{
		follower_init(&f, &store.ops, &store, "keyed.t", 0, &sink_ops,
			      &sink);
		f.read_gap_ms = 100;
		follower_start(&f, now);
	}

	void TearDown() override
	{
		follower_finish(&f);
	}

	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += 10) {
			store.now = now;
			follower_tick(&f, now);
			store.run();
		}
	}

	FakeStore store;
	Sink sink;
	follower f;
	int64_t now = 1000;
};

TEST_F(Follower, ListsThenReadsNewRecords)
{
	store.put("keyed.t", "a", "1");
	store.put("keyed.t", "a", "2");
	run(50);
	EXPECT_EQ(sink.keys["a"], "2");
	store.put("keyed.t", "b", "3");
	run(300);
	EXPECT_EQ(sink.keys["b"], "3");
	EXPECT_TRUE(follower_is_fresh(&f, now, 200));
}

TEST_F(Follower, ListsInPages)
{
	store.page = 3;
	for (int i = 0; i < 10; i++)
		store.put("keyed.t", "k" + std::to_string(i), "v");
	run(200);
	EXPECT_EQ(sink.keys.size(), 10u);
	EXPECT_EQ(sink.listings, 1);
}

TEST_F(Follower, ListsAgainWhenUnreadRecordsWereTrimmed)
{
	store.put("keyed.t", "a", "1");
	run(50);
	store.put("keyed.t", "b", "2");
	store.put("keyed.t", "a", "");
	store.put("keyed.t", "c", "3");
	store.trimmed = 3;
	run(500);
	EXPECT_EQ(sink.listings, 2);
	EXPECT_EQ(sink.keys.count("a"), 0u);
	EXPECT_EQ(sink.keys.count("b"), 1u);
}

TEST_F(Follower, IsNotFreshWhileTheStoreIsUnavailable)
{
	run(50);
	store.mode = FakeStore::UNAVAILABLE;
	run(2000);
	EXPECT_FALSE(follower_is_fresh(&f, now, 1500));
	size_t calls = store.calls;
	run(4000);
	EXPECT_LE(store.calls - calls, 8u); /* backed off */
	store.mode = FakeStore::SERVE;
	run(1500);
	EXPECT_TRUE(follower_is_fresh(&f, now, 1000));
}

TEST_F(Follower, ExtraReadCatchesUpBetweenReads)
{
	run(50);
	store.now = now = 5000;
	follower_read_now(&f);
	store.run();
	EXPECT_EQ(f.caught_up_ms, 5000);
}

/*
 * Against a store that stays overloaded: each waiting query of a caller makes
 * its host read at once, and hosts that read again as soon as they are refused
 * take up all reads of the store, so that none catches up.
 */
TEST_F(Follower, PausesExtraReadsThatTheStoreRefuses)
{
	size_t calls;

	run(50);
	store.mode = FakeStore::UNAVAILABLE;
	f.held = true; /* no other reads */
	calls = store.calls;
	for (int i = 0; i < 200; i++) {
		run(10);
		follower_read_now(&f);
		store.run();
	}
	EXPECT_GE(store.calls - calls, 3u);
	EXPECT_LE(store.calls - calls, 8u);
	store.mode = FakeStore::SERVE;
	for (int i = 0; i < 200; i++) {
		run(10);
		follower_read_now(&f);
		store.run();
	}
	/* Without refusals, it reads each time that it is asked to. */
	calls = store.calls;
	for (int i = 0; i < 20; i++) {
		run(10);
		follower_read_now(&f);
		store.run();
	}
	EXPECT_EQ(store.calls - calls, 20u);
}

/*
 * Against keys that stay after they were deleted, where a follower that is
 * behind lists the partition instead of reading what it has missed.
 */
TEST_F(Follower, ListsInsteadOfReadingWhatItHasMissed)
{
	follower_ops newest = sink_ops;

	newest.newest_only = true;
	f.ops = &newest;
	store.put("keyed.t", "a", "1");
	store.put("keyed.t", "b", "1");
	run(50);
	store.read_max = 2;
	store.put("keyed.t", "b", "");
	store.put("keyed.t", "a", "2");
	store.put("keyed.t", "a", "3");
	store.put("keyed.t", "c", "1");
	run(500);
	EXPECT_EQ(sink.listings, 2);
	EXPECT_EQ(sink.keys,
		  (std::map<std::string, std::string>{{"a", "3"}, {"c", "1"}}));
	store.mode = FakeStore::UNAVAILABLE;
	run(5000);
	store.put("keyed.t", "c", "");
	store.mode = FakeStore::SERVE;
	run(2000);
	EXPECT_EQ(sink.listings, 3);
	EXPECT_EQ(sink.keys.count("c"), 0u);
	EXPECT_TRUE(follower_is_fresh(&f, now, 500));
}

/*
 * Against an evacuation that is taken back, and an old configuration that is
 * taken for the newest: a store whose reads lie behind answers a listing, or a
 * read, by an end before what is known.
 */
TEST_F(Follower, TakesNoReplyThatIsOlderThanWhatItKnows)
{
	follower_ops newest = sink_ops;
	store_ops stale = store.ops;

	newest.newest_only = true;
	f.ops = &newest;
	store.put("keyed.t", "a", "1");
	store.put("keyed.t", "b", "1");
	run(50);
	stale.read_newest = [](void *p, const char *, uint32_t, str,
			       store_done d, void *ctx) {
		FakeStore *s = (FakeStore *)p;
		int64_t sent = s->now;

		s->pending.push_back([=]() {
			store_record row = {str_of("a"), str_of("0"), 0};
			store_reply r = {};

			r.records = &row;
			r.count = 1;
			r.end = 1;
			r.sent_ms = sent;
			r.received_ms = s->now;
			d(ctx, &r);
		});
	};
	stale.read = [](void *p, const char *, uint32_t, uint64_t, uint32_t,
			store_done d, void *ctx) {
		FakeStore *s = (FakeStore *)p;
		int64_t sent = s->now;

		s->pending.push_back([=]() {
			store_reply r = {};

			r.end = 1;
			r.sent_ms = sent;
			r.received_ms = s->now;
			d(ctx, &r);
		});
	};
	f.store = &stale;
	run(3000);
	EXPECT_FALSE(follower_is_fresh(&f, now, 2000));
	f.loaded = false;
	run(3000);
	EXPECT_EQ(sink.keys,
		  (std::map<std::string, std::string>{{"a", "1"}, {"b", "1"}}));
	f.store = &store.ops;
	run(2000);
	EXPECT_TRUE(follower_is_fresh(&f, now, 500));
	EXPECT_EQ(sink.keys.size(), 2u);
}

/* The listing ended with a page of which nothing could be decoded, and all that
 * the pages after it hold counted as deleted. */
TEST_F(Follower, TakesNoListingForCompleteThatGoesOn)
{
	store_ops broken = store.ops;

	broken.read_newest = [](void *p, const char *, uint32_t, str after,
				store_done d, void *ctx) {
		((FakeStore *)p)->pending.push_back([=]() {
			store_record row = {str_of("a"), str_of("1"), 0};
			store_reply r = {};

			r.records = &row;
			r.count = after.len ? 0 : 1;
			r.has_more = true;
			d(ctx, &r);
		});
	};
	f.store = &broken;
	run(500);
	EXPECT_FALSE(f.loaded);
	EXPECT_EQ(sink.listings, 0);
	f.store = &store.ops;
	store.put("keyed.t", "a", "1");
	store.put("keyed.t", "b", "2");
	run(2000);
	EXPECT_EQ(sink.keys.size(), 2u);
}

/* The listing of workers began again for ever behind a page of which no record
 * could be used, and the owner knew no worker. */
TEST_F(Follower, ListsOnBehindAPageWithoutAUsableRecord)
{
	store.page = 3;
	for (int i = 0; i < 7; i++)
		store.put("keyed.t", "a" + std::to_string(i) + "\n", "1");
	store.put("keyed.t", "w1", "1");
	store.put("keyed.t", "w2\n", "1");
	run(500);
	EXPECT_EQ(sink.listings, 1);
	EXPECT_EQ(sink.keys, (std::map<std::string, std::string>{{"w1", "1"}}));
	EXPECT_EQ(store.pages, 3u);
}

/* The same at the edges of pages: before, between and behind the usable keys.
 */
TEST_F(Follower, ListsOnBehindAnyNumberOfUnusableKeys)
{
	const std::string odd[] = {"\n", std::string("\0x", 2),
				   std::string(247, '\x7f')};
	int topic = 0;

	for (int n : {499, 500, 501, 1501})
		for (const char *before : {"a", "n", "z"})
			for (const std::string &tail : odd) {
				std::string name =
					"keyed." + std::to_string(topic++);
				for (int i = 0; i < n; i++)
					store.put(name,
						  before + std::to_string(i) +
							  tail,
						  "1");
				store.put(name, "m", "1");
				store.put(name, "w", "1");
				store.put(name, "", "1");
				follower_finish(&f);
				sink = Sink();
				follower_init(&f, &store.ops, &store,
					      name.c_str(), 0, &sink_ops,
					      &sink);
				follower_start(&f, now);
				run(100);
				EXPECT_EQ(sink.listings, 1) << n << before;
				EXPECT_EQ(sink.keys.count("m"), 1u);
				EXPECT_EQ(sink.keys.count("w"), 1u);
			}
}

/* Where a key cannot be told exactly, pages may repeat: the listing went on for
 * ever without a pause. */
class FollowerOfRepeatedPages : public Follower
{
      protected:
	void SetUp() override
	{
		Follower::SetUp();
		repeated = store.ops;
		repeated.read_newest = [](void *p, const char *, uint32_t, str,
					  store_done d, void *ctx) {
			send_page((FakeStore *)p, "a", "z\x7f", d, ctx);
		};
		store.put("keyed.t", "a", "1");
		f.store = &repeated;
	}

	/* A page with one record, behind which more follow. */
	static void send_page(FakeStore *s, const std::string &key,
			      const std::string &last_key, store_done d,
			      void *ctx)
	{
		s->pages++;
		s->pending.push_back([=]() {
			store_record row = {{key.data(), key.size()},
					    str_of("1"),
					    0};
			store_reply r = {};

			r.records = &row;
			r.count = 1;
			r.end = 1;
			r.has_more = true;
			r.last_key = {last_key.data(), last_key.size()};
			d(ctx, &r);
		});
	}

	store_ops repeated;
};

TEST_F(FollowerOfRepeatedPages, PausesBetweenListings)
{
	run(10000);
	EXPECT_FALSE(f.loaded);
	EXPECT_EQ(sink.listings, 0);
	EXPECT_LT(store.pages, 40u);
}

TEST_F(FollowerOfRepeatedPages, ReadsKeysThatAreWrittenAgain)
{
	follower_ops refreshed = sink_ops;

	refreshed.is_refreshed = true;
	f.ops = &refreshed;
	sink.keys["former"] = "1";
	run(500);
	store.put("keyed.t", "w1", "1");
	run(500);
	EXPECT_EQ(sink.keys, (std::map<std::string, std::string>{
				     {"a", "1"}, {"former", "1"}, {"w1", "1"}}))
		<< "a key that was not listed may exist";
	EXPECT_EQ(store.pages, 2u);
}

/* The listing went round in such a cycle without a pause and kept the records
 * of each page, until the host ran out of memory. */
TEST_F(FollowerOfRepeatedPages, EndsAListingThatComesBackToAnEarlierPage)
{
	follower_ops refreshed = sink_ops;

	refreshed.is_refreshed = true;
	f.ops = &refreshed;
	repeated.read_newest = [](void *p, const char *, uint32_t, str after,
				  store_done d, void *ctx) {
		static const std::map<std::string, std::string> next = {
			{"", "c"},  {"c", "d"}, {"d", "e"},
			{"e", "x"}, {"x", "b"}, {"b", "d"}};
		std::string key = next.at(std::string(after.data, after.len));

		send_page((FakeStore *)p, key, key, d, ctx);
	};
	run(500);
	EXPECT_TRUE(f.loaded);
	EXPECT_LT(store.pages, 20u);
	EXPECT_EQ(sink.keys.size(), 5u);
}

} /* namespace */
