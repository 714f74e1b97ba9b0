#include <gtest/gtest.h>

#include "core/protection.h"
#include "standins/world.h"

static struct world_result run(const struct world_case &c)
{
	struct world_result r;

	world_run(&c, &r);
	return r;
}

static struct world_case base_case(uint32_t without)
{
	struct world_case c = {};

	c.seed = 1;
	c.protections = PROTECT_ALL & ~without;
	return c;
}

TEST(Faults, InvariantsHoldWithoutFaults)
{
	struct world_result r = run(base_case(0));

	EXPECT_STREQ(r.violation, "");
	EXPECT_GE(r.ran, 28u);
	/* Only the cancelled job; the cancel may precede its start. */
	EXPECT_LE(r.unknown + r.not_run, 1u);
}

TEST(Faults, EqualSeedsGiveEqualRuns)
{
	struct world_result a = run(base_case(0)), b = run(base_case(0));

	EXPECT_EQ(memcmp(a.steps, b.steps, sizeof(a.steps)), 0);
}

/**
 * struct protection_case - a protection, and a fault that it guards against
 * @site: site at each of whose steps the fault is injected
 */
struct protection_case {
	uint32_t protection;
	enum fault fault;
	int site;
};

/*
 * Injects the fault at each step of the site, one simulation per step, until an
 * invariant is violated.
 *
 * Return: 1 if an invariant was violated, or 0.
 */
static uint32_t find_violation(const struct protection_case &w,
			       uint32_t without)
{
	struct world_result fault_free = run(base_case(without));
	uint32_t found = fault_free.violation[0] != 0, k;

	for (k = 0; !found && k < fault_free.steps[w.site]; k++) {
		struct world_case c = base_case(without);

		c.faults[0].fault = w.fault;
		c.faults[0].site = w.site;
		c.faults[0].nth = k;
		c.fault_count = 1;
		found += run(c).violation[0] != 0;
	}
	return found;
}

/* With a protection switched off, its fault must violate an invariant. */
class Without : public ::testing::TestWithParam<protection_case>
{
};

TEST_P(Without, FaultViolatesAnInvariant)
{
	EXPECT_GT(find_violation(GetParam(), GetParam().protection), 0u);
}

/*
 * The fence guards against two schedulers that claim a shard in turn. They do
 * so only with PROTECT_CLAIM_BACKOFF switched off, as it makes a scheduler
 * leave the claim of another alone for a while. Switching off
 * PROTECT_CLAIM_BACKOFF by itself violates no invariant.
 */
TEST(Fence, IsNeededWhenOwnersChangeQuickly)
{
	struct protection_case w = {0, FAULT_PEERS_CUT, MSG_START};

	EXPECT_EQ(find_violation(w, PROTECT_CLAIM_BACKOFF), 0u);
	EXPECT_GT(find_violation(w, PROTECT_CLAIM_BACKOFF | PROTECT_FENCE), 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Protections, Without,
	::testing::Values(
		protection_case{PROTECT_INVENTORY, FAULT_PEERS_CUT,
				MSG_RESERVE},
		protection_case{PROTECT_INTENT, FAULT_PAUSED, MSG_ACCEPTED},
		protection_case{PROTECT_FRESH_READ, FAULT_LOG_REFUSING,
				SITE_APPEND_JOBS},
		protection_case{PROTECT_DEDUP, FAULT_LATE, MSG_SUBMIT},
		protection_case{PROTECT_EPOCH, FAULT_PAUSED, MSG_START},
		protection_case{PROTECT_PROOF, FAULT_PEERS_CUT, MSG_ACCEPTED},
		protection_case{PROTECT_CAS, FAULT_OPERATOR_RACE,
				SITE_APPEND_CLAIMS},
		protection_case{PROTECT_SNAPSHOT, FAULT_SNAPSHOT_STALE,
				SITE_APPEND_JOBS}));
