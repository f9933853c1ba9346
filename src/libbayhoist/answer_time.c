/* SPDX-License-Identifier: BSD-3-Clause */
/* Smoothed mean and mean deviation of answer times, computed as TCP does for round-trip times. */
#include "bayhoist/answer_time.h"

#include <math.h>

/* The values are those of RFC 6298. */
#define MEAN_WEIGHT_ 0.125     /* of the latest answer in the mean */
#define DEVIATION_WEIGHT_ 0.25 /* of the latest answer in the deviation */
#define DEVIATIONS_ 4          /* between the mean and the bound that few answers exceed */

/* Records an answer that took `took_us` and was expected to take `expected_us`, which is not 0. */
void bh__answer_time_record(BH__AnswerTime *t, uint64_t took_us, uint64_t expected_us)
{
	double ratio = (double)took_us / (double)expected_us;
	double error = ratio - t->mean;

	if (t->mean <= 0) {
		t->mean = ratio;
		t->deviation = ratio / 2;
		return;
	}
	t->deviation += DEVIATION_WEIGHT_ * (fabs(error) - t->deviation);
	t->mean += MEAN_WEIGHT_ * error;
}

/* Returns a time, in microseconds, that few answers expected to take `expected_us` exceed, or 0 if no answer
 * was recorded. */
uint64_t bh__answer_time_get_upper_bound_us(const BH__AnswerTime *t, uint64_t expected_us)
{
	return (uint64_t)((t->mean + DEVIATIONS_ * t->deviation) * (double)expected_us);
}
