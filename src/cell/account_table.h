#ifndef CELL_ACCOUNT_TABLE_H
#define CELL_ACCOUNT_TABLE_H

#include "base/buf.h"
#include "base/index.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct account - one client account configured by the operators
 * @weight: share of the capacity when the demand exceeds it; also the jobs per
 *	second up to which the account is served
 * @cpu_max: processors that its tasks may use at a time over all workers, in
 *	thousandths of a core; 0 for no limit
 * @memory_max_mb: the same for memory, megabytes
 * @accelerators_max: the same for accelerators
 */
struct account {
	char name[NAME_SIZE];
	uint32_t weight;
	uint64_t cpu_max;
	uint64_t memory_max_mb;
	uint64_t accelerators_max;
};

/**
 * struct account_key - API key of an account
 */
struct account_key {
	struct str text;
	const struct account *account;
};

/**
 * struct account_table - the client accounts of one version of the
 *	configuration
 * @accounts: @count of them
 * @by_key: struct account_key by bytes_hash() of the key
 * @by_name: struct account by name_hash() of the name
 * @memory: holds the keys
 */
struct account_table {
	struct account *accounts;
	size_t count;
	struct index by_key;
	struct index by_name;
	struct arena memory;
};

/**
 * account_table_init() - make a table of @count zeroed accounts
 *
 * An empty table owns no memory.
 */
void account_table_init(struct account_table *t, size_t count);
void account_table_finish(struct account_table *t);

/**
 * account_table_add_name() - make the account at @i known by its name
 *
 * Return: 0, or -EEXIST for a name that another account has.
 */
int account_table_add_name(struct account_table *t, size_t i);

/**
 * account_table_add_key() - add an API key of the account at @i
 *
 * Return: 0; -EINVAL for an empty key, or -EEXIST for a key that another
 * account has.
 */
int account_table_add_key(struct account_table *t, size_t i, struct str key);

/**
 * account_table_find_key() - look up the account of an API key
 *
 * Return: the account, or NULL for an unknown key.
 */
const struct account *account_table_find_key(const struct account_table *t,
					     struct str key);

/**
 * account_table_find() - look up an account by its name
 *
 * Return: the account, or NULL.
 */
const struct account *account_table_find(const struct account_table *t,
					 const char *name);

#ifdef __cplusplus
}
#endif

#endif
