/* SPDX-License-Identifier: BSD-3-Clause */
/* How long a caller has waited before this try of its request. Callers say how much longer they will wait,
 * and those of a route begin with the same time; one that comes back has less left. */
#ifndef BAYHOIST_CALLER_TIME_H
#define BAYHOIST_CALLER_TIME_H

#include "bayhoist/types.h"

/* The time that the callers of one route begin with, as seen. */
typedef struct {
	uint64_t whole_us;   /* the time that callers begin with; 0: not known */
	uint64_t largest_us; /* of those below it, since it was set */
	unsigned whole;      /* callers lately that had about this much */
	unsigned all;        /* callers lately */
	bool trusted;        /* most callers begin with the whole time */
} BH__CallerTime;

void bh__caller_time_init(BH__CallerTime *t, uint64_t timeout_us);
uint64_t bh__caller_time_note(BH__CallerTime *t, uint64_t left_us);

#endif
