#include <gtest/gtest.h>

#include <memory>

#include "host/host.h"
#include "platform/config.h"
#include "tests/fake_store.h"

namespace
{

class HostOperators : public testing::Test
{
      protected:
	HostOperators() : h(new host())
	{
		index_init(&h->evacuated_zones);
		index_init(&h->listed_zones);
	}

	~HostOperators() override
	{
		index_finish(&h->evacuated_zones);
		index_finish(&h->listed_zones);
		queue_table_finish(&h->queues);
	}

	/* Returns what is logged. */
	std::string apply(const std::string &key, const std::string &value,
			  uint64_t offset)
	{
		store_record r = {{key.data(), key.size()},
				  {value.data(), value.size()},
				  offset};

		testing::internal::CaptureStderr();
		host_operator_ops.apply(h.get(), &r);
		return testing::internal::GetCapturedStderr();
	}

	static std::string config(int version)
	{
		return "{\"version\":" + std::to_string(version) +
		       ",\"routes\":[{\"name\":\"a\",\"host\":\"a.example\","
		       "\"pathPrefix\":\"/a/\",\"service\":\"pool\"}],"
		       "\"limits\":{}}";
	}

	bool is_evacuated(const char *zone)
	{
		return index_get(&h->evacuated_zones, name_hash(zone));
	}

	std::unique_ptr<host> h;
};

/* A record of the operators that cannot be decoded must not take away the
 * configuration in force, nor the records around it. */
TEST_F(HostOperators, SkipsRecordsThatCannotBeDecoded)
{
	const std::string zone = KEY_ZONE_EVACUATED;
	std::string log;

	apply(KEY_CONFIG, config(3), 1);
	ASSERT_EQ(h->queues.version, 3u);
	for (std::string bad :
	     {std::string("{"), std::string("\xff\xfe"), std::string("[]"),
	      std::string("{\"version\":4,\"routes\":7}"),
	      config(4).substr(0, 60)}) {
		log = apply(KEY_CONFIG, bad, 77);
		EXPECT_NE(log.find("offset=77"), std::string::npos) << bad;
		EXPECT_NE(log.find("error="), std::string::npos) << bad;
		EXPECT_EQ(h->queues.version, 3u) << bad;
		EXPECT_EQ(h->queues.count, 1u) << bad;
	}
	log = apply(zone + std::string(NAME_SIZE, 'z'), "{}", 78);
	EXPECT_NE(log.find("offset=78"), std::string::npos);
	log = apply(zone, "{}", 79);
	EXPECT_NE(log.find("offset=79"), std::string::npos);
	apply("some-other-key", "{}", 80);
	apply(zone + "z2", "\xff", 81);
	apply(KEY_CONFIG, config(5), 82);
	EXPECT_TRUE(is_evacuated("z2"));
	EXPECT_EQ(index_count(&h->evacuated_zones), 1u);
	EXPECT_EQ(h->queues.version, 5u);
}

/* A configuration that had been withdrawn came back with a record that was read
 * a second time. */
TEST_F(HostOperators, KeepsTheLatestConfiguration)
{
	apply(KEY_CONFIG, config(5), 1);
	apply(KEY_CONFIG, config(4), 2);
	EXPECT_EQ(h->queues.version, 5u);
	apply(KEY_CONFIG, "", 3);
	EXPECT_EQ(h->queues.version, 5u);
}

/* A configuration that cannot be decoded may have withdrawn a key. An older one
 * that was read a second time made the one in force count as the newest. */
TEST_F(HostOperators, AnOlderConfigurationDoesNotMakeTheOneInForceCurrent)
{
	h->operator_follower.caught_up_ms = 1000;
	h->now_ms = 2000;
	apply(KEY_CONFIG, config(5), 1);
	apply(KEY_CONFIG, "{", 2);
	h->operator_follower.caught_up_ms = 2000;
	apply(KEY_CONFIG, config(4), 3);
	EXPECT_EQ(host_config_age_ms(h.get()), 1000);
	apply(KEY_CONFIG, config(5), 4);
	EXPECT_EQ(host_config_age_ms(h.get()), 0);
}

/*
 * Against decoding a large configuration anew after each interruption: a
 * listing holds the one in force once more.
 */
TEST_F(HostOperators, DecodesNoConfigurationThatIsInForce)
{
	apply(KEY_CONFIG, config(5), 7);
	apply(KEY_CONFIG, config(5), 7);
	EXPECT_EQ(apply(KEY_CONFIG, "{", 7), "") << "it is not looked at";
	EXPECT_EQ(h->counts.configs_applied, 1u);
	apply(KEY_CONFIG, config(6), 8);
	EXPECT_EQ(h->queues.version, 6u);
}

/* A zone's evacuation was withdrawn by a record that was trimmed before this
 * host read it: the listing no longer holds the zone. */
TEST_F(HostOperators, OpensAZoneThatTheListingDoesNotHold)
{
	const std::string zone = KEY_ZONE_EVACUATED;

	host_operator_ops.begin(h.get());
	apply(zone + "z1", "{}", 1);
	apply(zone + "z2", "{}", 2);
	host_operator_ops.end(h.get());
	EXPECT_TRUE(is_evacuated("z1"));
	host_operator_ops.begin(h.get());
	apply(zone + "z2", "{}", 2);
	host_operator_ops.end(h.get());
	EXPECT_FALSE(is_evacuated("z1"));
	EXPECT_TRUE(is_evacuated("z2"));
}

/* Records which topics are read. One of them may be unavailable, or no
 * connection can be made. */
class TopicStore : public FakeStore
{
      public:
	TopicStore() : base(ops)
	{
		ops.read = [](void *p, const char *topic, uint32_t part,
			      uint64_t from, uint32_t wait, store_done d,
			      void *ctx) {
			TopicStore *s = (TopicStore *)p;

			s->note(topic);
			s->base.read(p, topic, part, from, wait, d, ctx);
		};
		ops.read_newest = [](void *p, const char *topic, uint32_t part,
				     str after, store_done d, void *ctx) {
			TopicStore *s = (TopicStore *)p;

			s->note(topic);
			s->base.read_newest(p, topic, part, after, d, ctx);
		};
	}

