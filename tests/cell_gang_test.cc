#include "tests/cell_world.h"

namespace
{

/* A gang whose members are on workers of their own, placed and not yet sent. */
class CellGang : public testing::Test
{
      protected:
	CellGang()
	{
		job_step gang = CellWorld::task_step(3, 9000);

		gang.flags = STEP_GANG;
		w.begin({"w1", "w2", "w3"});
		w.storing = false;
		w.submit(7, {gang});
		w.run(100);
	}

	CellWorld w;
};

/* A worker drained while the start of a member there was being stored: the
 * others were started, and waited for it in vain. */
TEST_F(CellGang, StartsNoMemberWhenOneCannotStart)
{
	ASSERT_EQ(w.counts().placed, 3u);
	w.entries["w2"].draining = true;
	w.announce("w2");
	w.storing = true;
	w.run(100);
	EXPECT_EQ(w.starts.size(), 0u);
	EXPECT_EQ(w.counts().placed, 0u);
	w.add_worker("w4");
	w.run(500);
	EXPECT_EQ(w.runs(7), 3u);
	for (const order &o : w.starts)
		EXPECT_EQ(o.ref.run, w.starts[0].ref.run);
}

/* Against a check that keeps a gang from starting at all. */
TEST_F(CellGang, StartsAllMembersOnceTheyAreStored)
{
	w.storing = true;
	w.run(100);
	EXPECT_EQ(w.runs(7), 3u);
	EXPECT_EQ(w.starts.size(), 3u);
}

} /* namespace */
