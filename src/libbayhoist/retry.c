/* SPDX-License-Identifier: BSD-3-Clause */
/* The retry budget: a token bucket that first attempts fill and retries drain. */
#include "retry.h"

#include <glib.h>

#define MAX_LEVEL_ 20.0 /* retries that first attempts without a failure can accumulate */

/* Sets up a full budget with all counters at 0. */
void bh__retry_init(BH__RetryBudget *b)
{
	b->level = MAX_LEVEL_;
	b->first_attempts = 0;
	b->retries = 0;
	b->denied = 0;
}

/* Records a first attempt, which adds `share` of a retry to the budget. */
void bh__retry_record_first_attempt(BH__RetryBudget *b, double share)
{
	b->first_attempts++;
	b->level = MIN(b->level + share, MAX_LEVEL_);
}

/* Takes one retry from the budget. Returns false, and counts the denial, if less than one is left. */
bool bh__retry_take(BH__RetryBudget *b)
{
	if (b->level < 1) {
		b->denied++;
		return false;
	}
	b->level -= 1;
	b->retries++;
	return true;
}
