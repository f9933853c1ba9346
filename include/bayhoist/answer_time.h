/* SPDX-License-Identifier: BSD-3-Clause */
/* How long answers of one kind take beside what each is expected to take, as seen: mean and mean deviation
 * (V. Jacobson, Congestion Avoidance and Control, SIGCOMM 1988). Answers of a kind may be of very unlike
 * lengths, and those that differ by that alone are no reason to expect any of them late. */
#ifndef BAYHOIST_ANSWER_TIME_H
#define BAYHOIST_ANSWER_TIME_H

#include <stdint.h>

typedef struct {
	double mean; /* of what answers took, as a multiple of what was expected; 0: none was seen */
	double deviation;
} BH__AnswerTime;

void bh__answer_time_note(BH__AnswerTime *t, uint64_t took_us, uint64_t expected_us);
uint64_t bh__answer_time_get_longest_us(const BH__AnswerTime *t, uint64_t expected_us);

#endif
