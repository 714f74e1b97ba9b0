#include <gtest/gtest.h>

#include "core/protection.h"
#include "standins/world.h"

static struct world_result run(const struct world_case &c)
{
	struct world_result r;

	world_run(&c, &r);
	return r;
}

static struct world_case base(uint32_t without)
{
	struct world_case c = {};

	c.seed = 1;
	c.protections = PROTECT_ALL & ~without;
	return c;
}

TEST(Faults, NothingBreaksWithoutFaults)
{
	struct world_result r = run(base(0));

	EXPECT_STREQ(r.violation, "");
	EXPECT_GE(r.ran, 28u);
	/* The one that is cancelled, before or after its start. */
	EXPECT_LE(r.unknown + r.not_run, 1u);
}

TEST(Faults, EqualSeedsGiveEqualRuns)
{
	struct world_result a = run(base(0)), b = run(base(0));

	EXPECT_EQ(memcmp(a.steps, b.steps, sizeof(a.steps)), 0);
}

/**
 * struct weakness - a protection, and a fault that it guards against
 * @site: where the fault is tried, at every step
 */
struct weakness {
	uint32_t protection;
	enum fault fault;
	int site;
};

/* Runs with the fault at each step of the site; stops at the first broken. */
static uint32_t broken(const struct weakness &w, uint32_t without)
{
	struct world_result golden = run(base(without));
	uint32_t found = golden.violation[0] != 0, k;

	for (k = 0; !found && k < golden.steps[w.site]; k++) {
		struct world_case c = base(without);

		c.faults[0].fault = w.fault;
		c.faults[0].site = w.site;
		c.faults[0].nth = k;
		c.fault_count = 1;
		found += run(c).violation[0] != 0;
	}
	return found;
}

/* The checks can fail: each protection is missed when it is off. */
class Without : public ::testing::TestWithParam<weakness>
{
};

TEST_P(Without, TheMatrixTurnsRed)
{
	EXPECT_GT(broken(GetParam(), GetParam().protection), 0u);
}

/*
 * Two schedds that claim in turn are what the fence is for. Claims are let be
 * for a while, so that they do so only with that switched off; by itself that
 * breaks nothing.
 */
TEST(Fence, IsMissedWhenOwnersChangeQuickly)
{
	struct weakness w = {0, FAULT_PEERS_CUT, MSG_START};

	EXPECT_EQ(broken(w, PROTECT_CLAIM_BACKOFF), 0u);
	EXPECT_GT(broken(w, PROTECT_CLAIM_BACKOFF | PROTECT_FENCE), 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Protections, Without,
	::testing::Values(
		weakness{PROTECT_INVENTORY, FAULT_PEERS_CUT, MSG_RESERVE},
		weakness{PROTECT_INTENT, FAULT_PAUSED, MSG_ACCEPTED},
		weakness{PROTECT_FRESH_READ, FAULT_LOG_REFUSING,
			 SITE_APPEND_JOBS},
		weakness{PROTECT_DEDUP, FAULT_LATE, MSG_SUBMIT},
		weakness{PROTECT_EPOCH, FAULT_PAUSED, MSG_START},
		weakness{PROTECT_PROOF, FAULT_PAUSED, MSG_START},
		weakness{PROTECT_CAS, FAULT_OPERATOR_RACE, SITE_APPEND_CLAIMS},
		weakness{PROTECT_SNAPSHOT, FAULT_SNAPSHOT_STALE,
			 SITE_APPEND_JOBS}));
