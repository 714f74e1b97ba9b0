#include <gtest/gtest.h>

#include <numeric>
#include <random>

#include "cell/fair_share.h"

static fair_share claim(uint64_t weight, uint64_t demand)
{
	fair_share s = {weight, demand, 0, nullptr};

	return s;
}

/* Where all fit, nothing is divided: a share below the demand would put an
 * account behind others though there is capacity for all. */
TEST(FairShare, GivesEachItsDemandWhenAllFit)
{
	std::vector<fair_share> s = {claim(1, 60), claim(9, 10), claim(1, 30)};

	fair_share_divide(s.data(), s.size(), 100);
	for (auto &e : s)
		EXPECT_EQ(e.share, e.demand);
}

/* An account with a large demand takes nothing from those that ask for less
 * than their part, and gets what these leave. */
TEST(FairShare, DividesWhatSmallDemandsLeaveByWeight)
{
	std::vector<fair_share> s = {claim(1, 1000), claim(1, 10),
				     claim(2, 1000), claim(4, 20)};

	fair_share_divide(s.data(), s.size(), 90);
	for (auto &e : s) {
		if (e.demand < 1000)
			EXPECT_EQ(e.share, e.demand);
		else
			EXPECT_EQ(e.share, 20 * e.weight);
	}
}

TEST(FairShare, TakesNoClaimsAndNoCapacity)
{
	std::vector<fair_share> s = {claim(3, 7), claim(1, 0)};

	fair_share_divide(nullptr, 0, 5);
	fair_share_divide(s.data(), s.size(), 0);
	for (auto &e : s)
		EXPECT_EQ(e.share, 0u);
}

/* A share above the demand, a sum above the capacity or a claim below its part
 * by weight would let an account be starved by others. */
TEST(FairShare, KeepsItsBoundsOnRandomClaims)
{
	std::mt19937 rng(1);

	for (int round = 0; round < 2000; round++) {
		std::vector<fair_share> s;
		uint64_t weights = 0, sum = 0, demands = 0;
		uint64_t capacity = rng() % 100000;

		for (size_t n = 1 + rng() % 30; n; n--)
			s.push_back(claim(1 + rng() % 1000, rng() % 20000));
		for (auto &e : s)
			weights += e.weight;
		fair_share_divide(s.data(), s.size(), capacity);
		for (auto &e : s) {
			uint64_t part = capacity * e.weight / weights;

			ASSERT_LE(e.share, e.demand);
			ASSERT_GE(e.share + 1, std::min(part, e.demand));
			sum += e.share;
			demands += e.demand;
		}
		ASSERT_LE(sum, capacity);
		/* Rounding down leaves at most one unit for each claim. */
		ASSERT_GE(sum + s.size(), std::min(capacity, demands));
	}
}
