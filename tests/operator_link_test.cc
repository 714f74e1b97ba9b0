#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <vector>

#include "host/host.h"
#include "platform/config.h"

namespace
{

const size_t READ_MAX_BYTES = 1024 * 1024;
const int64_t CONNECT_MS = 700;
/* Of the users' rules: how long after the end of a cut the bounds count again,
 * and the bound on a configuration. */
const int64_t CONTACT_MS = 3000;
const int64_t APPLY_MS = 3000;
/* Age of the configuration at which a host leaves the rotation. */
const int64_t READY_AGE_MS = 2500;

/*
 * The operators' topic behind a link, in virtual time. Replies share the link;
 * the store delays a read without records for as long as it asks for.
 */
class Link
{
      public:
	struct Record {
		std::string value;
		int64_t ms;
	};

	Link()
	{
		ops.read = [](void *p, const char *, uint32_t, uint64_t from,
			      uint32_t wait, store_done d, void *ctx) {
			((Link *)p)->read(from, wait, d, ctx);
		};
		ops.read_newest = [](void *p, const char *, uint32_t, str,
				     store_done d,
				     void *ctx) { ((Link *)p)->list(d, ctx); };
	}

	/* Delivers the replies that have arrived by now. */
	void run()
	{
		for (size_t i = 0; i < calls.size();) {
			Call c = calls[i];

			if (!answer(&c) || c.due_ms > now) {
				calls[i] = c;
				i++;
				continue;
			}
			calls.erase(calls.begin() + (long)i);
			deliver(c);
		}
	}

	store_ops ops = {};
	std::vector<Record> records;
	int64_t now = 0;
	int64_t bytes_per_ms = 1250;
	int64_t cut_from = -1;
	int64_t cut_until = -1;

      private:
	struct Call {
		bool is_list;
		uint64_t from;
		int64_t sent_ms;
		int64_t wait_ms;
		store_done done;
		void *ctx;
		int64_t due_ms;
		bool is_lost;
		uint64_t end;
	};

	bool is_cut() const
	{
		return now >= cut_from && now < cut_until;
	}

	void read(uint64_t from, int64_t wait, store_done d, void *ctx)
	{
		calls.push_back({false, from, now, wait, d, ctx, 0, false, 0});
	}

	void list(store_done d, void *ctx)
	{
		calls.push_back({true, 0, now, 0, d, ctx, 0, false, 0});
	}

	/* Return: whether the reply, or the failure, has its time. */
	bool answer(Call *c)
	{
		if (c->due_ms)
			return true;
		if (is_cut()) {
			c->is_lost = true;
			c->due_ms = c->sent_ms + CONNECT_MS;
			return true;
		}
		if (!c->is_list && c->from >= records.size() &&
		    now < c->sent_ms + c->wait_ms)
			return false;
		c->end = records.size();
		if (free_ms < now)
			free_ms = now;
		free_ms += (int64_t)bytes(*c) / bytes_per_ms;
		c->due_ms = free_ms + 1;
		return true;
	}

	size_t count(const Call &c) const
	{
		size_t n = 0, sum = 0;

		for (uint64_t i = c.from; i < c.end; i++) {
			sum += records[i].value.size();
			if (n && sum > READ_MAX_BYTES)
				break;
			n++;
		}
		return n;
	}

	size_t bytes(const Call &c) const
	{
		size_t n = count(c), sum = 0;

		if (c.is_list)
			return c.end ? records[c.end - 1].value.size() * 4 / 3
				     : 0;
		while (n--)
			sum += records[c.from + n].value.size();
		return sum;
	}

	void deliver(const Call &c)
	{
		uint64_t first = c.is_list ? c.end - !!c.end : c.from;
		size_t n = c.is_list ? !!c.end : count(c), i;
		std::vector<store_record> rows;
		store_reply r = {};

		for (i = 0; i < n && !c.is_lost; i++) {
			const std::string &v = records[first + i].value;

			rows.push_back({str_of(KEY_CONFIG),
					{v.data(), v.size()},
					first + i});
		}
		r.status = c.is_lost ? STORE_REFUSED : STORE_OK;
		r.not_sent = c.is_lost;
		r.end = c.end;
		r.records = rows.data();
		r.count = rows.size();
		r.sent_ms = c.sent_ms;
		r.received_ms = now;
		c.done(c.ctx, &r);
	}

