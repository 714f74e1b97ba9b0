#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * NAME_SIZE - size of a fixed name field, in bytes, with the NUL byte
 *
 * Names of services, zones, racks, hosts and idempotency keys fit in it.
 */
#define NAME_SIZE 64

/**
 * struct str - byte slice that does not own its bytes; not NUL-terminated
 * @data: first byte, or NULL when @len is 0
 * @len: number of bytes
 */
struct str {
	const char *data;
	size_t len;
};

/**
 * str_of() - make a slice of a NUL-terminated string; NULL gives an empty one
 */
static inline struct str str_of(const char *s)
{
	struct str r = {s, s ? strlen(s) : 0};

	return r;
}

static inline bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

/**
 * name_set() - copy text into a fixed name field
 * @dst: field of NAME_SIZE bytes
 * @src: NUL-terminated text; it is truncated if it does not fit
 *
 * Return: 0, or -ENAMETOOLONG if the text was truncated.
 */
int name_set(char *dst, const char *src);

/**
 * name_hash() - hash a name to a 64-bit id, never 0
 * @name: NUL-terminated text
 */
uint64_t name_hash(const char *name);

/**
 * bytes_hash() - hash bytes to a 64-bit digest, never 0
 */
uint64_t bytes_hash(struct str s);

/**
 * pair_hash() - hash an ordered pair of names to a 64-bit id, never 0
 */
uint64_t pair_hash(const char *a, const char *b);

#ifdef __cplusplus
}
#endif

#endif
