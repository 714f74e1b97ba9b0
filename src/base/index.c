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

/**
 * struct index_slot - what is put under an id that the hash table cannot hold
 */
struct index_slot {
	void *pointer;
	bool in_use;
};

/**
 * struct index_table - hash table of an index
 * @removed: entries removed since @ht was made
 * @empty: for the id that marks a place of @ht that was never used
 * @tombstone: for the id that marks a place whose entry was removed
 */
struct index_table {
	ck_ht_t ht;
	size_t removed;
	struct index_slot empty;
	struct index_slot tombstone;
};

/* Whether the hash table marks its places by this id. */
static bool is_mark(uint64_t id)
{
	return id == CK_HT_KEY_EMPTY || id == CK_HT_KEY_TOMBSTONE;
}

static struct index_slot *slot_of(struct index_table *t, uint64_t id)
{
	return id == CK_HT_KEY_EMPTY ? &t->empty : &t->tombstone;
}

static void table_make(struct index_table *t, size_t capacity)
{
	t->removed = 0;
	if (!ck_ht_init(&t->ht, CK_HT_MODE_DIRECT, table_hash, &table_allocator,
			capacity, 1))
		abort();
}

static void table_set(struct index_table *t, uint64_t id, uintptr_t value)
{
	ck_ht_entry_t e;
	ck_ht_hash_t h;

	ck_ht_hash_direct(&h, &t->ht, id);
	ck_ht_entry_set_direct(&e, h, id, value);
	if (!ck_ht_set_spmc(&t->ht, h, &e))
		abort();
}

/*
 * Removed entries leave marks behind, and an insertion passes marks until it
 * finds an entry that was never used. Once there was none left, it passed the
 * whole table: 16 us with 3,000 ids that come and go. Made anew once more
 * entries were removed than are left, the table has few marks.
 */
static void table_renew(struct index_table *t)
{
	ck_ht_iterator_t at = CK_HT_ITERATOR_INITIALIZER;
	struct index_table old = *t;
	ck_ht_entry_t *e;

	table_make(t, 2 * ck_ht_count(&old.ht) + INDEX_CAPACITY_MIN);
	while (ck_ht_next(&old.ht, &at, &e))
		table_set(t, ck_ht_entry_key_direct(e),
			  ck_ht_entry_value_direct(e));
	ck_ht_destroy(&old.ht);
}

void index_init(struct index *x)
{
	x->table = xcalloc(1, sizeof(struct index_table));
	table_make(x->table, INDEX_CAPACITY_MIN);
}

void index_finish(struct index *x)
{
	struct index_table *t = x->table;

	if (!t)
		return;
	ck_ht_destroy(&t->ht);
	free(t);
	x->table = NULL;
}

void *index_get(const struct index *x, uint64_t id)
{
	struct index_table *t = x->table;
	ck_ht_entry_t e;
	ck_ht_hash_t h;

	if (is_mark(id))
		return slot_of(t, id)->pointer;
	ck_ht_hash_direct(&h, &t->ht, id);
	ck_ht_entry_key_set_direct(&e, id);
	if (!ck_ht_get_spmc(&t->ht, h, &e))
		return NULL;
	return (void *)ck_ht_entry_value_direct(&e);
}

void index_put(struct index *x, uint64_t id, void *p)
{
	struct index_slot *s;

	if (!is_mark(id)) {
		table_set(x->table, id, (uintptr_t)p);
		return;
	}
	s = slot_of(x->table, id);
	s->pointer = p;
	s->in_use = true;
}

static void *slot_clear(struct index_slot *s)
{
	void *p = s->pointer;

	s->pointer = NULL;
	s->in_use = false;
	return p;
}

void *index_remove(struct index *x, uint64_t id)
{
	struct index_table *t = x->table;
	ck_ht_entry_t e;
	ck_ht_hash_t h;

	if (is_mark(id))
		return slot_clear(slot_of(t, id));
	ck_ht_hash_direct(&h, &t->ht, id);
	ck_ht_entry_key_set_direct(&e, id);
	if (!ck_ht_remove_spmc(&t->ht, h, &e))
		return NULL;
	if (++t->removed > ck_ht_count(&t->ht) + INDEX_CAPACITY_MIN)
		table_renew(t);
	return (void *)ck_ht_entry_value_direct(&e);
}

size_t index_count(const struct index *x)
{
	struct index_table *t = x->table;

	return ck_ht_count(&t->ht) + t->empty.in_use + t->tombstone.in_use;
}

size_t index_removed_count(const struct index *x)
{
	return ((struct index_table *)x->table)->removed;
}
