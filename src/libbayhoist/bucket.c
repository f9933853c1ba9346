/* SPDX-License-Identifier: BSD-3-Clause */
/* Token buckets: full at first, filled at a rate up to a burst. */
#include "bayhoist/bucket.h"

#include <glib.h>

void bh__bucket_init(BH__Bucket *b, double rate_per_s, double burst)
{
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	b->level = burst;
	b->updated_us = 0;
}

/* Changes the rate from now on; what has gathered stays, up to the new burst. */
void bh__bucket_set_rate(BH__Bucket *b, double rate_per_s, double burst)
{
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	b->level = MIN(b->level, burst);
}

/* Returns what is there at a time. */
double bh__bucket_get_level(const BH__Bucket *b, uint64_t now_us)
{
	if (now_us <= b->updated_us)
		return b->level;
	return MIN(b->burst, b->level + b->rate_per_s * (double)(now_us - b->updated_us) / 1e6);
}

/* Takes `amount`, whether it is there or not: what is missing becomes a debt. */
void bh__bucket_spend(BH__Bucket *b, double amount, uint64_t now_us)
{
	b->level = bh__bucket_get_level(b, now_us) - amount;
	b->updated_us = MAX(now_us, b->updated_us);
}

/* Takes `amount` if that much is there, or if the bucket is full: an amount above the burst passes then and
 * leaves a debt, so that the rate holds and nothing waits for ever. */
bool bh__bucket_take(BH__Bucket *b, double amount, uint64_t now_us)
{
	bool passes = bh__bucket_get_level(b, now_us) >= MIN(amount, b->burst);

	bh__bucket_spend(b, passes ? amount : 0, now_us);
	return passes;
}

/* Returns the time until `amount` can be taken. */
uint64_t bh__bucket_get_wait_us(const BH__Bucket *b, double amount)
{
	double missing = MIN(amount, b->burst) - b->level;
	if (missing <= 0)
		return 0;
	return b->rate_per_s > 0 ? (uint64_t)(missing / b->rate_per_s * 1e6) : 3600 * BH__SECOND_US;
}