	std::vector<Call> calls;
	int64_t free_ms = 0;
};

/* A host on a weak link that only follows the operators' topic. */
class OperatorLink : public testing::Test
{
      protected:
	OperatorLink() : h(new host())
	{
		follower *f = &h->operator_follower;

		index_init(&h->evacuated_zones);
		index_init(&h->listed_zones);
		follower_init(f, &link.ops, &link, TOPIC_OPERATORS, 0,
			      &host_operator_ops, h.get());
		f->wait_ms = 1000;
		follower_start(f, 1);
	}

	~OperatorLink() override
	{
		follower_finish(&h->operator_follower);
		index_finish(&h->evacuated_zones);
		index_finish(&h->listed_zones);
		queue_table_finish(&h->queues);
	}

	void publish()
	{
		std::string text =
			"{\"version\":" +
			std::to_string(link.records.size() + 1) +
			",\"routes\":[{\"name\":\"a\",\"host\":\"a.example\","
			"\"pathPrefix\":\"/a/\",\"service\":\"pool\"}],"
			"\"limits\":{}}";

		text.resize(config_bytes, ' ');
		link.records.push_back({text, link.now});
	}

	/* The loop ticks after each reply, and each 50 ms at the latest. The
	 * decoding of a configuration keeps it busy for @decode_ms. */
	void step()
	{
		uint64_t before = h->counts.configs_applied;

		h->now_ms = link.now;
		follower_tick(&h->operator_follower, link.now);
		link.run();
		link.now += 10 + (int64_t)(h->counts.configs_applied - before) *
					 decode_ms;
	}

	/* Runs up to @until; a configuration is published each @period_ms. */
	void run(int64_t until, int64_t period_ms,
		 const std::function<void()> &check)
	{
		while (link.now < until && !HasFailure()) {
			if (link.now >= publish_ms) {
				publish();
				publish_ms += period_ms;
			}
			step();
			check();
		}
	}

	/* Version that the bound requires now; 0 while none does. */
	uint64_t required() const
	{
		uint64_t n = 0;

		while (n < link.records.size() &&
		       link.records[n].ms + APPLY_MS <= link.now)
			n++;
		return n;
	}

	Link link;
	std::unique_ptr<host> h;
	size_t config_bytes = 345000;
	int64_t publish_ms = 0;
	int64_t decode_ms = 160;
};

/*
 * Against requests handled by a configuration that was replaced long ago: after
 * a cut a host read and decoded each version that it had missed, oldest first,
 * over a weak link.
 */
TEST_F(OperatorLink, HasTheNewestConfigurationSoonAfterACut)
{
	link.cut_from = 3000;
	link.cut_until = 15000;
	run(link.cut_until + CONTACT_MS, 700, [] {});
	run(link.now + 10000, 700, [&] {
		ASSERT_GE(h->queues.version, required())
			<< "at " << link.now << " ms";
	});
}

/*
 * Against a host that is behind, and stays behind as long as changes go on: it
 * decoded configurations that a later one in the same reply replaced.
 */
TEST_F(OperatorLink, DecodesNoConfigurationThatIsReplacedInTheSameReply)
{
	uint64_t before;

	run(2000, 100000, [] {});
	before = h->counts.configs_applied;
	publish();
	publish();
	publish();
	run(6000, 100000, [] {});
	EXPECT_EQ(h->queues.version, 4u);
	EXPECT_EQ(h->counts.configs_applied, before + 1);
}

/*
 * Against hosts that left and joined the rotation with each change: the age of
 * the configuration counts from the sending of a read, which waits up to a
 * second for a record.
 */
TEST_F(OperatorLink, IsFreshWhileConfigurationsFollowEachOther)
{
	run(3000, 1400, [] {});
	run(20000, 1400, [&] {
		ASSERT_TRUE(follower_is_fresh(&h->operator_follower, link.now,
					      READY_AGE_MS))
			<< "at " << link.now << " ms";
	});
}

/*
 * Against a large configuration that is late on a weak link, of which the read
 * of the jobs takes half: each failed attempt to connect was followed by a
 * pause of a second, and the last of them went on after the cut.
 */
TEST_F(OperatorLink, ReadsALargeConfigurationSoonAfterACut)
{
	int64_t cut_ms;

	link.bytes_per_ms = 625;
	config_bytes = 700000;
	decode_ms = 320;
	for (cut_ms = 12000; cut_ms < 13700; cut_ms += 100) {
		run(link.now + 10000, 1000000, [] {});
		link.cut_from = link.now;
		link.cut_until = link.cut_from + cut_ms;
		run(link.cut_until, 1000000, [] {});
		publish();
		run(link.cut_until + CONTACT_MS, 1000000, [] {});
		EXPECT_EQ(h->queues.version, link.records.size())
			<< "cut of " << cut_ms << " ms";
	}
}

} /* namespace */
