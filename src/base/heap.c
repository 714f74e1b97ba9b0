#include "base/heap.h"

#include <malloc.h>

#include "base/logger.h"

/* The threads of the HTTP server and of the peers allocate little and rarely at
 * a time, and memory that one arena has free is of no use to another. */
#define ARENAS 1
/* Larger buffers, such as those of reads from the store, go back to the system
 * when they are freed. Set, since the allocator raises its own value to the
 * largest buffer that was freed. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
#define TRIM_THRESHOLD_BYTES (128 * 1024)
#define TRIM_PERIOD_MS 5000
#define TRIM_BYTES (1024 * 1024)

void heap_setup(void)
{
	mallopt(M_ARENA_MAX, ARENAS);
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
}

bool heap_trim_is_due(struct heap_trim *t, size_t free_bytes)
{
	if (free_bytes < t->free_floor)
		t->free_floor = free_bytes;
	return free_bytes - t->free_floor >= TRIM_BYTES;
}

void heap_trim_tick(struct heap_trim *t, int64_t now_ms)
{
	size_t free_bytes;

	if (now_ms < t->due_ms)
		return;
	t->due_ms = now_ms + TRIM_PERIOD_MS;
	free_bytes = mallinfo2().fordblks;
	if (!heap_trim_is_due(t, free_bytes))
		return;
	malloc_trim(0);
	t->free_floor = mallinfo2().fordblks;
	t->trims++;
	log_line(LOG_INFO, "free memory given back", "free_kb=%zu left_kb=%zu",
		 free_bytes / 1024, t->free_floor / 1024);
}
