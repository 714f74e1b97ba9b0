#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/**
 * struct rng - SplitMix64 random number generator
 * @state: seed, then the current state; equal seeds give equal sequences
 *
 * Not for cryptographic use.
 */
struct rng {
	uint64_t state;
};

static inline uint64_t rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/**
 * rng_below() - draw a uniform number in [0, @n); 0 if @n is 0
 */
static inline uint64_t rng_below(struct rng *r, uint64_t n)
{
	return n ? rng_next(r) % n : 0;
}

/**
 * rng_unit() - draw a uniform number in [0, 1), with 53 random bits
 */
static inline double rng_unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / 9007199254740992.0;
}

#endif
