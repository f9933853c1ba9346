/* SPDX-License-Identifier: BSD-3-Clause */
/* Silences of the endpoints of a service that went on afterwards, as one node has observed them. What pauses
 * endpoints, or lies between them and the nodes, tends to come again, and it prolongs any answer, whatever
 * its usual time: it is kept apart from the forecasts of answer times. */
#ifndef BAYHOIST_SILENCE_HISTORY_H
#define BAYHOIST_SILENCE_HISTORY_H

#include <stdint.h>
#include "bayhoist/types.h"

/* The longest recent silence. */
typedef struct {
	uint64_t longest_us; /* 0: none */
	uint64_t ended_us;   /* when it ended */
} BH__SilenceHistory;

uint64_t bh__silence_get_excess_us(uint64_t gap_us, uint64_t max_wait_us);
void bh__silence_history_record(BH__SilenceHistory *h, uint64_t silence_us, uint64_t now_us);
uint64_t bh__silence_history_get_longest_us(const BH__SilenceHistory *h, uint64_t now_us);

#endif
