#include <gtest/gtest.h>

#include <vector>

#include "adapters/request_memory.h"

namespace
{

const size_t BODY = 100000;

/* A server with uploads and connections, and what was closed. */
class RequestMemory : public testing::Test
{
      protected:
	void begin(size_t budget, uint32_t connections)
	{
		request_memory_init(&m, budget, connections);
	}

	tracked_connection *connect(tracked_connection *c, int64_t now)
	{
		return request_memory_add(&m, c, now);
	}

	/* Grows a body and closes what is in the way, as the server does. */
	bool receive(tracked_connection *c, size_t capacity, int64_t now)
	{
		tracked_connection *victim;

		EXPECT_TRUE(
			request_memory_progress(&m, c, CONNECTION_UPLOAD, now));
		for (;;) {
			body_verdict v =
				request_memory_grow(&m, c, capacity, BODY, now,
						    &victim);

			EXPECT_LE(m.held, m.budget > BODY ? m.budget : BODY);
			if (v != BODY_WAITS_FOR_CLOSE)
				return v == BODY_GROWS;
			closed.push_back(victim);
			request_memory_release(&m, victim);
		}
	}

	request_memory m;
	std::vector<tracked_connection *> closed;
};

/* 300 to 1,500 bodies just short of their end took 307 to 335 MB on a host of
 * 260 MB. */
TEST_F(RequestMemory, BodiesStayWithinTheBudgetWhateverTheirNumber)
{
	std::vector<tracked_connection> all(1500);
	size_t granted = 0;

	begin(32 << 20, 0);
	for (auto &c : all) {
		connect(&c, 0);
		for (size_t cap = 1000; cap <= BODY; cap *= 10)
			granted += receive(&c, cap, 1) && cap == BODY;
	}
	EXPECT_GT(granted, 200u);
	EXPECT_LT(granted, 336u);
	for (auto &c : all)
		request_memory_remove(&m, &c);
	EXPECT_EQ(m.held, 0u);
	EXPECT_EQ(m.connections, 0u);
}

/* A crowd that stops short of the end would keep the others out for as long as
 * it holds its connections. */
TEST_F(RequestMemory, ClosesTheUploadWithTheLeastRecentProgressOnlyIfStalled)
{
	tracked_connection a, b, c;

	begin(4 * BODY / 3 + 2 * BODY, 0);
	for (tracked_connection *t : {&a, &b, &c})
		connect(t, 0);
	EXPECT_TRUE(receive(&b, BODY, 0));
	EXPECT_TRUE(receive(&a, BODY, 10));
	EXPECT_FALSE(receive(&c, BODY, REQUEST_QUIET_MS - 1));
	EXPECT_FALSE(
		request_memory_has_room(&m, BODY, BODY, REQUEST_QUIET_MS - 1));
	EXPECT_TRUE(request_memory_has_room(&m, BODY, BODY, REQUEST_QUIET_MS));
	EXPECT_TRUE(receive(&c, BODY, REQUEST_QUIET_MS + 10));
	EXPECT_EQ(closed, std::vector<tracked_connection *>{&b});
	EXPECT_FALSE(request_memory_progress(&m, &b, CONNECTION_HANDLED, 2000));
}

/* Large uploads that fill their part of the budget would refuse the small
 * bodies of ordinary jobs for a second. */
TEST_F(RequestMemory, SmallBodiesHaveRoomBesideLargeOnes)
{
	std::vector<tracked_connection> large(20);
	tracked_connection small;

	begin(10 * BODY, 0);
	for (auto &c : large) {
		connect(&c, 0);
		receive(&c, BODY, 0);
	}
	connect(&small, 0);
	EXPECT_TRUE(receive(&small, 1000, 0));
	EXPECT_TRUE(closed.empty());
}

/* A single legal body is served whatever the memory of the machine. */
TEST_F(RequestMemory, GrantsALegalBodyThatIsAlone)
{
	tracked_connection a, b;

	begin(BODY / 2, 0);
	connect(&a, 0);
	connect(&b, 0);
	EXPECT_TRUE(receive(&a, BODY, 0));
	EXPECT_FALSE(receive(&b, 1, 0));
}

/* Open connections took all descriptors; a request that is being handled may be
 * accepted already, so that its caller must get the answer. */
TEST_F(RequestMemory, ClosesAConnectionForANewOneButNoneThatIsHandled)
{
	tracked_connection idle, upload, fresh, handled, next[5];

	begin(0, 4);
	for (tracked_connection *c : {&handled, &upload, &idle, &fresh})
		EXPECT_EQ(connect(c, 0), nullptr);
	request_memory_progress(&m, &handled, CONNECTION_HANDLED, 0);
	receive(&upload, 100, 90);
	request_memory_progress(&m, &idle, CONNECTION_IDLE, 99);
	EXPECT_EQ(connect(&next[0], 100), &idle);
	EXPECT_EQ(connect(&next[1], 100), &fresh);
	EXPECT_EQ(connect(&next[2], 100), &upload);
	EXPECT_EQ(m.connections, 4u);
	for (int i = 0; i < 3; i++)
		request_memory_progress(&m, &next[i], CONNECTION_HANDLED, 100);
	EXPECT_EQ(connect(&next[3], 5000), &next[3]);
	request_memory_remove(&m, &next[3]);
	request_memory_remove(&m, &handled);
	EXPECT_EQ(connect(&next[4], 5000), nullptr);
}

/* An upload in progress would end for a caller that has just connected, while
 * connections that have been silent for seconds stay. */
TEST_F(RequestMemory, ClosesQuietConnectionsBeforeActiveOnes)
{
	tracked_connection stalled, active, silent, next[2];

	begin(0, 3);
	connect(&silent, 10);
	connect(&stalled, 0);
	connect(&active, 0);
	receive(&stalled, 100, 0);
	receive(&active, 100, 4900);
	EXPECT_EQ(connect(&next[0], 5000), &stalled);
	EXPECT_EQ(connect(&next[1], 5000), &silent);
}

TEST(RequestMemoryCapacity, IsExactForAnnouncedBodiesAndNeverOverTheLargest)
{
	EXPECT_EQ(request_memory_capacity(0, 300, 301, 1000), 301u);
	EXPECT_EQ(request_memory_capacity(2000, 2001, 0, 100001), 4000u);
	EXPECT_EQ(request_memory_capacity(60000, 60001, 0, 100001), 100001u);
	/* The length of a chunked body is what arrives. */
	EXPECT_EQ(request_memory_capacity(500, 600, 301, 100001), 600u);
	EXPECT_EQ(request_memory_connections(4100, 40 << 20, 34816), 1025u);
	EXPECT_EQ(request_memory_connections(8192, 40 << 20, 34816), 1204u);
}

} // namespace
