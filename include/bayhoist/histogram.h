/* SPDX-License-Identifier: BSD-3-Clause */
/* Histogram of durations; the bucket limits are powers of two in milliseconds. */
#ifndef BAYHOIST_HISTOGRAM_H
#define BAYHOIST_HISTOGRAM_H

#include "bayhoist/types.h"

#define BH__HISTOGRAM_BUCKETS 22 /* up to 1, 2, 4, ... ms; the last counts all longer durations */

typedef struct {
	uint64_t bucket[BH__HISTOGRAM_BUCKETS]; /* durations in each bucket, not cumulative */
	uint64_t count;                         /* durations in all buckets */
	uint64_t sum_ms;
} BH__Histogram;

void bh__histogram_add(BH__Histogram *h, uint64_t time_us);
uint64_t bh__histogram_get_limit_ms(unsigned bucket);

#endif
