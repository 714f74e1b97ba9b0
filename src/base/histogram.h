#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Bucket n counts values up to 2^n that no lower bucket counts; the last bucket
 * counts all larger ones.
 */
#define HISTOGRAM_BUCKETS 18

/**
 * struct histogram - values of one unit, such as milliseconds, in buckets by
 * power of two
 * @count: number of values
 */
struct histogram {
	uint64_t buckets[HISTOGRAM_BUCKETS];
	uint64_t count;
	uint64_t sum;
};

/**
 * histogram_add() - count a value; a negative one counts as 0
 */
void histogram_add(struct histogram *h, int64_t value);

/**
 * histogram_quantile() - get the upper bound of the bucket that holds a
 * quantile
 * @q: quantile, from 0 to 1
 *
 * Return: the bound, or 0 if no value was counted. The last bucket has no
 * upper bound; for it, 2^(HISTOGRAM_BUCKETS - 1) is returned.
 */
int64_t histogram_quantile(const struct histogram *h, double q);

/**
 * histogram_write() - append the histogram in the Prometheus text format
 * @name: name of the metric
 *
 * Writes one line per bucket with its cumulative count, then sum and count.
 */
void histogram_write(const struct histogram *h, const char *name,
		     struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
