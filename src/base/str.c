#include "base/str.h"

#include <errno.h>
#include <xxhash.h>

int name_set(char *dst, const char *src)
{
	size_t n = strlen(src);

	if (n >= NAME_SIZE) {
		memcpy(dst, src, NAME_SIZE - 1);
		dst[NAME_SIZE - 1] = '\0';
		return -ENAMETOOLONG;
	}
	memcpy(dst, src, n + 1);
	return 0;
}

uint64_t name_hash(const char *name)
{
	uint64_t h = XXH64(name, strlen(name), 0);

	return h ? h : 1;
}

uint64_t bytes_hash(struct str s)
{
	uint64_t h = XXH64(s.data, s.len, 0);

	return h ? h : 1;
}

uint64_t pair_hash(const char *a, const char *b)
{
	uint64_t h = XXH64(b, strlen(b), name_hash(a));

	return h ? h : 1;
}
