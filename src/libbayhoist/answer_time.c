/* SPDX-License-Identifier: BSD-3-Clause */
/* How long answers take. */
#include "bayhoist/answer_time.h"

#include <math.h>

#define MEAN_WEIGHT_ 0.125 /* of the latest answer; this and the next two as in RFC 6298 */
#define DEVIATION_WEIGHT_ 0.25
#define DEVIATIONS_ 4 /* above the mean that few answers exceed */

/* Notes how long an answer took. */
void bh__answer_time_note(BH__AnswerTime *t, uint64_t took_us)
{
	double off_us = (double)took_us - t->mean_us;

	if (t->mean_us <= 0) {
		t->mean_us = (double)took_us;
		t->deviation_us = (double)took_us / 2;
		return;
	}
	t->deviation_us += DEVIATION_WEIGHT_ * (fabs(off_us) - t->deviation_us);
	t->mean_us += MEAN_WEIGHT_ * off_us;
}

/* Returns a time that few answers exceed; 0: none was seen. */
uint64_t bh__answer_time_get_longest_us(const BH__AnswerTime *t)
{
	return (uint64_t)(t->mean_us + DEVIATIONS_ * t->deviation_us);
}
