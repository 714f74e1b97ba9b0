#ifndef BASE_INDEX_H
#define BASE_INDEX_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct index - hash map from a 64-bit id to a pointer
 * @table: Concurrency Kit hash table in direct mode, or NULL when finished
 *
 * Any 64-bit value may be an id. One writer at a time; growth frees the old
 * table at once, so no reader may run while a writer does. The map does not own
 * what the pointers refer to. Running out of memory aborts the process.
 */
struct index {
	void *table;
};

void index_init(struct index *x);
void index_finish(struct index *x);

/**
 * index_get() - look up an id
 *
 * Return: its pointer, or NULL if the id is not in the map.
 */
void *index_get(const struct index *x, uint64_t id);

/**
 * index_put() - set the pointer of an id, replacing any earlier one
 */
void index_put(struct index *x, uint64_t id, void *p);

/**
 * index_remove() - remove an id
 *
 * Return: its pointer, or NULL if the id was not in the map.
 */
void *index_remove(struct index *x, uint64_t id);

size_t index_count(const struct index *x);

/**
 * index_removed_count() - entries removed since the table was made anew, whose
 * places searches have to pass
 */
size_t index_removed_count(const struct index *x);

#ifdef __cplusplus
}
#endif

#endif
