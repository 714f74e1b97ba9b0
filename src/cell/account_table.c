#include "cell/account_table.h"

#include <errno.h>
#include <stdlib.h>

void account_table_init(struct account_table *t, size_t count)
{
	memset(t, 0, sizeof(*t));
	arena_init(&t->memory);
	if (!count)
		return;
	index_init(&t->by_key);
	index_init(&t->by_name);
	t->accounts = xcalloc(count, sizeof(*t->accounts));
	t->count = count;
}

void account_table_finish(struct account_table *t)
{
	index_finish(&t->by_key);
	index_finish(&t->by_name);
	arena_finish(&t->memory);
	free(t->accounts);
	memset(t, 0, sizeof(*t));
}

int account_table_add_name(struct account_table *t, size_t i)
{
	struct account *a = &t->accounts[i];
	uint64_t id = name_hash(a->name);

	if (index_get(&t->by_name, id))
		return -EEXIST;
	index_put(&t->by_name, id, a);
	return 0;
}

int account_table_add_key(struct account_table *t, size_t i, struct str key)
{
	uint64_t id = bytes_hash(key);
	struct account_key *k;

	if (!key.len)
		return -EINVAL;
	k = index_get(&t->by_key, id);
	if (k)
		return k->account == &t->accounts[i] ? 0 : -EEXIST;
	k = arena_alloc(&t->memory, sizeof(*k));
	k->text = arena_str(&t->memory, key.data, key.len);
	k->account = &t->accounts[i];
	index_put(&t->by_key, id, k);
	return 0;
}

const struct account *account_table_find_key(const struct account_table *t,
					     struct str key)
{
	const struct account_key *k;

	if (!t->count || !key.len)
		return NULL;
	k = index_get(&t->by_key, bytes_hash(key));
	return k && str_eq(k->text, key) ? k->account : NULL;
}

const struct account *account_table_find(const struct account_table *t,
					 const char *name)
{
	return t->count ? index_get(&t->by_name, name_hash(name)) : NULL;
}
