#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

#include "host/append_route.h"

TEST(AppendRoute, AppendsItselfAfterAnOwnerThatDoesNotAnswer)
{
	append_route r = {};

	EXPECT_TRUE(append_route_use_owner(&r, 1000));
	append_route_note(&r, true, STORE_UNKNOWN, 1000);
	EXPECT_FALSE(append_route_use_owner(&r, 1001));
	append_route_note(&r, false, STORE_OK, 1100);
	EXPECT_FALSE(append_route_use_owner(&r, 1101));
	EXPECT_TRUE(append_route_use_owner(&r, 4000));
}

/* A store that turns this host away may serve the owner. */
TEST(AppendRoute, GoesBackToTheOwnerWhenTheStoreRefusesTheHost)
{
	append_route r = {};

	append_route_note(&r, true, STORE_UNKNOWN, 1000);
	append_route_note(&r, false, STORE_REFUSED, 1010);
	EXPECT_TRUE(append_route_use_owner(&r, 1011));
}

namespace
{

/*
 * A store whose partition takes one append at a time, each @append_ms, and
 * refuses when 2 s of them wait. 97 hosts append the jobs that 43 callers a
 * second hand in; the owner appends whenever its last append is done.
 */
class SlowPartition
{
      public:
	SlowPartition(bool is_routed, int64_t ms)
	    : routed(is_routed), append_ms(ms), hosts(97)
	{
	}

	void play(int64_t ms)
	{
		std::mt19937 rng(1);

		for (; now < ms; now++) {
			if (rng() % 1000 < 43)
				arrive(rng() % hosts.size());
			if (!owner_in_flight)
				owner_append();
			finish();
		}
	}

	size_t arrived = 0;
	size_t stored_in_1s = 0;
	size_t owner_appends = 0;

      private:
	struct Append {
		int host; /* -1: of the owner */
		std::vector<int64_t> arrivals;
		std::vector<int> guests;
	};

	void arrive(size_t host)
	{
		arrived++;
		if (routed && append_route_use_owner(&hosts[host], now)) {
			waiting.arrivals.push_back(now);
			waiting.guests.push_back((int)host);
			return;
		}
		if ((int64_t)queue.size() * append_ms > 2000)
			append_route_note(&hosts[host], false, STORE_REFUSED,
					  now);
		else
			queue.push_back({(int)host, {now}, {}});
	}

	void owner_append()
	{
		if ((int64_t)queue.size() * append_ms > 2000)
			return;
		waiting.host = -1;
		queue.push_back(waiting);
		waiting = {};
		owner_in_flight = true;
	}

	void finish()
	{
		if (queue.empty()) {
			done_ms = 0;
			return;
		}
		if (!done_ms)
			done_ms = now + append_ms;
		if (now < done_ms)
			return;
		done_ms = 0;
		Append a = queue.front();
		queue.pop_front();
		for (int64_t at : a.arrivals)
			stored_in_1s += now - at <= 1000;
		if (a.host >= 0) {
			append_route_note(&hosts[(size_t)a.host], false,
					  STORE_OK, now);
			return;
		}
		owner_in_flight = false;
		owner_appends++;
		for (size_t i = 0; i < a.guests.size(); i++)
			append_route_note(&hosts[(size_t)a.guests[i]], true,
					  STORE_OK, now);
	}

	bool routed;
	int64_t append_ms;
	int64_t now = 0;
	int64_t done_ms = 0;
	bool owner_in_flight = false;
	std::vector<append_route> hosts;
	std::deque<Append> queue;
	Append waiting = {};
};

} /* namespace */

/*
 * While the store was slow, the owner's appends waited behind those of 97
 * hosts: no task started for five seconds, and most jobs were refused. Through
 * the owner the jobs are stored, and it keeps appending.
 */
TEST(AppendRoute, KeepsTheOwnerAppendingWhileTheStoreIsSlow)
{
	SlowPartition direct(false, 78), routed(true, 78);

	direct.play(5000);
	routed.play(5000);
	EXPECT_GE(routed.stored_in_1s * 10, routed.arrived * 9);
	EXPECT_GT(routed.stored_in_1s, 2 * direct.stored_in_1s);
	EXPECT_GT(routed.owner_appends, 4 * direct.owner_appends);
}
