/* SPDX-License-Identifier: BSD-3-Clause */
/* How long answers take. */
#include "bayhoist/answer_time.h"

#include <math.h>

#define MEAN_WEIGHT_ 0.125 /* of the latest answer; this and the next two as in RFC 6298 */
#define DEVIATION_WEIGHT_ 0.25
#define DEVIATIONS_ 4 /* above the mean that few answers exceed */

/* Notes how long an answer took of which `expected_us` (not 0) was expected. */
void bh__answer_time_note(BH__AnswerTime *t, uint64_t took_us, uint64_t expected_us)
{
	double ratio = (double)took_us / (double)expected_us;
	double off = ratio - t->mean;

	if (t->mean <= 0) {
		t->mean = ratio;
		t->deviation = ratio / 2;
		return;
	}
	t->deviation += DEVIATION_WEIGHT_ * (fabs(off) - t->deviation);
	t->mean += MEAN_WEIGHT_ * off;
}

/* Returns a time that an answer hardly exceeds of which `expected_us` is expected; 0: none was seen. */
uint64_t bh__answer_time_get_longest_us(const BH__AnswerTime *t, uint64_t expected_us)
{
	return (uint64_t)((t->mean + DEVIATIONS_ * t->deviation) * (double)expected_us);
}
