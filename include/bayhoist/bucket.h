/* SPDX-License-Identifier: BSD-3-Clause */
/* A token bucket for rate limiting. */
#ifndef BAYHOIST_BUCKET_H
#define BAYHOIST_BUCKET_H

#include "bayhoist/types.h"

#define BH__BUCKET_WAIT_MAX_S 3600 /* for tokens that come seldom, or never */

typedef struct {
	double rate_per_s;   /* tokens added per second; 0: none */
	double burst;        /* maximum level, in tokens */
	double level;        /* tokens at `updated_us`; negative: debt */
	uint64_t updated_us; /* time of the last change of `level` */
} BH__Bucket;

void bh__bucket_init(BH__Bucket *b, double rate_per_s, double burst);
void bh__bucket_set_rate(BH__Bucket *b, double rate_per_s, double burst);
double bh__bucket_get_level(const BH__Bucket *b, uint64_t now_us);
void bh__bucket_spend(BH__Bucket *b, double amount, uint64_t now_us);
bool bh__bucket_take(BH__Bucket *b, double amount, uint64_t now_us);
uint64_t bh__bucket_get_wait_us(const BH__Bucket *b, double amount);

#endif
