#include "base/buf.h"

#include <stdio.h>
#include <stdlib.h>

#define ARENA_CHUNK_BYTES 2048

struct arena_chunk {
	struct arena_chunk *next;
	size_t used;
	size_t cap;
	_Alignas(16) char data[];
};

static void *check_alloc(void *p)
{
	if (!p) {
		fputs("level=error msg=\"out of memory\"\n", stderr);
		abort();
	}
	return p;
}

void *xcalloc(size_t n, size_t size)
{
	return check_alloc(calloc(n ? n : 1, size ? size : 1));
}

void *xrealloc(void *p, size_t size)
{
	return check_alloc(realloc(p, size ? size : 1));
}

char *xstrndup(const char *s, size_t n)
{
	char *p = xcalloc(n + 1, 1);

	if (n)
		memcpy(p, s, n);
	return p;
}

void buf_init(struct buf *b)
{
	memset(b, 0, sizeof(*b));
}

void buf_finish(struct buf *b)
{
	free(b->data);
	buf_init(b);
}

void buf_clear(struct buf *b)
{
	b->len = 0;
	if (b->data)
		b->data[0] = '\0';
}

void buf_set_capacity(struct buf *b, size_t cap)
{
	if (cap <= b->cap)
		return;
	b->data = xrealloc(b->data, cap);
	b->cap = cap;
}

/* Reserves @more bytes and the NUL; growth at least doubles the capacity. */
static void buf_reserve(struct buf *b, size_t more)
{
	size_t needed = b->len + more + 1;

	if (needed <= b->cap)
		return;
	if (needed < b->cap * 2)
		needed = b->cap * 2;
	buf_set_capacity(b, needed);
}

void buf_shrink(struct buf *b, size_t spare)
{
	if (b->cap <= b->len + 1 + spare)
		return;
	if (!b->len) {
		buf_finish(b);
		return;
	}
	b->data = xrealloc(b->data, b->len + 1);
	b->cap = b->len + 1;
}

void buf_add(struct buf *b, const void *data, size_t len)
{
	buf_reserve(b, len);
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void buf_adds(struct buf *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	buf_reserve(b, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

void buf_drop(struct buf *b, size_t len)
{
	if (!len)
		return;
	memmove(b->data, b->data + len, b->len - len);
	b->len -= len;
	b->data[b->len] = '\0';
}

void arena_init(struct arena *a)
{
	a->chunks = NULL;
}

void arena_finish(struct arena *a)
{
	struct arena_chunk *c = a->chunks;

	while (c) {
		struct arena_chunk *next = c->next;

		free(c);
		c = next;
	}
	a->chunks = NULL;
}

static struct arena_chunk *chunk_add(struct arena *a, size_t cap)
{
	struct arena_chunk *c = xcalloc(1, sizeof(*c) + cap);

	c->cap = cap;
	c->next = a->chunks;
	a->chunks = c;
	return c;
}

size_t arena_size(size_t size)
{
	return (size + 15) & ~(size_t)15;
}

void arena_reserve(struct arena *a, size_t size)
{
	if (!a->chunks || a->chunks->cap - a->chunks->used < size)
		chunk_add(a, size);
}

void *arena_alloc(struct arena *a, size_t size)
{
	struct arena_chunk *c = a->chunks;
	size_t need = arena_size(size);
	void *p;

	if (!c || c->cap - c->used < need)
		c = chunk_add(a, need > ARENA_CHUNK_BYTES ? need
							  : ARENA_CHUNK_BYTES);
	p = c->data + c->used;
	c->used += need;
	return p;
}

struct str arena_str(struct arena *a, const char *data, size_t len)
{
	char *p = arena_alloc(a, len + 1);
	struct str r = {p, len};

	if (len)
		memcpy(p, data, len);
	return r;
}
