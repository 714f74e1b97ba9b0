#ifndef BASE_HEAP_H
#define BASE_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct heap_trim - gives freed memory back to the system
 * @due_ms: time of the next look at the heap
 * @free_floor: the least free memory of the heap since it was given back last;
 *	the allocator still counts pages that it has given back as free
 * @trims: how often it was given back
 */
struct heap_trim {
	int64_t due_ms;
	size_t free_floor;
	uint64_t trims;
};

/**
 * heap_setup() - set the allocator up for a process with little memory
 *
 * Called before other threads start.
 */
void heap_setup(void);

/**
 * heap_trim_is_due() - whether enough memory has become free to give it back
 * @free_bytes: free memory of the heap
 */
bool heap_trim_is_due(struct heap_trim *t, size_t free_bytes);

/**
 * heap_trim_tick() - give free memory of the heap back if it is due
 * @now_ms: boot time
 */
void heap_trim_tick(struct heap_trim *t, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
