#include <gtest/gtest.h>

#include "base/buf.h"
#include "base/heap.h"

namespace
{

constexpr size_t MB = 1024 * 1024;

/* Freed memory stayed with the process; and as the allocator counts what it has
 * given back as free, it would be given back again and again. */
TEST(HeapTrim, IsDueOnceForMemoryThatWasFreed)
{
	heap_trim t = {};

	EXPECT_FALSE(heap_trim_is_due(&t, MB / 2));
	EXPECT_TRUE(heap_trim_is_due(&t, 4 * MB));
	t.free_floor = 4 * MB;
	EXPECT_FALSE(heap_trim_is_due(&t, 4 * MB));
	EXPECT_FALSE(heap_trim_is_due(&t, 2 * MB)); /* in use again */
	EXPECT_TRUE(heap_trim_is_due(&t, 4 * MB));
}

/* A buffer that was large once kept its memory. */
TEST(Buf, GivesBackWhatExceedsItsContents)
{
	std::string text(50000, 'x');
	buf b;

	buf_init(&b);
	buf_add(&b, text.data(), text.size());
	buf_drop(&b, 49000);
	buf_shrink(&b, 60000);
	EXPECT_GT(b.cap, 50000u);
	buf_shrink(&b, 100);
	EXPECT_EQ(b.cap, 1001u);
	EXPECT_EQ(std::string(b.data, b.len), std::string(1000, 'x'));
	buf_clear(&b);
	buf_shrink(&b, 100);
	EXPECT_EQ(b.cap, 0u);
	buf_adds(&b, "again");
	EXPECT_STREQ(b.data, "again");
	buf_finish(&b);
}

} /* namespace */
