/* SPDX-License-Identifier: BSD-3-Clause */
/* Token buckets. A bucket starts full and is refilled at a constant rate up to its burst size. */
#include "bayhoist/bucket.h"

#include <glib.h>

void bh__bucket_init(BH__Bucket *b, double rate_per_s, double burst)
{
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	b->level = burst;
	b->updated_us = 0;
}

/* Changes the rate and the burst size. The tokens present are kept, up to the new burst size. */
void bh__bucket_set_rate(BH__Bucket *b, double rate_per_s, double burst)
{
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	b->level = MIN(b->level, burst);
}

/* Returns the number of tokens at `now_us`, which is negative for a bucket in debt. */
double bh__bucket_get_level(const BH__Bucket *b, uint64_t now_us)
{
	if (now_us <= b->updated_us)
		return b->level;
	return MIN(b->burst, b->level + b->rate_per_s * (double)(now_us - b->updated_us) / 1e6);
}

/* Takes `amount` tokens unconditionally. Missing tokens become a debt, which later refills pay off. */
void bh__bucket_spend(BH__Bucket *b, double amount, uint64_t now_us)
{
	b->level = bh__bucket_get_level(b, now_us) - amount;
	b->updated_us = MAX(now_us, b->updated_us);
}

/* Takes `amount` tokens and returns true if the bucket holds that many or is full; otherwise takes none and
 * returns false. An amount above the burst size is taken from a full bucket and leaves a debt, so that the
 * rate is kept and no caller waits forever. */
bool bh__bucket_take(BH__Bucket *b, double amount, uint64_t now_us)
{
	bool passes = bh__bucket_get_level(b, now_us) >= MIN(amount, b->burst);

	bh__bucket_spend(b, passes ? amount : 0, now_us);
	return passes;
}

/* Returns the time in microseconds, counted from the last update, until `amount` tokens can be taken, at most
 * one hour. */
uint64_t bh__bucket_get_wait_us(const BH__Bucket *b, double amount)
{
	double missing = MIN(amount, b->burst) - b->level;

	if (missing <= 0)
		return 0;
	if (missing >= b->rate_per_s * BH__BUCKET_WAIT_MAX_S)
		return BH__BUCKET_WAIT_MAX_S * BH__SECOND_US;
	return (uint64_t)(missing / b->rate_per_s * 1e6);
}
