/* SPDX-License-Identifier: BSD-3-Clause */
/* Running estimate of how long answers of one kind take relative to their expected times: mean and mean
 * deviation (V. Jacobson, Congestion Avoidance and Control, SIGCOMM 1988). Ratios are used because answers of
 * a kind may have very different lengths, and a difference in length alone must not raise the bound for the
 * others. */
#ifndef BAYHOIST_ANSWER_TIME_H
#define BAYHOIST_ANSWER_TIME_H

#include <stdint.h>

/* The estimate over the answers recorded so far. */
typedef struct {
	double mean;      /* of the ratios of actual to expected time; 0: no answer recorded */
	double deviation; /* mean absolute deviation of these ratios */
} BH__AnswerTime;

void bh__answer_time_record(BH__AnswerTime *t, uint64_t took_us, uint64_t expected_us);
uint64_t bh__answer_time_get_upper_bound_us(const BH__AnswerTime *t, uint64_t expected_us);

#endif
