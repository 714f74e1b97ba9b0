#include "base/histogram.h"

#include <inttypes.h>

void histogram_add(struct histogram *h, int64_t value)
{
	size_t n = 0;

	if (value < 0)
		value = 0;
	while (n + 1 < HISTOGRAM_BUCKETS && value > (int64_t)1 << n)
		n++;
	h->buckets[n]++;
	h->count++;
	h->sum += (uint64_t)value;
}

int64_t histogram_quantile(const struct histogram *h, double q)
{
	uint64_t sum = 0;
	size_t n;

	if (!h->count)
		return 0;
	for (n = 0; n + 1 < HISTOGRAM_BUCKETS; n++) {
		sum += h->buckets[n];
		if ((double)sum >= q * (double)h->count)
			break;
	}
	return (int64_t)1 << n;
}

void histogram_write(const struct histogram *h, const char *name,
		     struct buf *out)
{
	uint64_t sum = 0;
	size_t n;

	for (n = 0; n < HISTOGRAM_BUCKETS; n++) {
		sum += h->buckets[n];
		if (n + 1 < HISTOGRAM_BUCKETS)
			buf_addf(out, "%s_bucket{le=\"%d\"} %" PRIu64 "\n",
				 name, 1 << n, sum);
		else
			buf_addf(out, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
				 name, sum);
	}
	buf_addf(out, "%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n", name,
		 h->sum, name, h->count);
}
