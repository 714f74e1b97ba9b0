#include <gtest/gtest.h>

#include "host/member.h"

namespace
{

/* A group that answers each join with what the test has set. */
class Member : public testing::Test
{
      protected:
	Member()
	{
		ops.join = [](void *p, const char *, uint64_t joined,
			      store_done done, void *ctx) {
			Member *t = (Member *)p;
			store_reply r = {};

			t->joined_with = joined;
			r.generation = t->generation;
			r.assigned = t->assigned;
			r.sent_ms = t->now - t->reply_ms;
			t->joined_at = t->now;
			t->joins++;
			done(ctx, &r);
		};
		ops.leave = [](void *, const char *, store_done done,
			       void *ctx) {
			store_reply r = {};

			r.status = STORE_UNKNOWN;
			done(ctx, &r);
		};
		member_init(&m, &ops, this, "a", 2000);
	}

	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += 10)
			member_tick(&m, now);
	}

	store_ops ops = {};
	struct member m;
	uint64_t generation = 1;
	uint64_t assigned = 1;
	uint64_t joined_with = 0;
	int joins = 0;
	int64_t joined_at = 0;
	int64_t reply_ms = 0; /* time that the store takes for a join */
	int64_t now = 1000;
};

/* Each host that joined the group took the cell from an owner that served it:
 * while hosts were restarted in turn the cell changed hands nine times. */
TEST_F(Member, KeepsACellThatItRetainsWhenTheGroupDealsAnew)
{
	run(1000);
	m.retained = 1;
	generation = 2;
	assigned = 2;
	run(3000);
	EXPECT_EQ(m.assigned, 1u);
	EXPECT_EQ(joined_with, 1u);
	EXPECT_GT(m.assigned_until_ms, now);
}

/* The next owner got the cell with the next join, which followed at once when
 * the store was slow, before the former owner could store anything. */
TEST_F(Member, LeavesTimeForAnAppendBeforeItReleasesACell)
{
	run(1000);
	reply_ms = 400;
	generation = 2;
	assigned = 2;
	while (m.assigned == 1)
		run(10);
	int64_t lost_ms = joined_at;
	while (joined_at == lost_ms)
		run(10);
	EXPECT_GE(joined_at - lost_ms, 100);
	EXPECT_LE(joined_at - lost_ms, 200);
}

TEST_F(Member, GivesUpACellThatItDoesNotRetain)
{
	run(1000);
	generation = 2;
	assigned = 2;
	run(1000);
	EXPECT_EQ(m.assigned, 2u);
	EXPECT_EQ(joined_with, 2u);
}

/* A member whose leave got no answer keeps its cell from all others if it takes
 * itself for a member still and goes on joining. */
TEST_F(Member, StaysOutOfTheGroupAfterALeaveWithoutAnAnswer)
{
	run(1000);
	ASSERT_EQ(m.assigned, 1u);
	joins = 0;
	member_leave(&m);
	EXPECT_EQ(m.assigned, 0u);
	run(5000);
	EXPECT_EQ(joins, 0);
	EXPECT_EQ(m.assigned, 0u);
}

TEST_F(Member, GivesUpACellOnceItDoesNotRetainItAnyMore)
{
	run(1000);
	m.retained = 1;
	generation = 2;
	assigned = 2;
	run(1000);
	m.retained = 0;
	run(1200);
	EXPECT_EQ(m.assigned, 2u);
	EXPECT_EQ(joined_with, 2u);
}

} /* namespace */
