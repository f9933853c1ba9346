/* SPDX-License-Identifier: BSD-3-Clause */
/* A token bucket. */
#ifndef BAYHOIST_BUCKET_H
#define BAYHOIST_BUCKET_H

#include "bayhoist/types.h"

typedef struct {
	double rate_per_s;
	double burst;
	double level;
	uint64_t updated_us;
} BH__Bucket;

void bh__bucket_init(BH__Bucket *b, double rate_per_s, double burst);
void bh__bucket_set_rate(BH__Bucket *b, double rate_per_s, double burst);
double bh__bucket_get_level(const BH__Bucket *b, uint64_t now_us);
void bh__bucket_spend(BH__Bucket *b, double amount, uint64_t now_us);
bool bh__bucket_take(BH__Bucket *b, double amount, uint64_t now_us);
uint64_t bh__bucket_get_wait_us(const BH__Bucket *b, double amount);

#endif
