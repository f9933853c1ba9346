/* SPDX-License-Identifier: BSD-3-Clause */
/* The retry budget: limits retries to a share of recent first attempts, so that retries do not amplify the
 * load during a failure. */
#ifndef BAYHOIST_PRIVATE_RETRY_H
#define BAYHOIST_PRIVATE_RETRY_H

#include "bayhoist/types.h"

typedef struct {
	double level;            /* retries that may be taken now */
	uint64_t first_attempts; /* total recorded */
	uint64_t retries;        /* total taken */
	uint64_t denied;         /* total refused because the budget was used up */
} BH__RetryBudget;

void bh__retry_init(BH__RetryBudget *b);
void bh__retry_record_first_attempt(BH__RetryBudget *b, double share);
bool bh__retry_take(BH__RetryBudget *b);

#endif
