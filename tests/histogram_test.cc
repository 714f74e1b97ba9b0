#include <gtest/gtest.h>

#include "base/histogram.h"

TEST(Histogram, CountsByPowersOfTwo)
{
	histogram h = {};
	buf b;

	EXPECT_EQ(histogram_quantile(&h, 0.5), 0);
	for (int i = 0; i < 90; i++)
		histogram_add(&h, 3);
	for (int i = 0; i < 10; i++)
		histogram_add(&h, 100);
	EXPECT_EQ(histogram_quantile(&h, 0.5), 4);
	EXPECT_EQ(histogram_quantile(&h, 0.99), 128);
	buf_init(&b);
	histogram_write(&h, "x", &b);
	EXPECT_TRUE(strstr(b.data, "x_bucket{le=\"4\"} 90\n"));
	EXPECT_TRUE(strstr(b.data, "x_bucket{le=\"+Inf\"} 100\n"));
	EXPECT_TRUE(strstr(b.data, "x_sum 1270\n"));
	buf_finish(&b);
}

/* The label "le" of a bucket says that its bound is part of it. */
TEST(Histogram, CountsABoundInItsBucket)
{
	histogram h = {};
	buf b;

	histogram_add(&h, 4);
	EXPECT_EQ(histogram_quantile(&h, 0.5), 4);
	buf_init(&b);
	histogram_write(&h, "x", &b);
	EXPECT_TRUE(strstr(b.data, "x_bucket{le=\"2\"} 0\n"));
	EXPECT_TRUE(strstr(b.data, "x_bucket{le=\"4\"} 1\n"));
	buf_finish(&b);
}
