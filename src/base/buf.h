#ifndef BASE_BUF_H
#define BASE_BUF_H

#include <stdarg.h>

#include "base/str.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct buf - growable byte buffer with a NUL byte after its contents
 * @data: contents, owned by the buffer; NULL until the first addition
 * @len: number of bytes, without the NUL
 * @cap: allocated size, in bytes, with the NUL
 *
 * Running out of memory aborts the process, so adding bytes cannot fail.
 */
struct buf {
	char *data;
	size_t len;
	size_t cap;
};

void buf_init(struct buf *b);

/**
 * buf_finish() - free the contents; the buffer is empty and can be used again
 */
void buf_finish(struct buf *b);

/**
 * buf_clear() - set the length to 0 and keep the allocated memory
 */
void buf_clear(struct buf *b);

/**
 * buf_set_capacity() - make the allocated size @cap bytes at least
 */
void buf_set_capacity(struct buf *b, size_t cap);
void buf_add(struct buf *b, const void *data, size_t len);
void buf_adds(struct buf *b, const char *s);

/**
 * buf_addf() - append formatted text; nothing is appended if formatting fails
 */
void buf_addf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * buf_shrink() - give memory back: all of it if the buffer is empty, else what
 * exceeds the contents, if more than @spare bytes do
 */
void buf_shrink(struct buf *b, size_t spare);

/**
 * buf_drop() - remove the first @len bytes; @len is at most the buffer's length
 */
void buf_drop(struct buf *b, size_t len);

/**
 * struct arena - allocator whose memory is freed all at once
 * @chunks: allocated chunks, newest first
 */
struct arena {
	struct arena_chunk *chunks;
};

void arena_init(struct arena *a);

/**
 * arena_finish() - free everything that was allocated from the arena
 */
void arena_finish(struct arena *a);

/**
 * arena_size() - space that arena_alloc() takes for an allocation
 */
size_t arena_size(size_t size);

/**
 * arena_reserve() - make room for allocations whose arena_size() add up to
 * @size
 *
 * Without it, the smallest amount that an arena takes is 2 KB.
 */
void arena_reserve(struct arena *a, size_t size);

/**
 * arena_alloc() - allocate zeroed memory, aligned to 16 bytes
 *
 * The memory is valid until arena_finish().
 */
void *arena_alloc(struct arena *a, size_t size);

/**
 * arena_str() - copy @len bytes into the arena and append a NUL byte
 */
struct str arena_str(struct arena *a, const char *data, size_t len);

/**
 * xcalloc() - allocate zeroed memory; aborts the process if out of memory
 */
void *xcalloc(size_t n, size_t size);

/**
 * xrealloc() - resize an allocation; aborts the process if out of memory
 */
void *xrealloc(void *p, size_t size);

/**
 * xstrndup() - copy exactly @n bytes of @s and append a NUL byte
 *
 * Unlike strndup(), does not stop at a NUL byte in @s. Aborts the process if
 * out of memory. The caller frees the copy.
 */
char *xstrndup(const char *s, size_t n);

#ifdef __cplusplus
}
#endif

#endif
