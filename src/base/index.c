#include "base/index.h"

#include <ck_ht.h>
#include <stdbool.h>
#include <stdlib.h>

#include "base/buf.h"

#define INDEX_CAPACITY_MIN 16

static void *table_malloc(size_t n)
{
	return malloc(n);
}

static void *table_realloc(void *p, size_t old_size, size_t n, bool defer)
{
	(void)old_size;
	(void)defer;
	return realloc(p, n);
}

static void table_free(void *p, size_t n, bool defer)
{
	(void)n;
	(void)defer;
	free(p);
}

static struct ck_malloc table_allocator = {
	.malloc = table_malloc,
	.realloc = table_realloc,
	.free = table_free,
};

/* The finalizer of SplitMix64. */
static void table_hash(ck_ht_hash_t *h, const void *key, size_t len,
		       uint64_t seed)
{
	uint64_t v = (uint64_t)(uintptr_t) * (void *const *)key;

	(void)len;
	v += seed;
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9ULL;
	v = (v ^ (v >> 27)) * 0x94d049bb133111ebULL;
	h->value = v ^ (v >> 31);
}

void index_init(struct index *x)
{
	ck_ht_t *t = xcalloc(1, sizeof(*t));

	if (!ck_ht_init(t, CK_HT_MODE_DIRECT, table_hash, &table_allocator,
			INDEX_CAPACITY_MIN, 1))
		abort();
	x->table = t;
}

void index_finish(struct index *x)
{
	if (!x->table)
		return;
	ck_ht_destroy(x->table);
	free(x->table);
	x->table = NULL;
}

void *index_get(const struct index *x, uint64_t id)
{
	ck_ht_entry_t e;
	ck_ht_hash_t h;

	ck_ht_hash_direct(&h, x->table, id);
	ck_ht_entry_key_set_direct(&e, id);
	if (!ck_ht_get_spmc(x->table, h, &e))
		return NULL;
	return (void *)ck_ht_entry_value_direct(&e);
}

void index_put(struct index *x, uint64_t id, void *p)
{
	ck_ht_entry_t e;
	ck_ht_hash_t h;

	ck_ht_hash_direct(&h, x->table, id);
	ck_ht_entry_set_direct(&e, h, id, (uintptr_t)p);
	if (!ck_ht_set_spmc(x->table, h, &e))
		abort();
}

void *index_remove(struct index *x, uint64_t id)
{
	ck_ht_entry_t e;
	ck_ht_hash_t h;

	ck_ht_hash_direct(&h, x->table, id);
	ck_ht_entry_key_set_direct(&e, id);
	if (!ck_ht_remove_spmc(x->table, h, &e))
		return NULL;
	return (void *)ck_ht_entry_value_direct(&e);
}

size_t index_count(const struct index *x)
{
	return ck_ht_count(x->table);
}
