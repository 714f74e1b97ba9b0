#include <gtest/gtest.h>

#include <string>

#include "host/caller_auth.h"
#include "platform/config.h"

namespace
{

const char CONFIG[] = "{\"version\":7,\"routes\":["
		      "{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/q/\"},"
		      "{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
		      "\"public\":true}],\"tenants\":["
		      "{\"name\":\"a\",\"apiKeys\":[\"a-old\",\"a-new\"]},"
		      "{\"name\":\"b\",\"apiKeys\":[\"b-key\"]}]}";

class CallerAuth : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(config_parse(str_of(CONFIG), &t), 0);
		auth_bounds_init(&bounds, 3000, true, 5000);
	}

	void TearDown() override
	{
		queue_table_finish(&t);
	}

	auth_verdict check(const char *key, int64_t age_ms,
			   const char *queue = "q")
	{
		return caller_auth_check(&t, queue_table_find(&t, queue),
					 str_of(key), age_ms, &bounds,
					 &account);
	}

	queue_table t;
	auth_bounds bounds;
	const struct account *account;
};

/* Requests were served whatever their key was. */
TEST_F(CallerAuth, ServesOnlyKnownKeys)
{
	EXPECT_EQ(check("a-old", 0), AUTH_OK);
	ASSERT_TRUE(account);
	EXPECT_STREQ(account->name, "a");
	EXPECT_EQ(check("b-key", 0), AUTH_OK);
	EXPECT_STREQ(account->name, "b");
	for (const char *key : {"a", "a-ol", "a-old ", "A-OLD", "a-old,b-key"})
		EXPECT_EQ(check(key, 0), AUTH_UNKNOWN_KEY) << key;
	EXPECT_FALSE(account);
	EXPECT_EQ(check("", 0), AUTH_NO_KEY);
	EXPECT_EQ(check(nullptr, 0), AUTH_NO_KEY);
}

TEST_F(CallerAuth, PublicQueuesNeedNoKey)
{
	for (const char *key : {"", "a-old", "unknown"})
		for (int64_t age : {0, 1000000}) {
			EXPECT_EQ(check(key, age, "p"), AUTH_OK) << key;
			EXPECT_FALSE(account);
		}
}

/* Deployments without client accounts must go on as before. */
TEST_F(CallerAuth, NeedsNoKeyWithoutAccounts)
{
	queue_table_finish(&t);
	ASSERT_EQ(config_parse(str_of("{\"version\":7,\"routes\":[{\"name\":"
				      "\"q\",\"host\":\"h\",\"pathPrefix\":"
				      "\"/q/\"}]}"),
			       &t),
		  0);
	EXPECT_EQ(check("", 1000000), AUTH_OK);
	EXPECT_EQ(check("unknown", 1000000), AUTH_OK);
	EXPECT_FALSE(account);
	EXPECT_TRUE(caller_auth_may_access(&t, "a", ""));
}

/* All accounts may have lost their keys: that is no deployment without
 * accounts. */
TEST_F(CallerAuth, AnEmptyListOfAccountsServesNobody)
{
	queue_table_finish(&t);
	ASSERT_EQ(config_parse(str_of("{\"version\":7,\"tenants\":[],"
				      "\"routes\":[{\"name\":\"q\",\"host\":"
				      "\"h\",\"pathPrefix\":\"/q/\"}]}"),
			       &t),
		  0);
	EXPECT_EQ(check("", 0), AUTH_NO_KEY);
	EXPECT_EQ(check("a-old", 0), AUTH_UNKNOWN_KEY);
}

/*
 * A host that has not read the log for a while does not know keys that were
 * added since: to refuse them tells their callers, wrongly, that the keys are
 * not valid.
 */
TEST_F(CallerAuth, RefusesNoKeyByAnOldConfiguration)
{
	EXPECT_EQ(check("new", 2500), AUTH_UNKNOWN_KEY);
	EXPECT_EQ(check("new", 2501), AUTH_CONFIG_TOO_OLD);
	EXPECT_EQ(check("", 2501), AUTH_CONFIG_TOO_OLD);
	auth_bounds_init(&bounds, 1000, true, 5000);
	EXPECT_EQ(check("new", 950), AUTH_UNKNOWN_KEY);
	EXPECT_EQ(check("new", 951), AUTH_CONFIG_TOO_OLD);
}

/*
 * A host that is cut off from the store kept serving keys that were withdrawn
 * meanwhile. The bound keeps a margin: the clock of a host may be 2 % slow.
 */
TEST_F(CallerAuth, ServesNoKeyThatMayBeWithdrawnForTooLong)
{
	EXPECT_EQ(check("a-old", 4750), AUTH_OK);
	EXPECT_EQ(check("a-old", 4751), AUTH_CONFIG_TOO_OLD);
	for (uint32_t revoke_ms : {1u, 50u, 1000u, 600000u}) {
		auth_bounds_init(&bounds, 3000, true, revoke_ms);
		EXPECT_LE((double)bounds.serve_age_ms * 1.02,
			  (double)revoke_ms);
	}
}

/*
 * While nothing changes, a read waits for a second and the age counts from the
 * sending of the read before it: the age of the configuration of a sound host
 * goes up to 2 s. At 1.5 s it refused unknown keys with 503 half of the time,
 * and with a bound of 2 s on withdrawn keys all known ones now and then.
 */
TEST_F(CallerAuth, ASoundHostCanTellAllTheTime)
{
	for (uint32_t revoke_ms : {1000u, 2000u, 5000u, 600000u}) {
		auth_bounds_init(&bounds, 3000, true, revoke_ms);
		int64_t wait = auth_bounds_poll_wait_ms(&bounds, 1000);
		int64_t age = 2 * (wait + 20);

		EXPECT_EQ(check("a-old", age), AUTH_OK) << revoke_ms;
		EXPECT_EQ(check("new", age), AUTH_UNKNOWN_KEY) << revoke_ms;
	}
	EXPECT_EQ(auth_bounds_poll_wait_ms(&bounds, 1000), 1000u);
	auth_bounds_init(&bounds, 3000, false, 0);
	EXPECT_EQ(auth_bounds_poll_wait_ms(&bounds, 1000), 1000u);
}

TEST_F(CallerAuth, ServesKnownKeysOfAnyAgeWithoutStrictRevocation)
{
	auth_bounds_init(&bounds, 3000, false, 0);
	EXPECT_EQ(check("a-old", 1000000000), AUTH_OK);
	EXPECT_EQ(check("new", 1000000000), AUTH_CONFIG_TOO_OLD);
}

/* The other key of the account replaces one that was exchanged. */
TEST_F(CallerAuth, JobsAreThoseOfTheAccountAndNotOfTheKey)
{
	EXPECT_EQ(check("a-new", 0), AUTH_OK);
	EXPECT_TRUE(caller_auth_may_access(&t, "a", account->name));
	EXPECT_FALSE(caller_auth_may_access(&t, "b", account->name));
	EXPECT_FALSE(caller_auth_may_access(&t, "a", ""));
	EXPECT_TRUE(caller_auth_may_access(&t, "", account->name));
	EXPECT_TRUE(caller_auth_may_access(&t, "", ""));
}

} /* namespace */
