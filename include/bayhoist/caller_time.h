/* SPDX-License-Identifier: BSD-3-Clause */
/* Estimates how long a caller has already waited when its request arrives. Each request carries the time that
 * its caller will still wait. The callers of a route start with the same time, so that one with less time
 * left is a caller retry. */
#ifndef BAYHOIST_CALLER_TIME_H
#define BAYHOIST_CALLER_TIME_H

#include "bayhoist/types.h"

/* The time that the callers of one route start with, as observed. */
typedef struct {
	uint64_t initial_us;    /* the time that callers start with; 0: not known */
	uint64_t next_lower_us; /* longest time left seen below it since it was set; 0: none */
	unsigned initial_count; /* recent requests with about this time left */
	unsigned request_count; /* recent requests */
	bool trusted;           /* enough of the recent requests had the initial time left */
} BH__CallerTime;

void bh__caller_time_init(BH__CallerTime *t, uint64_t timeout_us);
uint64_t bh__caller_time_record(BH__CallerTime *t, uint64_t left_us);

#endif