	std::vector<std::string> answered; /* topics, in the order of calls */
	std::string unavailable;
	bool is_reachable = true;

      private:
	void note(const char *topic)
	{
		mode = SERVE;
		if (unavailable == topic)
			mode = UNAVAILABLE;
		if (!is_reachable)
			mode = UNREACHABLE;
		if (mode == SERVE)
			answered.push_back(topic);
	}

	store_ops base;
};

/* A host that follows the operators' topic and the jobs, in virtual time. */
class HostLogs : public HostOperators
{
      protected:
	HostLogs()
	{
		static const follower_ops job_ops = {
			[](void *) {},
			[](void *, const store_record *) {},
			[](void *) {},
		};

		follower_init(&h->operator_follower, &store.ops, &store,
			      TOPIC_OPERATORS, 0, &host_operator_ops, h.get());
		follower_init(&h->job_follower, &store.ops, &store, TOPIC_JOBS,
			      0, &job_ops, h.get());
		h->operator_follower.read_gap_ms = 100;
		h->job_follower.read_gap_ms = 100;
		follower_start(&h->operator_follower, 1);
		follower_start(&h->job_follower, 1);
		store.put(TOPIC_OPERATORS, KEY_CONFIG, config(1));
	}

	~HostLogs() override
	{
		follower_finish(&h->operator_follower);
		follower_finish(&h->job_follower);
	}

	void run(int64_t ms)
	{
		int64_t end = h->now_ms + ms;

		while (h->now_ms < end) {
			h->now_ms += 10;
			store.now = h->now_ms;
			host_follow_logs(h.get());
			store.run();
		}
	}

	TopicStore store;
};

/*
 * Against a configuration that is late after an outage: the jobs that were
 * missed took most of a weak link.
 */
TEST_F(HostLogs, ReadsTheConfigurationBeforeTheJobsAfterAnOutage)
{
	int64_t ms;

	for (ms = 5000; ms < 6500; ms += 50) {
		store.is_reachable = false;
		run(ms);
		store.is_reachable = true;
		store.answered.clear();
		run(1000);
		ASSERT_FALSE(store.answered.empty()) << ms;
		EXPECT_EQ(store.answered[0], TOPIC_OPERATORS) << ms;
		EXPECT_TRUE(follower_is_fresh(&h->job_follower, h->now_ms, 200))
			<< ms;
	}
}

/* Against jobs that are not read while only the configuration is unavailable,
 * or not for long after both were. */
TEST_F(HostLogs, ReadsTheJobsWithoutTheConfiguration)
{
	store.unavailable = TOPIC_OPERATORS;
	for (int i = 0; i < 20; i++) {
		run(500);
		EXPECT_TRUE(follower_is_fresh(&h->job_follower, h->now_ms, 200))
			<< i;
	}
	store.is_reachable = false;
	run(6000);
	store.is_reachable = true;
	run(1000);
	for (int i = 0; i < 20; i++) {
		run(500);
		EXPECT_TRUE(follower_is_fresh(&h->job_follower, h->now_ms, 200))
			<< i;
	}
}

} /* namespace */
