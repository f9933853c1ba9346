/* SPDX-License-Identifier: BSD-3-Clause */
/* Histograms of durations. */
#include "bayhoist/histogram.h"

/* Returns the longest duration that a bucket counts, in milliseconds. The last bucket has no such limit, so
 * the value for it is meaningless. */
uint64_t bh__histogram_get_limit_ms(unsigned bucket)
{
	return UINT64_C(1) << bucket;
}

/* Counts a duration of `time_us` microseconds. */
void bh__histogram_add(BH__Histogram *h, uint64_t time_us)
{
	unsigned b = 0;

	while (b < BH__HISTOGRAM_BUCKETS - 1 && time_us > bh__histogram_get_limit_ms(b) * BH__MS_US)
		b++;
	h->bucket[b]++;
	h->count++;
	h->sum_ms += time_us / BH__MS_US;
}
