/* SPDX-License-Identifier: BSD-3-Clause */
/* How long answers of one kind take, as seen: their mean and mean deviation (V. Jacobson, Congestion
 * Avoidance and Control, SIGCOMM 1988). */
#ifndef BAYHOIST_ANSWER_TIME_H
#define BAYHOIST_ANSWER_TIME_H

#include <stdint.h>

typedef struct {
	double mean_us; /* 0: none was seen */
	double deviation_us;
} BH__AnswerTime;

void bh__answer_time_note(BH__AnswerTime *t, uint64_t took_us);
uint64_t bh__answer_time_get_longest_us(const BH__AnswerTime *t);

#endif
