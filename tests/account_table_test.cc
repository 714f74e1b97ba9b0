#include <gtest/gtest.h>

#include <cerrno>

#include "cell/account_table.h"

namespace
{

class AccountTable : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		account_table_init(&t, 2);
		name_set(t.accounts[0].name, "till");
		name_set(t.accounts[1].name, "payout");
	}
	void TearDown() override
	{
		account_table_finish(&t);
	}

	const account *find_key(const char *key) const
	{
		return account_table_find_key(&t, str_of(key));
	}

	account_table t;
};

/* A request would run for another account, or for none, if a key that is
 * unknown, empty or only the start of a known one were found. */
TEST_F(AccountTable, FindsAnAccountByItsExactKeysOnly)
{
	EXPECT_EQ(account_table_add_key(&t, 0, str_of("k1")), 0);
	EXPECT_EQ(account_table_add_key(&t, 1, str_of("k2")), 0);
	EXPECT_EQ(account_table_add_key(&t, 1, str_of("k3")), 0);
	EXPECT_EQ(find_key("k1"), &t.accounts[0]);
	EXPECT_EQ(find_key("k2"), &t.accounts[1]);
	EXPECT_EQ(find_key("k3"), &t.accounts[1]);
	EXPECT_FALSE(find_key("k"));
	EXPECT_FALSE(find_key("k11"));
	EXPECT_FALSE(find_key(""));
	EXPECT_FALSE(account_table_find_key(&t, str{nullptr, 0}));
}

TEST_F(AccountTable, RefusesAKeyOfAnotherAccountAndAnEmptyOne)
{
	EXPECT_EQ(account_table_add_key(&t, 0, str_of("k1")), 0);
	EXPECT_EQ(account_table_add_key(&t, 0, str_of("k1")), 0);
	EXPECT_EQ(account_table_add_key(&t, 1, str_of("k1")), -EEXIST);
	EXPECT_EQ(account_table_add_key(&t, 1, str_of("")), -EINVAL);
	EXPECT_EQ(find_key("k1"), &t.accounts[0]);
}

TEST_F(AccountTable, FindsAnAccountByItsName)
{
	EXPECT_EQ(account_table_add_name(&t, 0), 0);
	EXPECT_EQ(account_table_add_name(&t, 1), 0);
	EXPECT_EQ(account_table_find(&t, "payout"), &t.accounts[1]);
	EXPECT_FALSE(account_table_find(&t, "other"));
	EXPECT_FALSE(account_table_find(&t, ""));
	name_set(t.accounts[1].name, "till");
	EXPECT_EQ(account_table_add_name(&t, 1), -EEXIST);
}

TEST(AccountTableEmpty, HasNoAccount)
{
	account_table t;

	account_table_init(&t, 0);
	EXPECT_FALSE(account_table_find(&t, "till"));
	EXPECT_FALSE(account_table_find_key(&t, str_of("k1")));
	account_table_finish(&t);
}

} // namespace
